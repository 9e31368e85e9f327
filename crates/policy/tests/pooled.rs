//! Tests of the pooled judge, for many upstreams with few responses each.

use policy::rollout::{Arm, Finding, Group, Judge, Row, Tally};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Number of upstreams of the new version.
const UPSTREAMS: u64 = 15;
/// Responses of the new version in one trial.
const RESPONSES: usize = 60;
/// Usual and slow service time, in microseconds.
const TIMES: [f64; 2] = [90_000.0, 720_000.0];
/// Share of slow responses of the old version, caused by noisy neighbours.
const OLD_SLOW: f64 = 0.05;
/// Trials for each case.
const SEEDS: u64 = 300;

fn row(arm: Arm, upstream: u64, slow: bool, failed: bool) -> Row {
    let mut tally = Tally::default();
    tally.add(failed, Some(TIMES[usize::from(slow)]));
    Row { group: Group { arm, route: 1, upstream }, tally }
}

/// Runs one trial; `slow` and `failed` return the shares of the new version's responses by
/// upstream.
fn run_trial(
    mut judge: Judge,
    seed: u64,
    slow: impl Fn(u64) -> f64,
    failed: impl Fn(u64) -> f64,
) -> Finding {
    let mut rng = SmallRng::seed_from_u64(seed);
    // Each response comes from a new member, so that rows need not be cumulative.
    let mut member = 0;
    let mut add = |judge: &mut Judge, row: Row| {
        member += 1;
        judge.add(member, &[row], true);
    };
    for _ in 0..300 {
        let response = row(Arm::Old, 0, rng.random_bool(OLD_SLOW), false);
        add(&mut judge, response);
    }
    for _ in 0..RESPONSES {
        let upstream = rng.random_range(1..=UPSTREAMS);
        let failed = rng.random_bool(failed(upstream));
        let response = row(Arm::New, upstream, rng.random_bool(slow(upstream)), failed);
        add(&mut judge, response);
        if let Finding::Bad(_) = judge.finding() {
            break;
        }
    }
    judge.finding()
}

fn count_findings(
    judge: fn() -> Judge,
    slow: f64,
    failed: f64,
    predicate: fn(Finding) -> bool,
) -> usize {
    let found = (0..SEEDS).map(|seed| run_trial(judge(), seed, |_| slow, |_| failed));
    found.filter(|finding| predicate(*finding)).count()
}

fn is_clear(finding: Finding) -> bool {
    finding == Finding::Clear
}

#[test]
fn judge_pooled_finds_what_single_upstreams_hide() {
    let pooled = count_findings(Judge::pooled, 0.4, 0.0, is_clear);
    let single = count_findings(Judge::default, 0.4, 0.0, is_clear);
    assert!(pooled <= 3, "{pooled} of {SEEDS} slow versions are not detected");
    assert!(single > 30, "each upstream by itself conceals only {single}");
}

#[test]
fn judge_pooled_finds_failures() {
    let pooled = count_findings(Judge::pooled, OLD_SLOW, 0.4, is_clear);
    assert_eq!(pooled, 0, "of {SEEDS} failing versions are not detected");
}

#[test]
fn judge_pooled_finds_no_good_version_bad() {
    let bad = |finding| matches!(finding, Finding::Bad(_));
    assert_eq!(count_findings(Judge::pooled, OLD_SLOW, 0.004, bad), 0);
    let doubtful = count_findings(Judge::pooled, OLD_SLOW, 0.004, |finding| !is_clear(finding));
    assert!(doubtful <= 15, "{doubtful} of {SEEDS} good versions raise doubts");
}

#[test]
fn judge_pooled_leaves_one_bad_upstream_out() {
    let slow = |upstream| if upstream == 3 { 0.9 } else { OLD_SLOW };
    let failed = |upstream| if upstream == 3 { 0.6 } else { 0.004 };
    let found = (0..SEEDS).map(|seed| run_trial(Judge::pooled(), seed, slow, failed));
    let bad = found.filter(|finding| matches!(finding, Finding::Bad(_))).count();
    assert!(bad <= 3, "{bad} of {SEEDS} versions are rejected for one bad upstream");
}
