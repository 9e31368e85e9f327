//! Tests of moves to bad versions, and to good versions under disturbances.

mod common;

use base::prelude::*;
use common::{Behavior, Fleet, TICK, apply, config, upstream};
use model::command::{Command, Deadline};
use model::object::{Phase, Standing};
use policy::rollout::{Arm, Finding, Group, Judge, Row, Tally};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const ENTRIES: usize = 4;
const CALL_INTERVAL: Span = Span::millis(8);
const TIMEOUT: Span = Span::millis(500);
const WINDOW: Span = Span::seconds(60);
const NEW_UPSTREAMS: [&str; 4] = ["u6", "u7", "u8", "u9"];

/// Defects of the new version.
#[derive(Clone, Copy, Debug)]
enum Defect {
    Fails,
    Breaks,
    FailsLater,
    FailsOnOneRoute,
    FailsUnderLoad,
    Slow,
    SlowLater,
}

/// Disturbances that could make a good version look bad.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    Nothing,
    NoisyNeighbour,
    OneBrokenUpstream,
    ColdRestart,
    StoreDown,
    DriverKilled,
    DomainWithdrawn,
    BothVersionsFail,
}

fn warm_fleet() -> Fleet {
    let mut config = config(6, 4, 1);
    for number in 6..10 {
        config = apply(&config, upstream(number, "v2"), common::EPOCH_MS);
    }
    let route = Command::CreateRoute {
        service: "seal".into(),
        method: None,
        prefix: "/seal".into(),
        idempotent: true,
    };
    let config = apply(&config, route, common::EPOCH_MS);
    let mut fleet = Fleet::new(ENTRIES, config);
    fleet.run(Span::seconds(30));
    fleet.run_with_load(Span::seconds(5), CALL_INTERVAL, TIMEOUT);
    fleet
}

fn start_move(fleet: &mut Fleet) {
    fleet.apply_command_to_all(Command::StartMove {
        service: "seal".into(),
        from: "v1".into(),
        to: "v2".into(),
        deadline: Deadline::Within(WINDOW.as_millis()),
    });
}

fn phase(fleet: &Fleet) -> Phase {
    fleet.config().moves.values().next().expect("a move").phase
}

fn sent_to_new(fleet: &Fleet) -> u64 {
    NEW_UPSTREAMS.iter().map(|name| fleet.upstreams[*name].sent).sum()
}

fn apply_defect(fleet: &mut Fleet, defect: Defect) {
    for name in NEW_UPSTREAMS {
        let upstream = fleet.upstreams.get_mut(name).expect("an upstream");
        match defect {
            Defect::Fails | Defect::FailsLater => upstream.behavior = Behavior::Fails,
            Defect::Breaks => upstream.behavior = Behavior::Breaks,
            Defect::FailsOnOneRoute => upstream.behavior = Behavior::FailsOnRoute,
            Defect::FailsUnderLoad => upstream.behavior = Behavior::FailsAbove(1),
            Defect::Slow | Defect::SlowLater => upstream.service = Span::millis(20),
        }
    }
}

/// Runs a move to a bad version. Returns the number of calls that reached the new version after the
/// defect began, the time from then to the last of them, and the number of all calls since then.
fn run_bad(defect: Defect) -> (u64, Span, u64) {
    let mut fleet = warm_fleet();
    let later = matches!(defect, Defect::FailsLater | Defect::SlowLater);
    if !later {
        apply_defect(&mut fleet, defect);
    }
    start_move(&mut fleet);
    if later {
        fleet.run_with_load(Span::seconds(20), CALL_INTERVAL, TIMEOUT);
        assert_eq!(phase(&fleet), Phase::Running, "{defect:?}");
        assert!(sent_to_new(&fleet) > 50, "{defect:?}: {}", sent_to_new(&fleet));
        apply_defect(&mut fleet, defect);
    }
    let (before, from) = (sent_to_new(&fleet), fleet.now);
    let calls = fleet.completions.len();
    fleet.run_with_load(Span::seconds(50), CALL_INTERVAL, TIMEOUT);
    assert_eq!(phase(&fleet), Phase::RolledBack, "{defect:?}");
    assert_eq!(fleet.config().versions["seal/v2"].standing, Standing::Bad, "{defect:?}");
    assert_eq!(fleet.config().services["seal"].serving.as_deref(), Some("v1"));
    let bad = sent_to_new(&fleet) - before;
    let last =
        NEW_UPSTREAMS.iter().map(|name| fleet.upstreams[*name].last_sent).max().unwrap_or_default();
    fleet.run_with_load(Span::seconds(3), CALL_INTERVAL, TIMEOUT);
    assert_eq!(sent_to_new(&fleet) - before, bad, "{defect:?}: it received more calls afterwards");
    (bad, last.since(from), (fleet.completions.len() - calls) as u64)
}

#[test]
fn bad_version_gets_few_calls_and_is_rolled_back() {
    let cases = [
        (Defect::Fails, 40),
        (Defect::Breaks, 40),
        (Defect::FailsLater, 120),
        (Defect::FailsOnOneRoute, 150),
        (Defect::FailsUnderLoad, 1_500),
        (Defect::Slow, 60),
        (Defect::SlowLater, 150),
    ];
    for (defect, bound) in cases {
        let (bad, time, calls) = run_bad(defect);
        println!("{defect:?}: {bad} of {calls} calls, last after {} ms", time.as_millis());
        assert!(bad <= bound, "{defect:?}: {bad} calls reached the new version");
    }
}

/// Two entries move a small share of few calls over a long time, so that back-offs of failing
/// upstreams must not use up the time: the evidence has to suffice within half a minute.
#[test]
fn bad_version_with_a_small_share_is_rolled_back_soon() {
    const LONG_WINDOW: Span = Span::seconds(600);
    for calls_apart in [5, 6, 7, 8, 9, 10, 11, 12] {
        let mut config = config(2, 2, 1);
        for number in 2..4 {
            config = apply(&config, upstream(number, "v2"), common::EPOCH_MS);
        }
        let mut fleet = Fleet::new(2, config);
        fleet.run(Span::seconds(30));
        for name in ["u2", "u3"] {
            fleet.upstreams.get_mut(name).expect("an upstream").behavior = Behavior::Fails;
        }
        fleet.apply_command_to_all(Command::StartMove {
            service: "seal".into(),
            from: "v1".into(),
            to: "v2".into(),
            deadline: Deadline::Within(LONG_WINDOW.as_millis()),
        });
        fleet.run_with_load(Span::seconds(33), Span::millis(calls_apart), TIMEOUT);
        let sent: Vec<u64> = ["u2", "u3"].map(|name| fleet.upstreams[name].sent).into();
        println!("a call in {calls_apart} ms: {sent:?} calls reached the new version");
        assert_eq!(phase(&fleet), Phase::RolledBack, "{calls_apart}: {sent:?}");
        assert!(sent.iter().sum::<u64>() < 60, "{calls_apart}: {sent:?}");
    }
}

fn apply_disturbance(fleet: &mut Fleet, disturbance: Disturbance) {
    match disturbance {
        Disturbance::Nothing => {}
        Disturbance::NoisyNeighbour => {
            fleet.upstreams.get_mut("u7").expect("u7").service = Span::millis(25);
        }
        Disturbance::OneBrokenUpstream => {
            fleet.upstreams.get_mut("u7").expect("u7").behavior = Behavior::Fails;
        }
        Disturbance::ColdRestart => fleet.upstreams.get_mut("u8").expect("u8").cold = true,
        Disturbance::StoreDown => fleet.without_store.extend(0..ENTRIES),
        Disturbance::DriverKilled => {
            let driver = (0..ENTRIES).find(|entry| {
                let engine = fleet.entries[*entry].as_ref().expect("a live entry");
                let dump = engine.dump(policy::Now { at: fleet.now, unix_ms: 0 });
                dump.moves.values().any(|summary| summary.state.is_some())
            });
            fleet.kill(driver.expect("a driver"));
        }
        Disturbance::DomainWithdrawn => {
            fleet.apply_command_to_all(Command::WithdrawDomain {
                domain: "d2".into(),
                duration_ms: None,
            });
        }
        Disturbance::BothVersionsFail => {
            for (number, upstream) in fleet.upstreams.values_mut().enumerate() {
                // One upstream of each version fails.
                if number == 1 || number == 7 {
                    upstream.behavior = Behavior::Fails;
                }
            }
        }
    }
}

#[test]
fn good_version_finishes_in_time() {
    let disturbances = [
        Disturbance::Nothing,
        Disturbance::NoisyNeighbour,
        Disturbance::OneBrokenUpstream,
        Disturbance::ColdRestart,
        Disturbance::StoreDown,
        Disturbance::DriverKilled,
        Disturbance::DomainWithdrawn,
        Disturbance::BothVersionsFail,
    ];
    for disturbance in disturbances {
        let mut fleet = warm_fleet();
        start_move(&mut fleet);
        fleet.run_with_load(Span::seconds(8), CALL_INTERVAL, TIMEOUT);
        apply_disturbance(&mut fleet, disturbance);
        fleet.run_with_load(Span::seconds(12), CALL_INTERVAL, TIMEOUT);
        fleet.upstreams.get_mut("u8").expect("u8").cold = false;
        fleet.run_with_load(Span::seconds(26), CALL_INTERVAL, TIMEOUT);
        // The store is reachable again before the deadline.
        fleet.without_store.clear();
        fleet.run_with_load(Span::seconds(12), CALL_INTERVAL, TIMEOUT);
        assert_eq!(phase(&fleet), Phase::Done, "{disturbance:?}");
        assert_eq!(
            fleet.config().services["seal"].serving.as_deref(),
            Some("v2"),
            "{disturbance:?}"
        );
    }
}

#[test]
fn move_without_evidence_is_rolled_back_at_its_deadline() {
    let mut fleet = warm_fleet();
    start_move(&mut fleet);
    fleet.run(WINDOW);
    fleet.run(Span::seconds(3));
    assert_eq!(phase(&fleet), Phase::RolledBack);
    // A missed deadline does not mark the version as bad.
    assert_eq!(fleet.config().versions["seal/v2"].standing, Standing::Good);
}

#[test]
fn paused_move_keeps_its_share() {
    let mut fleet = warm_fleet();
    start_move(&mut fleet);
    fleet.run_with_load(Span::seconds(8), CALL_INTERVAL, TIMEOUT);
    let name = fleet.config().moves.keys().next().expect("a move").clone();
    let set_phase = |phase| Command::SetMove { name: name.clone(), phase, reason: String::new() };
    fleet.apply_command_to_all(set_phase(Phase::Paused));
    let share = |fleet: &Fleet| {
        let engine = fleet.entries[0].as_ref().expect("a live entry");
        engine.dump(policy::Now { at: fleet.now, unix_ms: 0 }).moves[&name].mille
    };
    fleet.run_with_load(Span::seconds(1), CALL_INTERVAL, TIMEOUT);
    let paused = share(&fleet);
    fleet.run_with_load(Span::seconds(15), CALL_INTERVAL, TIMEOUT);
    assert_eq!(share(&fleet), paused);
    fleet.apply_command_to_all(set_phase(Phase::Running));
    fleet.run_with_load(Span::seconds(15), CALL_INTERVAL, TIMEOUT);
    assert!(share(&fleet) > paused);
    fleet.apply_command_to_all(set_phase(Phase::RolledBack));
    fleet.run(TICK);
    let before = sent_to_new(&fleet);
    fleet.run_with_load(Span::seconds(2), CALL_INTERVAL, TIMEOUT);
    assert_eq!(sent_to_new(&fleet), before);
}

/// Creates a tally of `count` responses with failures and lognormal service times.
fn tally(rng: &mut SmallRng, count: u32, failures: f64, scale: f64) -> Tally {
    let mut tally = Tally::default();
    for _ in 0..count {
        // The sum of three uniform values has a variance of a quarter.
        let normal = 2.0 * ((0..3).map(|_| rng.random::<f64>()).sum::<f64>() - 1.5);
        tally.add(rng.random_bool(failures), Some(scale * (0.6 * normal).exp()));
    }
    tally
}

/// Runs the tests of one move over five routes and four upstreams. Returns the round in which the
/// new version was found bad.
fn judge(seed: u64, failures: f64, slowness: f64) -> Option<u32> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut judge = Judge::default();
    let mut sums: std::collections::BTreeMap<Group, Tally> = std::collections::BTreeMap::new();
    for round in 0..60 {
        let mut rows = Vec::new();
        for route in 1..=5 {
            let old = Group { arm: Arm::Old, route, upstream: 0 };
            let new_groups = (1..=4).map(|upstream| Group { arm: Arm::New, route, upstream });
            for group in [old].into_iter().chain(new_groups) {
                let (count, failures, scale) = match group.arm {
                    Arm::Old => (40, 0.003, 5_000.0),
                    Arm::New => (5, failures, 5_000.0 * slowness),
                };
                // The first upstream has a noisy neighbour.
                let noise = if group.upstream == 1 { 3.0 } else { 1.0 };
                let sum = sums.entry(group).or_default();
                sum.merge(&tally(&mut rng, count, failures, scale * noise));
                rows.push(Row { group, tally: sum.clone() });
            }
        }
        judge.add(1, &rows, true);
        if matches!(judge.finding(), Finding::Bad(_)) {
            return Some(round);
        }
    }
    None
}

#[test]
fn judge_rejects_few_good_versions() {
    let rejected = (0..1_000).filter(|seed| judge(*seed, 0.003, 1.0).is_some()).count();
    println!("{rejected} of 1000 good versions rejected");
    assert!(rejected <= 2, "{rejected} of 1000");
}

#[test]
fn judge_rejects_bad_versions() {
    for (failures, slowness) in [(0.5, 1.0), (0.1, 1.0), (0.003, 3.0)] {
        let rounds: Vec<Option<u32>> =
            (0..50).map(|seed| judge(seed, failures, slowness)).collect();
        let slowest = rounds.iter().flatten().max();
        println!("failures {failures}, slowness {slowness}: detected by round {slowest:?}");
        assert!(rounds.iter().all(Option::is_some), "failures {failures}, slowness {slowness}");
    }
}
