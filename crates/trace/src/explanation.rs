//! Collects the log lines of all nodes that are relevant to a request.

use std::io::BufRead;

use base::record;
use derive_more::{Display, Error, From};

use crate::cause::Cause;
use crate::line::{Line, Record};

/// Time before a request's answer within which the state of its node and upstreams is relevant, in
/// ms.
const STATE_BEFORE_MS: u64 = 30_000;
/// Time after a request's answer within which the state of its upstreams is relevant, in ms.
const UPSTREAM_AFTER_MS: u64 = 2_000;

/// The reason why a request cannot be explained.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The logs cannot be read.
    #[display("the logs cannot be read: {_0}")]
    Read(std::io::Error),
    /// No line is of a request with this identity.
    #[from(skip)]
    #[display("no line of a request has the identity {id}; it may be among those suppressed")]
    Unknown {
        /// Identity of the request.
        id: String,
    },
}

record! {
    /// The causes of a request's outcome, with the log lines that show them.
    pub struct Explanation {
        /// Lines that are relevant to the request, in the order of time.
        pub lines: Vec<Line>,
        /// Cause of the outcome, for each answer to the request.
        pub causes: Vec<Cause>,
    }
}

impl Explanation {
    /// Reads the logs of any number of nodes, in any order, and explains a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the logs cannot be read or do not have the request.
    pub fn read(id: &str, logs: impl BufRead) -> Result<Self, Fault> {
        let mut all = Vec::new();
        for line in logs.lines() {
            all.extend(Line::parse(&line?));
        }
        all.sort_by_key(|line| line.ms);
        Self::from_lines(id, all)
    }

    fn from_lines(id: &str, all: Vec<Line>) -> Result<Self, Fault> {
        let is_request_line = |line: &&Line| line.request().is_some_and(|request| request.id == id);
        let request_lines: Vec<Line> = all.iter().filter(is_request_line).cloned().collect();
        if request_lines.is_empty() {
            return Err(Fault::Unknown { id: id.to_owned() });
        }
        let cause = |line: &Line| Some(Cause::find(line.request()?, &line.node, line.ms, &all));
        let causes = request_lines.iter().filter_map(cause).collect();
        let lines =
            all.iter().filter(|line| request_lines.iter().any(|other| is_relevant(line, other)));
        Ok(Self { lines: lines.cloned().collect(), causes })
    }
}

/// Returns whether a line is relevant to the request of `request_line`.
fn is_relevant(line: &Line, request_line: &Line) -> bool {
    let Some(request) = request_line.request() else { return false };
    let before = line.ms <= request_line.ms && line.ms + STATE_BEFORE_MS >= request_line.ms;
    match &line.record {
        Record::Request(other) => other.id == request.id,
        Record::Upstream { id, .. } => {
            let sent = request.sends.iter().any(|send| send.to == *id);
            sent && (before
                || (request_line.ms..=request_line.ms + UPSTREAM_AFTER_MS).contains(&line.ms))
        }
        Record::Other => false,
        _ => before && line.node == request_line.node,
    }
}
