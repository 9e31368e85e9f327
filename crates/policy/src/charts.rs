//! The state charts of all machines, compiled.

use chart::Chart;
use derive_more::{Display, Error};

use crate::{attempt, lifecycle, member, rollout, upstream, withdrawal};

/// The text of the upstream's chart.
pub const UPSTREAM: &str = include_str!("../../../charts/upstream.jsonc");
/// The text of the attempt's chart.
pub const ATTEMPT: &str = include_str!("../../../charts/attempt.jsonc");
/// The text of the member's chart.
pub const MEMBER: &str = include_str!("../../../charts/member.jsonc");
/// The text of the move's chart.
pub const MOVE: &str = include_str!("../../../charts/move.jsonc");
/// The text of the chart of an entry's own life.
pub const DAEMON: &str = include_str!("../../../charts/daemon.jsonc");
/// The text of the chart of a failure domain.
pub const WITHDRAWAL: &str = include_str!("../../../charts/withdrawal.jsonc");

/// A chart that does not fit the code.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("chart '{name}': {cause}")]
pub struct Fault {
    /// The chart's name.
    pub name: &'static str,
    /// What does not fit.
    #[error(source)]
    pub cause: chart::Error,
}

/// Every compiled chart.
#[derive(Clone, Debug)]
pub struct Charts {
    /// The life of an upstream.
    pub upstream: Chart<upstream::State, upstream::Event, upstream::Action>,
    /// One attempt at a call.
    pub attempt: Chart<attempt::State, attempt::Event, attempt::Action>,
    /// The life of a member.
    pub member: Chart<member::State, member::Event, member::Action>,
    /// A planned move.
    pub rollout: Chart<rollout::State, rollout::Event, rollout::Action>,
    /// The life of an entry.
    pub daemon: Chart<lifecycle::State, lifecycle::Event, lifecycle::Action>,
    /// A failure domain.
    pub withdrawal: Chart<withdrawal::State, withdrawal::Event, withdrawal::Action>,
}

impl Charts {
    /// Loads and checks every chart.
    ///
    /// # Errors
    ///
    /// Returns the first chart that does not fit.
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
