//! Tests that a request with an idempotency key runs at most once, whichever entries receive it.

mod common;

use base::prelude::*;
use common::{Behavior, Completion, Fleet, config};
use policy::call::{Outcome, Refusal};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const TIMEOUT: Span = Span::millis(900);

fn fleet(entries: usize) -> Fleet {
    let mut fleet = Fleet::new(entries, config(4, 4, 1));
    fleet.run(Span::seconds(30));
    fleet.run_with_load(Span::seconds(3), Span::millis(10), TIMEOUT);
    fleet
}

fn send(fleet: &mut Fleet, entry: usize, key: u64) -> u64 {
    fleet.call_with_key(entry, false, TIMEOUT, Some(key))
}

#[test]
fn resend_after_completion_is_refused() {
    let mut fleet = fleet(4);
    let first = send(&mut fleet, 0, 77);
    fleet.run(Span::millis(100));
    assert_eq!(fleet.completions[&first], Completion::Answered);
    for entry in 0..4 {
        let resent = send(&mut fleet, entry, 77);
        fleet.run(Span::millis(100));
        assert_eq!(fleet.completions[&resent], Completion::Refused(Refusal::KeyUsed, Outcome::Ran));
    }
    assert_eq!(fleet.executions_of_key(77), 1);
}

#[test]
fn resend_while_running_is_refused() {
    let mut fleet = fleet(4);
    for upstream in fleet.upstreams.values_mut() {
        upstream.service = Span::millis(300);
    }
    send(&mut fleet, 0, 78);
    fleet.run(Span::millis(50));
    for entry in 0..4 {
        let resent = send(&mut fleet, entry, 78);
        fleet.run(Span::millis(20));
        let running = Completion::Refused(Refusal::KeyRunning, Outcome::Unknown);
        assert_eq!(fleet.completions[&resent], running, "entry {entry}");
    }
    fleet.run(Span::seconds(2));
    assert_eq!(fleet.executions_of_key(78), 1);
}

#[test]
fn resend_after_a_refusal_runs() {
    let mut fleet = fleet(4);
    for upstream in fleet.upstreams.values_mut() {
        upstream.behavior = Behavior::Refuses;
    }
    let first = send(&mut fleet, 0, 79);
    fleet.run(Span::seconds(1));
    assert!(matches!(fleet.completions[&first], Completion::Refused(_, Outcome::NotRun)));
    for upstream in fleet.upstreams.values_mut() {
        upstream.behavior = Behavior::Succeeds;
    }
    fleet.run_with_load(Span::seconds(3), Span::millis(10), TIMEOUT);
    let resent = send(&mut fleet, 1, 79);
    fleet.run(Span::seconds(1));
    assert_eq!(fleet.completions[&resent], Completion::Answered);
    assert_eq!(fleet.executions_of_key(79), 1);
}

#[test]
fn resend_after_entry_loss_is_unknown() {
    let mut fleet = fleet(5);
    for upstream in fleet.upstreams.values_mut() {
        upstream.service = Span::millis(300);
    }
    send(&mut fleet, 0, 80);
    fleet.run(Span::millis(50));
    fleet.kill(0);
    for second in 0..30 {
        let resent = send(&mut fleet, 1 + second % 4, 80);
        fleet.run(Span::seconds(1));
        let completion = fleet.completions[&resent];
        let is_refused = matches!(
            completion,
            Completion::Refused(
                Refusal::KeyRunning | Refusal::KeyUnknown | Refusal::KeyUnavailable,
                _
            )
        );
        assert!(is_refused, "second {second}: {completion:?}");
    }
    assert_eq!(fleet.executions_of_key(80), 1);
    // After the roster change, the replicas of the key know that the entry is gone.
    let last = send(&mut fleet, 1, 80);
    fleet.run(Span::seconds(1));
    assert_eq!(
        fleet.completions[&last],
        Completion::Refused(Refusal::KeyUnknown, Outcome::Unknown)
    );
}

/// Injects or ends a random fault.
fn inject_fault(fleet: &mut Fleet, rng: &mut SmallRng) {
    let count = fleet.entries.len();
    let (entry, peer) = (rng.random_range(0..count), rng.random_range(0..count));
    let live = fleet.entries.iter().flatten().count();
    match rng.random_range(0..9) {
        0 if live > 4 => fleet.kill(entry),
        1 if count < 14 => {
            fleet.add_entry();
        }
        2 => {
            fleet.paused.insert(entry);
        }
        3 => fleet.paused.clear(),
        4 => {
            fleet.cut_links.insert((entry, peer));
        }
        5 => fleet.cut_links.clear(),
        6 => {
            fleet.without_store.insert(entry);
        }
        7 => fleet.without_store.clear(),
        _ => {
            let behaviors = [
                Behavior::Succeeds,
                Behavior::Succeeds,
                Behavior::Breaks,
                Behavior::Refuses,
                Behavior::Fails,
            ];
            let behavior = behaviors[rng.random_range(0..behaviors.len())];
            fleet.upstreams.get_mut("u1").expect("u1").behavior = behavior;
        }
    }
}

#[test]
fn key_runs_once_under_any_faults() {
    let (mut calls, mut answered, mut runs) = (0, 0, 0);
    for seed in 0..24 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut fleet = fleet(5);
        let before = fleet.answered();
        for _ in 0..400 {
            if rng.random_bool(0.08) {
                inject_fault(&mut fleet, &mut rng);
            }
            let entry = rng.random_range(0..fleet.entries.len());
            if !fleet.paused.contains(&entry) {
                send(&mut fleet, entry, rng.random_range(0..150));
                calls += 1;
            }
            fleet.run(Span::millis(rng.random_range(1..300)));
        }
        for key in 0..150 {
            let runs_of_key = fleet.executions_of_key(key);
            assert!(runs_of_key <= 1, "seed {seed}: key {key} ran {runs_of_key} times");
            runs += runs_of_key;
            let tokens =
                fleet.keys.iter().filter(|(_, sent)| **sent == key).map(|(token, _)| token);
            let is_not_run = |token: &u64| {
                let completion = fleet.completions.get(token);
                matches!(completion, Some(Completion::Refused(_, Outcome::NotRun)))
            };
            let all_not_run = tokens.clone().all(is_not_run) && tokens.count() > 0;
            assert!(
                !all_not_run || runs_of_key == 0,
                "seed {seed}: key {key} reported as not run although it ran"
            );
        }
        answered += fleet.answered() - before;
    }
    println!("{calls} calls, {answered} answered, {runs} keys run");
    assert!(runs > 1_000, "{runs}");
}
