//! Tests of the entries that callers are advised to use.

mod common;

use base::prelude::*;
use common::{Fleet, config};
use model::command::Command;
use policy::Now;

/// Returns how often each entry comes first in 600 replies of the first entry.
fn first_choices(fleet: &mut Fleet) -> Vec<u32> {
    let now = Now { at: fleet.now, unix_ms: common::EPOCH_MS + fleet.now.as_millis() };
    let mut counts = vec![0; fleet.entries.len()];
    let engine = fleet.entries[0].as_mut().expect("a live entry");
    let service = engine.catalog().service("seal").expect("a service");
    for _ in 0..600 {
        let addresses = engine.advise(now, service, Some("d1"));
        counts[usize::from(addresses[0].port()) - 1] += 1;
    }
    counts
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(4, config(2, 4, 1));
    fleet.run(Span::seconds(30));
    fleet
}

#[test]
fn advise_spreads_callers() {
    let counts = first_choices(&mut fleet());
    assert!(counts.iter().all(|count| (100..200).contains(count)), "{counts:?}");
}

#[test]
fn advise_prefers_less_loaded_entries() {
    let mut fleet = fleet();
    for upstream in fleet.upstreams.values_mut() {
        upstream.behavior = common::Behavior::Hangs;
    }
    for _ in 0..100 {
        fleet.call(3, false, Span::seconds(10));
    }
    fleet.run(Span::millis(900));
    let counts = first_choices(&mut fleet);
    assert!(counts[3] * 4 < counts[1], "{counts:?}");
}

#[test]
fn advise_excludes_silent_and_leaving_entries() {
    let mut fleet = fleet();
    fleet.kill(2);
    fleet.send_input(1, policy::engine::Input::Leave);
    fleet.run(Span::seconds(4));
    let counts = first_choices(&mut fleet);
    assert_eq!((counts[1], counts[2]), (0, 0), "{counts:?}");
}

#[test]
fn advise_excludes_withdrawn_domains_unless_all_are() {
    let mut fleet = fleet();
    fleet.apply_command_to_all(Command::WithdrawDomain { domain: "d1".into(), duration_ms: None });
    // Every entry of this fleet is in the withdrawn domain, so none is excluded.
    assert_eq!(first_choices(&mut fleet).iter().sum::<u32>(), 600);
}
