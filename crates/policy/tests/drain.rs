//! Tests of upstreams that drain or fail, and of failure domains that are withdrawn and restored.

mod common;

use base::prelude::*;
use common::{Behavior, Completion, Fleet, config, upstream};
use model::command::Command;
use policy::engine::Input;

/// Time within which no entry sends new calls to an upstream that one entry knows to drain.
///
/// Gossip needs a few rounds to reach every entry.
const GOSSIP_TIME: Span = Span::millis(1_500);
/// Time within which no entry sends new calls to an upstream that reports its own drain.
///
/// An entry first has to see the report, in the next response or in the owner's health probe.
const SIGNAL_TIME: Span = Span::millis(3_000);
const CALL_INTERVAL: Span = Span::millis(5);
const TIMEOUT: Span = Span::millis(500);

fn warm_fleet() -> Fleet {
    let mut fleet = Fleet::new(4, config(6, 4, 1));
    fleet.run(Span::seconds(30));
    fleet.run_with_load(Span::seconds(5), CALL_INTERVAL, TIMEOUT);
    fleet
}

fn sent(fleet: &Fleet, names: &[&str]) -> u64 {
    names.iter().map(|name| fleet.upstreams[*name].sent).sum()
}

fn refused(fleet: &Fleet) -> usize {
    fleet.count_completions(|completion| matches!(completion, Completion::Refused(..)))
}

#[test]
fn drain_signal_stops_new_work_everywhere() {
    let mut fleet = warm_fleet();
    fleet.upstreams.get_mut("u1").expect("u1").draining = true;
    fleet.run_with_load(SIGNAL_TIME, CALL_INTERVAL, TIMEOUT);
    let before = sent(&fleet, &["u1"]);
    fleet.run_with_load(Span::seconds(5), CALL_INTERVAL, TIMEOUT);
    assert_eq!(sent(&fleet, &["u1"]), before);
    assert_eq!(refused(&fleet), 0);
}

#[test]
fn drain_signal_of_an_idle_upstream_is_detected() {
    let mut fleet = warm_fleet();
    fleet.run(Span::seconds(10));
    for upstream in fleet.upstreams.values_mut() {
        upstream.draining = true;
    }
    // Without calls, the owners' health probes detect the drain.
    fleet.run(SIGNAL_TIME);
    let before = sent(&fleet, &["u0", "u1", "u2", "u3", "u4", "u5"]);
    fleet.run_with_load(Span::millis(100), CALL_INTERVAL, Span::millis(50));
    assert_eq!(sent(&fleet, &["u0", "u1", "u2", "u3", "u4", "u5"]), before);
}

#[test]
fn probe_rate_stays_within_its_budget() {
    let mut fleet = Fleet::new(4, config(6, 4, 1));
    fleet.run(Span::seconds(30));
    let probes =
        |fleet: &Fleet| fleet.upstreams.values().map(|upstream| upstream.probes).sum::<u64>();
    let before = probes(&fleet);
    fleet.kill(1);
    fleet.add_entry();
    fleet.run(Span::seconds(40));
    // Over all entries, each upstream is probed at most once per `PROBE_AFTER`.
    let max_probes = 6 * 40 * 1_000 / policy::engine::PROBE_AFTER.as_millis();
    let sent_probes = probes(&fleet) - before;
    assert!(sent_probes <= max_probes, "{sent_probes} of {max_probes}");
    assert!(sent_probes > max_probes / 3, "{sent_probes} of {max_probes}");
    // Responses to calls carry the same report, so they replace probes.
    fleet.run_with_load(Span::seconds(5), CALL_INTERVAL, TIMEOUT);
    let before = probes(&fleet);
    fleet.run_with_load(Span::seconds(10), CALL_INTERVAL, TIMEOUT);
    assert!(probes(&fleet) - before <= 6 * 5, "{}", probes(&fleet) - before);
}

#[test]
fn platform_list_stops_new_work_everywhere() {
    let mut fleet = warm_fleet();
    fleet.send_input(2, Input::DrainAddresses(vec![([127, 0, 0, 1], 9_001).into()]));
    fleet.run_with_load(GOSSIP_TIME, CALL_INTERVAL, TIMEOUT);
    let before = sent(&fleet, &["u1"]);
    fleet.run_with_load(Span::seconds(5), CALL_INTERVAL, TIMEOUT);
    assert_eq!(sent(&fleet, &["u1"]), before);
    assert_eq!(refused(&fleet), 0);
}

#[test]
fn domain_withdrawal_and_return_twice() {
    let withdrawn = ["u1", "u3", "u5"];
    let mut fleet = warm_fleet();
    let first = sent(&fleet, &withdrawn);
    for _ in 0..2 {
        fleet.apply_command_to_all(Command::WithdrawDomain {
            domain: "d2".into(),
            duration_ms: None,
        });
        fleet.run_with_load(Span::seconds(1), CALL_INTERVAL, TIMEOUT);
        let before = sent(&fleet, &withdrawn);
        fleet.run_with_load(Span::seconds(8), CALL_INTERVAL, TIMEOUT);
        assert_eq!(sent(&fleet, &withdrawn), before, "a withdrawn domain gets no calls");
        for name in withdrawn {
            fleet.upstreams.get_mut(name).expect("an upstream").peak = 0;
        }
        fleet.apply_command_to_all(Command::RestoreDomain { domain: "d2".into() });
        // Restored upstreams start from the cold-start limit.
        fleet.run(Span::millis(20));
        fleet.run_with_load(Span::millis(30), CALL_INTERVAL, TIMEOUT);
        for name in withdrawn {
            assert!(fleet.upstreams[name].peak <= 1, "{name}: {}", fleet.upstreams[name].peak);
        }
        fleet.run_with_load(Span::seconds(8), CALL_INTERVAL, TIMEOUT);
    }
    assert!(sent(&fleet, &withdrawn) > first);
    for engine in fleet.entries.iter().flatten() {
        let dump = engine.dump(policy::Now { at: fleet.now, unix_ms: 0 });
        for name in withdrawn {
            assert_eq!(dump.upstreams[name].state, policy::upstream::State::Warm, "{name}");
        }
    }
    assert_eq!(refused(&fleet), 0);
}

#[test]
fn domain_withdrawal_expires() {
    let mut fleet = warm_fleet();
    fleet.apply_command_to_all(Command::WithdrawDomain {
        domain: "d2".into(),
        duration_ms: Some(3_000),
    });
    fleet.run_with_load(Span::seconds(2), CALL_INTERVAL, TIMEOUT);
    let before = sent(&fleet, &["u1", "u3", "u5"]);
    fleet.run_with_load(Span::millis(900), CALL_INTERVAL, TIMEOUT);
    assert_eq!(sent(&fleet, &["u1", "u3", "u5"]), before);
    fleet.run_with_load(Span::seconds(5), CALL_INTERVAL, TIMEOUT);
    assert!(sent(&fleet, &["u1", "u3", "u5"]) > before);
}

#[test]
fn domain_withdrawal_of_all_domains_queues_calls() {
    let mut fleet = warm_fleet();
    fleet.apply_command_to_all(Command::WithdrawDomain { domain: "d1".into(), duration_ms: None });
    fleet.apply_command_to_all(Command::WithdrawDomain { domain: "d2".into(), duration_ms: None });
    let answered = fleet.answered();
    let token = fleet.call(0, true, TIMEOUT);
    fleet.run(Span::millis(200));
    // Without any domain the call waits in the queue until the first domain is restored.
    assert!(!fleet.completions.contains_key(&token));
    fleet.apply_command_to_all(Command::RestoreDomain { domain: "d1".into() });
    fleet.run(Span::millis(280));
    assert_eq!(fleet.completions.get(&token), Some(&Completion::Answered));
    assert!(fleet.answered() > answered);
}

#[test]
fn connect_failures_stop_new_calls() {
    let mut fleet = warm_fleet();
    fleet.upstreams.get_mut("u0").expect("u0").behavior = Behavior::Refuses;
    fleet.run_with_load(Span::seconds(3), CALL_INTERVAL, TIMEOUT);
    // The upstream restarts cold, so its owner grants one call at a time.
    let restarted = fleet.upstreams.get_mut("u0").expect("u0");
    restarted.behavior = Behavior::Succeeds;
    restarted.cold = true;
    restarted.peak = 0;
    fleet.run_with_load(Span::seconds(12), CALL_INTERVAL, TIMEOUT);
    assert_eq!(fleet.upstreams["u0"].peak, 1);
    assert!(
        fleet.upstreams["u0"].last_sent + Span::seconds(1) > fleet.now,
        "the upstream gets no calls after its restart"
    );
    assert_eq!(refused(&fleet), 0);
}

#[test]
fn new_upstream_starts_cold() {
    let mut fleet = warm_fleet();
    fleet.apply_command_to_all(upstream(6, "v1"));
    let cold = common::Upstream { cold: true, ..common::Upstream::default() };
    fleet.upstreams.insert("u6".into(), cold);
    fleet.run_with_load(Span::seconds(5), CALL_INTERVAL, TIMEOUT);
    assert_eq!(fleet.upstreams["u6"].peak, 1);
    assert!(fleet.upstreams["u6"].sent > 10);
}
