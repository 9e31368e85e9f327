//! The state charts of this crate, compiled.

use chart::Chart;
use policy::charts::Fault;

use crate::{exchange, trial, upstream};

/// The text of the registered upstream's chart.
pub const REGISTERED: &str = include_str!("../../../charts/registered.jsonc");
/// The text of the exchange's chart.
pub const EXCHANGE: &str = include_str!("../../../charts/exchange.jsonc");
/// The text of the trial's chart.
pub const TRIAL: &str = include_str!("../../../charts/trial.jsonc");

/// Every compiled chart.
#[derive(Clone, Debug)]
pub struct Charts {
    /// The life of a registered upstream.
    pub upstream: Chart<upstream::State, upstream::Event, upstream::Action>,
    /// One exchange with an upstream.
    pub exchange: Chart<exchange::State, exchange::Event, exchange::Action>,
    /// The trial of a target version.
    pub trial: Chart<trial::State, trial::Event, trial::Action>,
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
            upstream: Chart::load(REGISTERED).map_err(fault("registered"))?,
            exchange: Chart::load(EXCHANGE).map_err(fault("exchange"))?,
            trial: Chart::load(TRIAL).map_err(fault("trial"))?,
        })
    }
}
