//! The structure of a chart file, as it is parsed.

use std::collections::BTreeMap;

use jsonc_parser::ParseOptions;
use serde::Deserialize;

use crate::Error;

/// A chart file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct File {
    /// Name of the initial state.
    pub initial: String,
    /// All states by name.
    pub states: BTreeMap<String, State>,
}

/// How a state handles events.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct State {
    /// Transitions by the name of the event.
    #[serde(default)]
    pub on: BTreeMap<String, Transition>,
    /// Events that are deliberately ignored in this state.
    #[serde(default)]
    pub ignore: Vec<String>,
}

/// A transition to a state, which may be the same one.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Transition {
    /// Name of the next state.
    pub to: String,
    /// Names of the actions to perform, in order.
    #[serde(default, rename = "do")]
    pub actions: Vec<String>,
}

/// Parses the text of a chart file.
pub(crate) fn parse(text: &str) -> Result<File, Error> {
    jsonc_parser::parse_to_serde_value(text, &ParseOptions::default())
        .map_err(|error| Error::Syntax { cause: error.to_string() })
}
