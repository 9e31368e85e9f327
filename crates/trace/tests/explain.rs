//! Tests that the cause of a request's outcome is found, on logs of a run with injected faults.

use expect_test::{Expect, expect};
use trace::explanation::Fault;
use trace::{Cause, Explanation};

const WITHDRAWN: &str = include_str!("data/withdrawn.log");
const RESET: &str = include_str!("data/reset.log");
const SLOW: &str = include_str!("data/slow.log");

const CROSSED: &str = include_str!("data/crossed.log");

fn explain(id: &str, logs: &str) -> Explanation {
    Explanation::read(id, logs.as_bytes()).expect("the request is there")
}

fn check(id: &str, logs: &str, expected: &Expect) {
    let explanation = explain(id, logs);
    let causes: Vec<String> = explanation.causes.iter().map(ToString::to_string).collect();
    expected.assert_eq(&causes.join("; "));
}

#[test]
fn explain_refused_while_a_domain_is_withdrawn() {
    check(
        "f695dcba26e5f4fe",
        WITHDRAWN,
        &expect![
            "not run: 5 upstreams are in withdrawn domains (brest), and of the 5 ready ones 5 had no free slot"
        ],
    );
}

#[test]
fn explain_unknown_after_an_upstream_ended() {
    check(
        "4ff2f337a1e613ad",
        RESET,
        &expect![
            "outcome unknown: the connection to i-7de4f6728f broke; nodes found the upstream out of reach then, so it ended"
        ],
    );
}

#[test]
fn explain_late_behind_a_slow_upstream() {
    check(
        "522e59eb12f73dda",
        SLOW,
        &expect!["late behind i-b9784e3633: 629 ms, 185 expected from a report 81 ms old"],
    );
}

#[test]
fn explain_unknown_after_a_response_to_another_request() {
    let expected =
        expect!["outcome unknown: i-raw sent a response that belongs to another request"];
    check("a-1", CROSSED, &expected);
}

#[test]
fn explain_refused_while_the_node_stops() {
    let expected =
        expect!["not run: the node was stopping, and the request might have outlasted it"];
    check("late", CROSSED, &expected);
}

/// The logs of several nodes are concatenated, so their lines are not in the order of time.
#[test]
fn explain_accepts_any_order_of_lines() {
    let mut lines: Vec<&str> = WITHDRAWN.lines().collect();
    lines.reverse();
    let reversed = explain("f695dcba26e5f4fe", &lines.join("\n"));
    let times: Vec<u64> = reversed.lines.iter().map(|line| line.ms).collect();
    assert!(times.is_sorted(), "{times:?}");
    assert!(matches!(reversed.causes[..], [Cause::Withdrawn { .. }]));
}

/// Logs may contain lines of other programs and truncated lines.
#[test]
fn explain_skips_foreign_lines() {
    let logs = format!("booting\n{{\"ms\":\n{{}}\n{RESET}\n{{\"ms\":1,\"event\":\"request\"}}");
    assert_eq!(explain("4ff2f337a1e613ad", &logs).causes.len(), 1);
}

#[test]
fn explain_unknown_identity_fails() {
    let fault = Explanation::read("nobody", SLOW.as_bytes()).expect_err("no such request");
    assert!(matches!(fault, Fault::Unknown { .. }));
}
