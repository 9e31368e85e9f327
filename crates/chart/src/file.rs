//! The shape of a chart file.

use std::collections::BTreeMap;

use jsonc_parser::ParseOptions;
use serde::Deserialize;

use crate::Error;

/// A whole chart file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct File {
    /// The state in which a machine starts.
    pub initial: String,
    /// Every state by name.
    pub states: BTreeMap<String, State>,
}

/// What one state does with events.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct State {
    /// Transitions by event.
    #[serde(default)]
    pub on: BTreeMap<String, Transition>,
    /// Events that change nothing on purpose.
    #[serde(default)]
    pub ignore: Vec<String>,
}

/// One transition.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Transition {
    /// The next state.
    pub to: String,
    /// Actions in order.
    #[serde(default, rename = "do")]
    pub actions: Vec<String>,
}

/// Parses the text of a chart file.
pub(crate) fn parse(text: &str) -> Result<File, Error> {
    jsonc_parser::parse_to_serde_value(text, &ParseOptions::default())
        .map_err(|error| Error::Syntax { cause: error.to_string() })
}
