//! Convergence and cost of a fleet's control plane at several sizes, as a table.

use std::fmt::Write;

use base::prelude::*;
use serde::Serialize;

use super::{Counts, Fleet, Plan};

/// Time after which a scenario that has not converged is given up.
const LIMIT: Span = Span::seconds(30);
/// Time over which the cost of the steady state is counted.
const STEADY: Span = Span::seconds(20);

/// What happens to the fleet before it has to converge again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// All nodes start.
    Start,
    /// Nothing.
    Steady,
    /// A tenth of the nodes end without a word.
    TenthKilled,
    /// A failure domain loses power.
    DomainLost,
    /// All processes restart.
    AllRestarted,
    /// A tenth of all frames are lost, and a tenth of the nodes end.
    LossyAndKilled,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 6] = [
        Self::Start,
        Self::Steady,
        Self::TenthKilled,
        Self::DomainLost,
        Self::AllRestarted,
        Self::LossyAndKilled,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Steady => "steady",
            Self::TenthKilled => "tenth killed",
            Self::DomainLost => "domain lost",
            Self::AllRestarted => "all restarted",
            Self::LossyAndKilled => "lossy, tenth killed",
        }
    }
}

/// Result of one scenario.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Row {
    /// Number of nodes.
    pub nodes: usize,
    /// The scenario.
    pub scenario: Scenario,
    /// Time until all nodes take exactly the running ones for live, in milliseconds; absent if it
    /// exceeds the limit.
    pub converged_ms: Option<u64>,
    /// Frames that a node sends per second.
    pub frames: f64,
    /// Frames per second of the node that sends most.
    pub most_frames: f64,
    /// Bytes that a node sends per second.
    pub bytes: f64,
    /// Calls to the store of all nodes together.
    pub store_calls: u64,
}

/// Runs a scenario on a fleet of the given size.
#[must_use]
pub fn run(plan: &Plan, scenario: Scenario) -> Row {
    let mut fleet = Fleet::start(plan);
    if scenario != Scenario::Start {
        fleet.run(Span::seconds(15));
        fleet.take_counts();
    }
    apply(&mut fleet, scenario);
    let started_at = fleet.now;
    let converged = match scenario {
        Scenario::Steady => {
            fleet.run(STEADY);
            Some(Span::ZERO)
        }
        _ => fleet.run_until(LIMIT, |fleet| fleet.converged() == fleet.running().len()),
    };
    let elapsed = fleet.now.since(started_at).as_seconds().max(0.1);
    let Counts { frames, bytes, most_frames, store_calls } = fleet.take_counts();
    let per_node = |count: u64| count as f64 / elapsed / fleet.running().len().max(1) as f64;
    Row {
        nodes: plan.nodes,
        scenario,
        converged_ms: converged.map(Span::as_millis),
        frames: per_node(frames),
        most_frames: most_frames as f64 / elapsed,
        bytes: per_node(bytes),
        store_calls,
    }
}

fn apply(fleet: &mut Fleet, scenario: Scenario) {
    let tenth: Vec<u64> = fleet.idents().into_iter().step_by(10).collect();
    match scenario {
        Scenario::Start | Scenario::Steady => {}
        Scenario::TenthKilled => tenth.into_iter().for_each(|ident| fleet.kill(ident)),
        Scenario::DomainLost => {
            fleet.in_domain(1).into_iter().for_each(|ident| fleet.kill(ident));
        }
        Scenario::AllRestarted => {
            fleet.idents().into_iter().for_each(|ident| fleet.start_process(ident));
        }
        Scenario::LossyAndKilled => {
            fleet.set_loss(0.1);
            tenth.into_iter().for_each(|ident| fleet.kill(ident));
        }
    }
}

/// Formats rows as a table.
#[must_use]
pub fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| nodes | scenario | converged ms | frames/s a node | most | bytes/s a node | store calls |\n\
         |---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        let converged = row.converged_ms.map_or("not".to_owned(), |ms| ms.to_string());
        let _ = writeln!(
            text,
            "| {} | {} | {converged} | {:.1} | {:.1} | {:.0} | {} |",
            row.nodes,
            row.scenario.name(),
            row.frames,
            row.most_frames,
            row.bytes,
            row.store_calls
        );
    }
    text
}
