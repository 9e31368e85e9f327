//! Tests of moves between versions: good ones, bad ones, and good ones with a trap.

mod common;

use base::prelude::*;
use common::{Answer, Fleet, TICK, apply, config, upstream};
use model::command::{Command, Deadline};
use model::object::{Phase, Standing};
use policy::rollout::{Arm, Finding, Judge, Place, Row, Tally};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const ENTRIES: usize = 4;
const GAP: Span = Span::millis(8);
const PATIENCE: Span = Span::millis(500);
const WINDOW: Span = Span::seconds(60);
const NEW: [&str; 4] = ["u6", "u7", "u8", "u9"];

/// What is wrong with the new version.
#[derive(Clone, Copy, Debug)]
enum Badness {
    Fails,
    Breaks,
    FailsLater,
    FailsOnOneRoute,
    FailsUnderLoad,
    Slow,
    SlowLater,
}

/// What makes a good version look bad.
#[derive(Clone, Copy, Debug)]
enum Trap {
    Nothing,
    NoisyNeighbour,
    OneBrokenUpstream,
    ColdAgain,
    StoreDown,
    DriverKilled,
    DomainOut,
    OldFailsToo,
}

fn start() -> Fleet {
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
    fleet.load(Span::seconds(5), GAP, PATIENCE);
    fleet
}

fn begin(fleet: &mut Fleet) {
    fleet.order_all(Command::StartMove {
        service: "seal".into(),
        from: "v1".into(),
        to: "v2".into(),
        deadline: Deadline::Within(WINDOW.as_millis()),
    });
}

fn phase(fleet: &Fleet) -> Phase {
    fleet.config().moves.values().next().expect("a move").phase
}

fn sent(fleet: &Fleet) -> u64 {
    NEW.iter().map(|name| fleet.upstreams[*name].sent).sum()
}

fn make(fleet: &mut Fleet, badness: Badness) {
    for name in NEW {
        let upstream = fleet.upstreams.get_mut(name).expect("an upstream");
        match badness {
            Badness::Fails | Badness::FailsLater => upstream.answer = Answer::Bad,
            Badness::Breaks => upstream.answer = Answer::Breaks,
            Badness::FailsOnOneRoute => upstream.answer = Answer::BadOnRoute,
            Badness::FailsUnderLoad => upstream.answer = Answer::BadAbove(1),
            Badness::Slow | Badness::SlowLater => upstream.service = Span::millis(20),
        }
    }
}

/// Runs a bad move and returns the calls that reached the new version after its badness, the time
/// from then to its last call, and all calls of that time.
fn run_bad(badness: Badness) -> (u64, Span, u64) {
    let mut fleet = start();
    let later = matches!(badness, Badness::FailsLater | Badness::SlowLater);
    if !later {
        make(&mut fleet, badness);
    }
    begin(&mut fleet);
    if later {
        fleet.load(Span::seconds(20), GAP, PATIENCE);
        assert_eq!(phase(&fleet), Phase::Running, "{badness:?}");
        assert!(sent(&fleet) > 50, "{badness:?}: {}", sent(&fleet));
        make(&mut fleet, badness);
    }
    let (before, from) = (sent(&fleet), fleet.now);
    let calls = fleet.ends.len();
    fleet.load(Span::seconds(50), GAP, PATIENCE);
    assert_eq!(phase(&fleet), Phase::RolledBack, "{badness:?}");
    assert_eq!(fleet.config().versions["seal/v2"].standing, Standing::Bad, "{badness:?}");
    assert_eq!(fleet.config().services["seal"].serving.as_deref(), Some("v1"));
    let bad = sent(&fleet) - before;
    let last = NEW.iter().map(|name| fleet.upstreams[*name].last_sent).max().unwrap_or_default();
    fleet.load(Span::seconds(3), GAP, PATIENCE);
    assert_eq!(sent(&fleet) - before, bad, "{badness:?}: it got more afterwards");
    (bad, last.since(from), (fleet.ends.len() - calls) as u64)
}

#[test]
fn bad_version_gets_little_and_then_nothing() {
    let all = [
        (Badness::Fails, 40),
        (Badness::Breaks, 40),
        (Badness::FailsLater, 120),
        (Badness::FailsOnOneRoute, 150),
        (Badness::FailsUnderLoad, 1_500),
        (Badness::Slow, 60),
        (Badness::SlowLater, 150),
    ];
    for (badness, bound) in all {
        let (bad, time, calls) = run_bad(badness);
        println!("{badness:?}: {bad} of {calls} calls, last after {} ms", time.as_millis());
        assert!(bad <= bound, "{badness:?}: {bad} calls reached it");
    }
}

fn set(fleet: &mut Fleet, trap: Trap) {
    match trap {
        Trap::Nothing => {}
        Trap::NoisyNeighbour => {
            fleet.upstreams.get_mut("u7").expect("u7").service = Span::millis(25);
        }
        Trap::OneBrokenUpstream => {
            fleet.upstreams.get_mut("u7").expect("u7").answer = Answer::Bad;
        }
        Trap::ColdAgain => fleet.upstreams.get_mut("u8").expect("u8").cold = true,
        Trap::StoreDown => fleet.storeless.extend(0..ENTRIES),
        Trap::DriverKilled => {
            let driver = (0..ENTRIES).find(|entry| {
                let engine = fleet.entries[*entry].as_ref().expect("a live entry");
                let dump = engine.dump(policy::Now { at: fleet.now, unix_ms: 0 });
                dump.moves.values().any(|one| one.state.is_some())
            });
            fleet.kill(driver.expect("a driver"));
        }
        Trap::DomainOut => {
            fleet.order_all(Command::WithdrawDomain { domain: "d2".into(), duration_ms: None });
        }
        Trap::OldFailsToo => {
            for (number, upstream) in fleet.upstreams.values_mut().enumerate() {
                // One upstream of each version fails.
                if number == 1 || number == 7 {
                    upstream.answer = Answer::Bad;
                }
            }
        }
    }
}

#[test]
fn good_version_finishes_in_time() {
    let traps = [
        Trap::Nothing,
        Trap::NoisyNeighbour,
        Trap::OneBrokenUpstream,
        Trap::ColdAgain,
        Trap::StoreDown,
        Trap::DriverKilled,
        Trap::DomainOut,
        Trap::OldFailsToo,
    ];
    for trap in traps {
        let mut fleet = start();
        begin(&mut fleet);
        fleet.load(Span::seconds(8), GAP, PATIENCE);
        set(&mut fleet, trap);
        fleet.load(Span::seconds(12), GAP, PATIENCE);
        fleet.upstreams.get_mut("u8").expect("u8").cold = false;
        fleet.load(Span::seconds(26), GAP, PATIENCE);
        // The store returns before the deadline.
        fleet.storeless.clear();
        fleet.load(Span::seconds(12), GAP, PATIENCE);
        assert_eq!(phase(&fleet), Phase::Done, "{trap:?}");
        assert_eq!(fleet.config().services["seal"].serving.as_deref(), Some("v2"), "{trap:?}");
    }
}

#[test]
fn move_without_evidence_is_taken_back_at_its_deadline() {
    let mut fleet = start();
    begin(&mut fleet);
    fleet.run(WINDOW);
    fleet.run(Span::seconds(3));
    assert_eq!(phase(&fleet), Phase::RolledBack);
    // It came too late, which says nothing of the version.
    assert_eq!(fleet.config().versions["seal/v2"].standing, Standing::Good);
}

#[test]
fn paused_move_keeps_its_share() {
    let mut fleet = start();
    begin(&mut fleet);
    fleet.load(Span::seconds(8), GAP, PATIENCE);
    let name = fleet.config().moves.keys().next().expect("a move").clone();
    let order = |phase| Command::SetMove { name: name.clone(), phase, reason: String::new() };
    fleet.order_all(order(Phase::Paused));
    let share = |fleet: &Fleet| {
        let engine = fleet.entries[0].as_ref().expect("a live entry");
        engine.dump(policy::Now { at: fleet.now, unix_ms: 0 }).moves[&name].mille
    };
    fleet.load(Span::seconds(1), GAP, PATIENCE);
    let paused = share(&fleet);
    fleet.load(Span::seconds(15), GAP, PATIENCE);
    assert_eq!(share(&fleet), paused);
    fleet.order_all(order(Phase::Running));
    fleet.load(Span::seconds(15), GAP, PATIENCE);
    assert!(share(&fleet) > paused);
    fleet.order_all(order(Phase::RolledBack));
    fleet.run(TICK);
    let before = sent(&fleet);
    fleet.load(Span::seconds(2), GAP, PATIENCE);
    assert_eq!(sent(&fleet), before);
}

/// Makes a tally of `count` answers with failures and lognormal times.
fn tally(rng: &mut SmallRng, count: u32, failures: f64, scale: f64) -> Tally {
    let mut tally = Tally::default();
    for _ in 0..count {
        // The sum of three uniform values has a variance of a quarter.
        let normal = 2.0 * ((0..3).map(|_| rng.random::<f64>()).sum::<f64>() - 1.5);
        tally.add(rng.random_bool(failures), Some(scale * (0.6 * normal).exp()));
    }
    tally
}

/// Runs the tests of one move over five routes and four upstreams; returns the look at which the
/// new version was found bad.
fn judge(seed: u64, failures: f64, slowness: f64) -> Option<u32> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut judge = Judge::default();
    let mut sums: std::collections::BTreeMap<Place, Tally> = std::collections::BTreeMap::new();
    for look in 0..60 {
        let mut rows = Vec::new();
        for route in 1..=5 {
            let old = Place { arm: Arm::Old, route, upstream: 0 };
            let places = (1..=4).map(|upstream| Place { arm: Arm::New, route, upstream });
            for place in [old].into_iter().chain(places) {
                let (count, failures, scale) = match place.arm {
                    Arm::Old => (40, 0.003, 5_000.0),
                    Arm::New => (5, failures, 5_000.0 * slowness),
                };
                // The first upstream has a noisy neighbour.
                let noise = if place.upstream == 1 { 3.0 } else { 1.0 };
                let sum = sums.entry(place).or_default();
                sum.merge(&tally(&mut rng, count, failures, scale * noise));
                rows.push(Row { place, tally: sum.clone() });
            }
        }
        judge.take(1, &rows, true);
        if matches!(judge.finding(), Finding::Bad(_)) {
            return Some(look);
        }
    }
    None
}

#[test]
fn judge_takes_back_few_good_moves() {
    let wrong = (0..1_000).filter(|seed| judge(*seed, 0.003, 1.0).is_some()).count();
    println!("{wrong} of 1000 good moves taken back");
    assert!(wrong <= 2, "{wrong} of 1000");
}

#[test]
fn judge_finds_bad_moves() {
    for (failures, slowness) in [(0.5, 1.0), (0.1, 1.0), (0.003, 3.0)] {
        let looks: Vec<Option<u32>> = (0..50).map(|seed| judge(seed, failures, slowness)).collect();
        let slowest = looks.iter().flatten().max();
        println!("failures {failures}, slowness {slowness}: found by look {slowest:?}");
        assert!(looks.iter().all(Option::is_some), "failures {failures}, slowness {slowness}");
    }
}
