//! Determines why a request failed or was late.

use base::record;
use derive_more::Display;

use crate::line::{Attempt, Line, Record, Request};

/// Multiple of the expected time above which an attempt counts as slow.
const SLOW_FACTOR: u64 = 2;
/// Time after a request's answer within which a report that the upstream is unreachable explains a
/// broken connection, in ms.
const UNREACHABLE_AFTER_MS: u64 = 2_000;
/// Time before a request's answer within which such a report explains a broken connection, in ms.
const UNREACHABLE_BEFORE_MS: u64 = 500;
/// Cause that a node logs for a request that it refuses because it stops.
const STOPPING: &str = "the node stops";
/// Fault that a node logs for an attempt on whose connection a response to another one arrived.
const OTHER_ATTEMPT: &str = "the response belongs to another attempt";

record! {
    /// The cause of a request's outcome.
    #[derive(Display)]
    pub enum Cause {
        /// The request was answered in the expected time.
        #[display("answered as expected")]
        Expected,
        /// The node had not received any routes yet.
        #[display("the node knew no routes yet: it had just started, or could not reach the store")]
        NoRoutes,
        /// The node was stopping and could not have answered in time.
        #[display("not run: the node was stopping, and the request might have outlasted it")]
        Stopping,
        /// No route matches the request.
        #[display("no route of table {table} fits its host and path")]
        NoRoute {
            /// Version of the table of routes.
            table: u64,
        },
        /// No upstream could take the request, and some were in withdrawn domains.
        #[display(
            "not run: {withdrawn} upstreams are in withdrawn domains ({domains}), and of the \
             {warm} ready ones {full} had no free slot"
        )]
        Withdrawn {
            /// Number of upstreams in withdrawn domains.
            withdrawn: u32,
            /// Names of the withdrawn domains, joined by commas.
            domains: String,
            /// Number of ready upstreams.
            warm: u32,
            /// Number of ready upstreams without a free slot.
            full: u32,
        },
        /// No upstream could take the request.
        #[display("not run: of {warm} ready upstreams {full} had no free slot, {failing} failed")]
        Full {
            /// Number of ready upstreams.
            warm: u32,
            /// Number of ready upstreams without a free slot.
            full: u32,
            /// Number of upstreams that fail or are unreachable.
            failing: u32,
        },
        /// Upstreams refused the request, and no retry was left.
        #[display("not run: refused by {upstreams}, and no repeat was left")]
        Refused {
            /// Identities of the upstreams, joined by commas.
            upstreams: String,
        },
        /// The connection to an upstream broke, so it is unknown whether the request was executed.
        #[display("outcome unknown: the connection to {upstream} broke; {}", upstream_state(*down))]
        Broken {
            /// Identity of the upstream.
            upstream: String,
            /// Whether any node found the upstream unreachable around that time.
            down: bool,
        },
        /// An upstream sent the response to another request, so it is unknown whether this one was
        /// executed.
        #[display("outcome unknown: {upstream} sent a response that belongs to another request")]
        OtherAttempt {
            /// Identity of the upstream.
            upstream: String,
        },
        /// An upstream answered with a failure.
        #[display("{upstream} answered with a failure")]
        Failed {
            /// Identity of the upstream.
            upstream: String,
        },
        /// No answer arrived in time.
        #[display("{upstream} had not answered after {ms} ms, {expected_ms} were expected")]
        Silent {
            /// Identity of the upstream.
            upstream: String,
            /// Time since the request was sent, in milliseconds.
            ms: u64,
            /// Expected time, in milliseconds.
            expected_ms: u64,
        },
        /// An upstream took longer than expected.
        #[display(
            "late behind {upstream}: {ms} ms, {expected_ms} expected from a report {age_ms} ms old"
        )]
        Slow {
            /// Identity of the upstream.
            upstream: String,
            /// Time until the answer, in milliseconds.
            ms: u64,
            /// Expected time, in milliseconds.
            expected_ms: u64,
            /// Age of the upstream's report when the request was sent, in milliseconds.
            age_ms: u64,
        },
        /// Another cause, which the log line itself gives.
        #[display("{words}")]
        Other {
            /// Cause as the node logged it.
            words: String,
        },
    }
}

fn upstream_state(down: bool) -> &'static str {
    if down {
        "nodes found the upstream out of reach then, so it ended"
    } else {
        "the upstream itself lived on"
    }
}

impl Cause {
    /// Determines the cause of a request's outcome from the lines of all nodes.
    ///
    /// `node` is the node that answered the request, at `ms` in Unix milliseconds.
    #[must_use]
    pub fn find(request: &Request, node: &str, ms: u64, lines: &[Line]) -> Self {
        match request.status {
            404 if request.sends.is_empty() => Self::NoRoute { table: request.table },
            503 if request.cause == STOPPING => Self::Stopping,
            503 if request.table == 0 => Self::NoRoutes,
            503 => explain_not_run(request, node, ms, lines),
            _ => explain_sent(request, ms, lines),
        }
    }
}

fn explain_not_run(request: &Request, node: &str, ms: u64, lines: &[Line]) -> Cause {
    if !request.sends.is_empty() {
        let upstreams: Vec<&str> =
            request.sends.iter().map(|attempt| attempt.to.as_str()).collect();
        return Cause::Refused { upstreams: upstreams.join(", ") };
    }
    let Some(seen) = request.seen else { return Cause::Other { words: request.cause.clone() } };
    if seen.withdrawn > 0 {
        let domains = withdrawn_domains(node, ms, lines);
        return Cause::Withdrawn {
            withdrawn: seen.withdrawn,
            domains: domains.join(", "),
            warm: seen.warm,
            full: seen.full,
        };
    }
    Cause::Full { warm: seen.warm, full: seen.full, failing: seen.failing }
}

/// Returns the domains that were withdrawn at time `ms` according to a node.
fn withdrawn_domains(node: &str, ms: u64, lines: &[Line]) -> Vec<String> {
    let mut domains: Vec<String> = Vec::new();
    for line in lines.iter().filter(|line| line.node == node && line.ms <= ms) {
        if let Record::Withdrawal { domain, withdrawn } = &line.record {
            domains.retain(|other| other != domain);
            if *withdrawn {
                domains.push(domain.clone());
            }
        }
    }
    domains
}

fn explain_sent(request: &Request, ms: u64, lines: &[Line]) -> Cause {
    let Some(first) = request.sends.first() else {
        return Cause::Other { words: request.cause.clone() };
    };
    let last_attempt_with_end =
        |end: &str| request.sends.iter().rfind(|attempt| attempt.end.as_deref() == Some(end));
    if (200..300).contains(&request.status) {
        return if is_slow(first) { slow_cause(first) } else { Cause::Expected };
    }
    if let Some(attempt) = last_attempt_with_end("broken") {
        if attempt.fault.as_deref() == Some(OTHER_ATTEMPT) {
            return Cause::OtherAttempt { upstream: attempt.to.clone() };
        }
        let down = is_down(&attempt.to, ms, lines);
        return Cause::Broken { upstream: attempt.to.clone(), down };
    }
    match last_attempt_with_end("failed") {
        Some(attempt) => Cause::Failed { upstream: attempt.to.clone() },
        None => {
            let (ms, expected_ms) = (first.ms, first.cost_ms);
            Cause::Silent { upstream: first.to.clone(), ms, expected_ms }
        }
    }
}

fn is_slow(attempt: &Attempt) -> bool {
    attempt.ms > SLOW_FACTOR * attempt.cost_ms.max(1)
}

fn slow_cause(attempt: &Attempt) -> Cause {
    Cause::Slow {
        upstream: attempt.to.clone(),
        ms: attempt.ms,
        expected_ms: attempt.cost_ms,
        age_ms: attempt.report_age_ms,
    }
}

/// Returns whether any node found an upstream unreachable around time `ms`.
fn is_down(upstream: &str, ms: u64, lines: &[Line]) -> bool {
    let window = ms.saturating_sub(UNREACHABLE_BEFORE_MS)..=ms + UNREACHABLE_AFTER_MS;
    lines.iter().filter(|line| window.contains(&line.ms)).any(|line| {
        matches!(&line.record, Record::Upstream { id, state, .. } if id == upstream && state == "down")
    })
}
