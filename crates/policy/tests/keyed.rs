//! Tests of requests with idempotency keys, sent again through any entry.

mod common;

use base::prelude::*;
use common::{Answer, End, Fleet, config};
use policy::call::{Outcome, Refusal};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const PATIENCE: Span = Span::millis(900);

fn fleet(entries: usize) -> Fleet {
    let mut fleet = Fleet::new(entries, config(4, 4, 1));
    fleet.run(Span::seconds(30));
    fleet.load(Span::seconds(3), Span::millis(10), PATIENCE);
    fleet
}

fn send(fleet: &mut Fleet, entry: usize, key: u64) -> u64 {
    fleet.call_keyed(entry, false, PATIENCE, Some(key))
}

#[test]
fn resend_after_the_end_is_told_so() {
    let mut fleet = fleet(4);
    let first = send(&mut fleet, 0, 77);
    fleet.run(Span::millis(100));
    assert_eq!(fleet.ends[&first], End::Answered);
    for entry in 0..4 {
        let again = send(&mut fleet, entry, 77);
        fleet.run(Span::millis(100));
        assert_eq!(fleet.ends[&again], End::Refused(Refusal::KeyUsed, Outcome::Ran));
    }
    assert_eq!(fleet.runs_of(77), 1);
}

#[test]
fn resend_while_running_is_told_so() {
    let mut fleet = fleet(4);
    for upstream in fleet.upstreams.values_mut() {
        upstream.service = Span::millis(300);
    }
    send(&mut fleet, 0, 78);
    fleet.run(Span::millis(50));
    for entry in 0..4 {
        let again = send(&mut fleet, entry, 78);
        fleet.run(Span::millis(20));
        let running = End::Refused(Refusal::KeyRunning, Outcome::Unknown);
        assert_eq!(fleet.ends[&again], running, "entry {entry}");
    }
    fleet.run(Span::seconds(2));
    assert_eq!(fleet.runs_of(78), 1);
}

#[test]
fn resend_after_a_refusal_runs() {
    let mut fleet = fleet(4);
    for upstream in fleet.upstreams.values_mut() {
        upstream.answer = Answer::Refuses;
    }
    let first = send(&mut fleet, 0, 79);
    fleet.run(Span::seconds(1));
    assert!(matches!(fleet.ends[&first], End::Refused(_, Outcome::NotRun)));
    for upstream in fleet.upstreams.values_mut() {
        upstream.answer = Answer::Good;
    }
    fleet.load(Span::seconds(3), Span::millis(10), PATIENCE);
    let again = send(&mut fleet, 1, 79);
    fleet.run(Span::seconds(1));
    assert_eq!(fleet.ends[&again], End::Answered);
    assert_eq!(fleet.runs_of(79), 1);
}

#[test]
fn resend_after_the_entry_was_lost_is_unknown() {
    let mut fleet = fleet(5);
    for upstream in fleet.upstreams.values_mut() {
        upstream.service = Span::millis(300);
    }
    send(&mut fleet, 0, 80);
    fleet.run(Span::millis(50));
    fleet.kill(0);
    for second in 0..30 {
        let again = send(&mut fleet, 1 + second % 4, 80);
        fleet.run(Span::seconds(1));
        let end = fleet.ends[&again];
        let told = matches!(
            end,
            End::Refused(Refusal::KeyRunning | Refusal::KeyUnknown | Refusal::KeyUnavailable, _)
        );
        assert!(told, "second {second}: {end:?}");
    }
    assert_eq!(fleet.runs_of(80), 1);
    // Once the roster has changed, the homes know that its entry is gone.
    let last = send(&mut fleet, 1, 80);
    fleet.run(Span::seconds(1));
    assert_eq!(fleet.ends[&last], End::Refused(Refusal::KeyUnknown, Outcome::Unknown));
}

/// Lets something go wrong or right again.
fn disturb(fleet: &mut Fleet, rng: &mut SmallRng) {
    let count = fleet.entries.len();
    let (one, other) = (rng.random_range(0..count), rng.random_range(0..count));
    let live = fleet.entries.iter().flatten().count();
    match rng.random_range(0..9) {
        0 if live > 4 => fleet.kill(one),
        1 if count < 14 => {
            fleet.add();
        }
        2 => {
            fleet.paused.insert(one);
        }
        3 => fleet.paused.clear(),
        4 => {
            fleet.cut.insert((one, other));
        }
        5 => fleet.cut.clear(),
        6 => {
            fleet.storeless.insert(one);
        }
        7 => fleet.storeless.clear(),
        _ => {
            let answers =
                [Answer::Good, Answer::Good, Answer::Breaks, Answer::Refuses, Answer::Bad];
            let answer = answers[rng.random_range(0..answers.len())];
            fleet.upstreams.get_mut("u1").expect("u1").answer = answer;
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
                disturb(&mut fleet, &mut rng);
            }
            let entry = rng.random_range(0..fleet.entries.len());
            if !fleet.paused.contains(&entry) {
                send(&mut fleet, entry, rng.random_range(0..150));
                calls += 1;
            }
            fleet.run(Span::millis(rng.random_range(1..300)));
        }
        for key in 0..150 {
            let times = fleet.runs_of(key);
            assert!(times <= 1, "seed {seed}: key {key} ran {times} times");
            runs += times;
            let tokens = fleet.keys.iter().filter(|(_, one)| **one == key).map(|(token, _)| token);
            let known = |token: &u64| {
                let end = fleet.ends.get(token);
                matches!(end, Some(End::Refused(_, Outcome::NotRun)))
            };
            let all_not_run = tokens.clone().all(known) && tokens.count() > 0;
            assert!(!all_not_run || times == 0, "seed {seed}: key {key} told as not run");
        }
        answered += fleet.answered() - before;
    }
    println!("{calls} calls, {answered} answered, {runs} keys run");
    assert!(runs > 1_000, "{runs}");
}
