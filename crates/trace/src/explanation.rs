//! What the logs of all nodes tell of one request.

use std::io::BufRead;

use base::record;
use derive_more::{Display, Error, From};

use crate::cause::Cause;
use crate::line::{Line, Record};

/// Time before a request's answer from which on what its node believed counts, in ms.
const BEFORE_MS: u64 = 30_000;
/// Time after it within which upstreams' ends count, in ms.
const AFTER_MS: u64 = 2_000;

/// Logs that do not tell of a request.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The logs cannot be read.
    #[display("the logs cannot be read: {_0}")]
    Read(std::io::Error),
    /// No line of a request has the identity.
    #[from(skip)]
    #[display("no line of a request has the identity {id}; it may be among those suppressed")]
    Unknown {
        /// The identity.
        id: String,
    },
}

record! {
    /// What is known of one request.
    pub struct Explanation {
        /// Lines that bear on it, in order.
        pub lines: Vec<Line>,
        /// Why it failed or was late, for each answer that it got.
        pub causes: Vec<Cause>,
    }
}

impl Explanation {
    /// Reads the logs of any number of nodes, in any order, and finds what bears on a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the logs cannot be read or do not tell of the request.
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

/// Tells whether a line bears on the request of another one.
fn is_relevant(line: &Line, request_line: &Line) -> bool {
    let Some(request) = request_line.request() else { return false };
    let before = line.ms <= request_line.ms && line.ms + BEFORE_MS >= request_line.ms;
    match &line.record {
        Record::Request(other) => other.id == request.id,
        Record::Upstream { id, .. } => {
            let sent = request.sends.iter().any(|send| send.to == *id);
            sent && (before || (request_line.ms..=request_line.ms + AFTER_MS).contains(&line.ms))
        }
        Record::Other => false,
        _ => before && line.node == request_line.node,
    }
}
