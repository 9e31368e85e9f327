//! State charts that this crate interprets, compiled from `charts/*.jsonc`.

use chart::Chart;
use policy::charts::Fault;

use crate::{exchange, peer, trial, upstream};

/// Source of the chart of a registered upstream.
pub const REGISTERED: &str = include_str!("../../../charts/registered.jsonc");
/// Source of the chart of an exchange.
pub const EXCHANGE: &str = include_str!("../../../charts/exchange.jsonc");
/// Source of the chart of a trial.
pub const TRIAL: &str = include_str!("../../../charts/trial.jsonc");

/// Source of the chart of another node.
pub const PEER: &str = include_str!("../../../charts/peer.jsonc");

/// All compiled charts of this crate.
#[derive(Clone, Debug)]
pub struct Charts {
    /// Health and cold-start state of a registered upstream.
    pub upstream: Chart<upstream::State, upstream::Event, upstream::Action>,
    /// One exchange with an upstream.
    pub exchange: Chart<exchange::State, exchange::Event, exchange::Action>,
    /// Liveness of another node.
    pub peer: Chart<peer::State, peer::Event, peer::Action>,
    /// Trial of a service's target version.
    pub trial: Chart<trial::State, trial::Event, trial::Action>,
}

impl Charts {
    /// Compiles every chart and checks it against the code.
    ///
    /// # Errors
    ///
    /// Returns the first chart that does not match the states, events and actions of the code.
    pub fn load() -> Result<Self, Fault> {
        let fault = |name| move |cause| Fault { name, cause };
        Ok(Self {
            upstream: Chart::load(REGISTERED).map_err(fault("registered"))?,
            exchange: Chart::load(EXCHANGE).map_err(fault("exchange"))?,
            peer: Chart::load(PEER).map_err(fault("peer"))?,
            trial: Chart::load(TRIAL).map_err(fault("trial"))?,
        })
    }
}
