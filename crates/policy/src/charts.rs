//! The state charts of this crate, compiled from `charts/` and checked against the code.
//!
//! The `entry` and `node` crates load them at start-up and pass them to the engine.

use chart::Chart;
use derive_more::{Display, Error};

use crate::{attempt, lifecycle, member, rollout, upstream, withdrawal};

/// Source of the chart of an upstream.
pub const UPSTREAM: &str = include_str!("../../../charts/upstream.jsonc");
/// Source of the chart of an attempt.
pub const ATTEMPT: &str = include_str!("../../../charts/attempt.jsonc");
/// Source of the chart of a member of the deployment.
pub const MEMBER: &str = include_str!("../../../charts/member.jsonc");
/// Source of the chart of a planned move between two versions.
pub const MOVE: &str = include_str!("../../../charts/move.jsonc");
/// Source of the chart of the process's own shutdown.
pub const DAEMON: &str = include_str!("../../../charts/daemon.jsonc");
/// Source of the chart of a failure domain.
pub const WITHDRAWAL: &str = include_str!("../../../charts/withdrawal.jsonc");

/// A chart that does not match the code.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("chart '{name}': {cause}")]
pub struct Fault {
    /// The chart's name.
    pub name: &'static str,
    /// The mismatch.
    #[error(source)]
    pub cause: chart::Error,
}

/// Every compiled chart.
#[derive(Clone, Debug)]
pub struct Charts {
    /// Health and cold start of an upstream.
    pub upstream: Chart<upstream::State, upstream::Event, upstream::Action>,
    /// One attempt at a call.
    pub attempt: Chart<attempt::State, attempt::Event, attempt::Action>,
    /// Liveness of a member of the deployment.
    pub member: Chart<member::State, member::Event, member::Action>,
    /// A planned move between two versions.
    pub rollout: Chart<rollout::State, rollout::Event, rollout::Action>,
    /// Shutdown of the process.
    pub daemon: Chart<lifecycle::State, lifecycle::Event, lifecycle::Action>,
    /// Withdrawal of a failure domain.
    pub withdrawal: Chart<withdrawal::State, withdrawal::Event, withdrawal::Action>,
}

impl Charts {
    /// Loads and checks every chart.
    ///
    /// # Errors
    ///
    /// Returns the first chart that does not match the code.
    pub fn load() -> Result<Self, Fault> {
        let fault = |name| move |cause| Fault { name, cause };
        Ok(Self {
            upstream: Chart::load(UPSTREAM).map_err(fault("upstream"))?,
            attempt: Chart::load(ATTEMPT).map_err(fault("attempt"))?,
            member: Chart::load(MEMBER).map_err(fault("member"))?,
            rollout: Chart::load(MOVE).map_err(fault("move"))?,
            daemon: Chart::load(DAEMON).map_err(fault("daemon"))?,
            withdrawal: Chart::load(WITHDRAWAL).map_err(fault("withdrawal"))?,
        })
    }
}
