//! Tests of the rate limit of log lines.

use base::prelude::*;
use node::logs::Limiter;

#[test]
fn admit_keeps_to_its_rate() {
    let mut limiter = Limiter::new(50.0, Moment(0));
    let admitted =
        (0..10_000_u64).filter(|step| limiter.admit(Moment(step * 1_000), true).is_some());
    let admitted = admitted.count();
    assert!((490..=610).contains(&admitted), "{admitted} lines in 10 s");
}

#[test]
fn admit_returns_the_suppressed_count() {
    let mut limiter = Limiter::new(1.0, Moment(0));
    while limiter.admit(Moment(0), true).is_some() {}
    for _ in 0..9 {
        assert_eq!(limiter.admit(Moment(0), true), None);
    }
    assert_eq!(limiter.admit(Moment(5_000_000), true), Some(10));
}

#[test]
fn admit_reserves_room_for_urgent_lines() {
    let mut limiter = Limiter::new(10.0, Moment(0));
    while limiter.admit(Moment(0), false).is_some() {}
    assert!(limiter.admit(Moment(0), true).is_some());
}
