//! Tests of the bound on lines of log.

use base::prelude::*;
use node::logs::Limit;

#[test]
fn pass_keeps_to_its_rate() {
    let mut limit = Limit::new(50.0, Moment(0));
    let passed = (0..10_000_u64).filter(|step| limit.pass(Moment(step * 1_000), true).is_some());
    let passed = passed.count();
    assert!((490..=610).contains(&passed), "{passed} lines in 10 s");
}

#[test]
fn pass_tells_how_many_were_not_written() {
    let mut limit = Limit::new(1.0, Moment(0));
    while limit.pass(Moment(0), true).is_some() {}
    for _ in 0..9 {
        assert_eq!(limit.pass(Moment(0), true), None);
    }
    assert_eq!(limit.pass(Moment(5_000_000), true), Some(10));
}

#[test]
fn pass_keeps_room_for_what_is_urgent() {
    let mut limit = Limit::new(10.0, Moment(0));
    while limit.pass(Moment(0), false).is_some() {}
    assert!(limit.pass(Moment(0), true).is_some());
}
