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
    pub struct Account {
        /// Lines that bear on it, in order.
        pub lines: Vec<Line>,
        /// Why it failed or was late, for each answer that it got.
        pub causes: Vec<Cause>,
    }
}

impl Account {
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
        Self::of(id, all)
    }

    fn of(id: &str, all: Vec<Line>) -> Result<Self, Fault> {
        let is_own = |line: &&Line| line.request().is_some_and(|request| request.id == id);
        let own: Vec<Line> = all.iter().filter(is_own).cloned().collect();
        if own.is_empty() {
            return Err(Fault::Unknown { id: id.to_owned() });
        }
        let cause = |line: &Line| Some(Cause::find(line.request()?, &line.node, line.ms, &all));
        let causes = own.iter().filter_map(cause).collect();
        let lines = all.iter().filter(|line| own.iter().any(|one| bears(line, one)));
        Ok(Self { lines: lines.cloned().collect(), causes })
    }
}

/// Tells whether a line bears on the request of another one.
fn bears(line: &Line, own: &Line) -> bool {
    let Some(request) = own.request() else { return false };
    let before = line.ms <= own.ms && line.ms + BEFORE_MS >= own.ms;
    match &line.record {
        Record::Request(other) => other.id == request.id,
        Record::Upstream { id, .. } => {
            let sent = request.sends.iter().any(|send| send.to == *id);
            sent && (before || (own.ms..=own.ms + AFTER_MS).contains(&line.ms))
        }
        Record::Other => false,
        _ => before && line.node == own.node,
    }
}
