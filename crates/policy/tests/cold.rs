//! Tests that an upstream in a cold start is never overloaded, even while entries disagree about
//! its owner.

mod common;

use base::prelude::*;
use common::{Fleet, config};

/// Fault that is injected while an upstream is cold.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Nothing,
    OwnerKilled,
    OwnerPaused,
    OwnerIsolated,
    OwnerCutFromStore,
    OwnerOutboundCut,
    Partition,
    EntryAdded,
    EntryAddedTwice,
    StoreDown,
    OwnerPausedAndEntryAdded,
    OwnerIsolatedAndEntryAdded,
}

const FAULTS: [Fault; 12] = [
    Fault::Nothing,
    Fault::OwnerKilled,
    Fault::OwnerPaused,
    Fault::OwnerIsolated,
    Fault::OwnerCutFromStore,
    Fault::OwnerOutboundCut,
    Fault::Partition,
    Fault::EntryAdded,
    Fault::EntryAddedTwice,
    Fault::StoreDown,
    Fault::OwnerPausedAndEntryAdded,
    Fault::OwnerIsolatedAndEntryAdded,
];

const ENTRIES: usize = 5;
const TIMEOUT: Span = Span::millis(400);
const CALL_INTERVAL: Span = Span::millis(7);

fn isolate(fleet: &mut Fleet, entry: usize) {
    for other in (0..fleet.entries.len()).filter(|other| *other != entry) {
        fleet.cut_links.insert((entry, other));
        fleet.cut_links.insert((other, entry));
    }
    fleet.without_store.insert(entry);
}

fn inject(fleet: &mut Fleet, fault: Fault, owner: usize) {
    match fault {
        Fault::Nothing => {}
        Fault::OwnerKilled => fleet.kill(owner),
        Fault::OwnerPaused => {
            fleet.paused.insert(owner);
        }
        Fault::OwnerIsolated => isolate(fleet, owner),
        Fault::OwnerCutFromStore => {
            fleet.without_store.insert(owner);
        }
        Fault::OwnerOutboundCut => {
            for other in (0..ENTRIES).filter(|other| *other != owner) {
                fleet.cut_links.insert((owner, other));
            }
        }
        Fault::Partition => {
            for left in 0..ENTRIES / 2 {
                for right in ENTRIES / 2..ENTRIES {
                    fleet.cut_links.insert((left, right));
                    fleet.cut_links.insert((right, left));
                }
            }
        }
        Fault::EntryAdded => {
            fleet.add_entry();
        }
        Fault::EntryAddedTwice => {
            fleet.add_entry();
            fleet.run_with_load(Span::seconds(1), CALL_INTERVAL, TIMEOUT);
            fleet.add_entry();
        }
        Fault::StoreDown => fleet.without_store.extend(0..ENTRIES),
        Fault::OwnerPausedAndEntryAdded => {
            fleet.paused.insert(owner);
            fleet.add_entry();
        }
        Fault::OwnerIsolatedAndEntryAdded => {
            isolate(fleet, owner);
            fleet.add_entry();
        }
    }
}

/// Injects one fault while an upstream stays cold, ends the fault in stages, and returns the fleet.
fn run(fault: Fault) -> Fleet {
    let mut fleet = Fleet::new(ENTRIES, config(1, 4, 1));
    fleet.run(Span::seconds(30));
    let upstream = fleet.upstreams.get_mut("u0").expect("u0");
    upstream.cold = true;
    upstream.service = Span::millis(30);
    fleet.run_with_load(Span::seconds(2), CALL_INTERVAL, TIMEOUT);
    let owner = *fleet.acting_owners("u0").first().expect("an owner");
    inject(&mut fleet, fault, owner);
    fleet.run_with_load(Span::seconds(25), CALL_INTERVAL, TIMEOUT);
    fleet.paused.clear();
    fleet.run_with_load(Span::seconds(10), CALL_INTERVAL, TIMEOUT);
    fleet.cut_links.clear();
    fleet.without_store.clear();
    fleet.run_with_load(Span::seconds(25), CALL_INTERVAL, TIMEOUT);
    fleet
}

#[test]
fn cold_limit_holds_over_all_entries() {
    for fault in FAULTS {
        let fleet = run(fault);
        let upstream = &fleet.upstreams["u0"];
        assert_eq!(upstream.peak, 1, "{fault:?}: calls in flight at a time");
        // The fault must not stop calls to the upstream for good.
        assert!(upstream.last_sent + Span::seconds(1) > fleet.now, "{fault:?}: starved at the end");
    }
}

#[test]
fn owner_is_unique() {
    for fault in FAULTS {
        let mut fleet = Fleet::new(ENTRIES, config(3, 4, 1));
        fleet.run(Span::seconds(30));
        let owner = *fleet.acting_owners("u0").first().expect("an owner");
        inject(&mut fleet, fault, owner);
        for second in 0..60 {
            if second == 25 {
                fleet.paused.clear();
            }
            if second == 35 {
                fleet.cut_links.clear();
                fleet.without_store.clear();
            }
            for _ in 0..10 {
                fleet.run(Span::millis(100));
                for name in ["u0", "u1", "u2"] {
                    let holders = fleet.acting_owners(name);
                    assert!(holders.len() <= 1, "{fault:?}: {name} at {second} s by {holders:?}");
                }
            }
        }
        for name in ["u0", "u1", "u2"] {
            assert_eq!(
                fleet.acting_owners(name).len(),
                1,
                "{fault:?}: {name} has no owner at the end"
            );
        }
    }
}

#[test]
fn cold_fleet_warms_up() {
    let mut fleet = Fleet::new(4, config(6, 4, 1));
    fleet.run(Span::seconds(30));
    fleet.run_with_load(Span::seconds(5), Span::millis(10), Span::seconds(1));
    for engine in fleet.entries.iter().flatten() {
        for upstream in engine.dump(policy::Now { at: fleet.now, unix_ms: 0 }).upstreams.values() {
            assert_eq!(upstream.state, policy::upstream::State::Warm);
            assert_eq!(upstream.epoch, 2);
        }
    }
    // Up to 8 calls may still be in flight.
    assert!(fleet.answered() + 8 >= 4 * 500, "{}", fleet.answered());
}

#[test]
fn cold_restart_without_notice_resets_the_limit() {
    let mut fleet = Fleet::new(4, config(4, 4, 1));
    fleet.run(Span::seconds(30));
    fleet.run_with_load(Span::seconds(5), Span::millis(4), Span::seconds(1));
    let upstream = fleet.upstreams.get_mut("u0").expect("u0");
    assert!(upstream.peak > 1, "it was warm");
    upstream.cold = true;
    // Every entry learns of the cold start within one gossip round.
    fleet.run_with_load(Span::seconds(1), Span::millis(4), Span::seconds(1));
    fleet.upstreams.get_mut("u0").expect("u0").peak = 0;
    fleet.run_with_load(Span::seconds(5), Span::millis(4), Span::seconds(1));
    assert_eq!(fleet.upstreams["u0"].peak, 1);
    fleet.upstreams.get_mut("u0").expect("u0").cold = false;
    fleet.run_with_load(Span::seconds(5), Span::millis(4), Span::seconds(1));
    assert!(fleet.upstreams["u0"].peak > 1, "it is warm again");
    assert_eq!(
        fleet.count_completions(|completion| matches!(completion, common::Completion::Refused(..))),
        0
    );
}
