//! Errors in chart files.

use derive_more::{Display, Error};

/// An error in a chart file.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The file is not JSON with comments, or its structure is not that of a chart.
    #[display("invalid chart file: {cause}")]
    Syntax {
        /// The parser's message.
        cause: String,
    },
    /// The file names a state, event or action that the code does not declare.
    #[display("{place}: unknown {kind} '{name}'")]
    Unknown {
        /// The path of the name within the file.
        place: String,
        /// What the name should refer to.
        kind: Kind,
        /// The unknown name.
        name: String,
    },
    /// A state that the code declares is missing from the file.
    #[display("state '{state}' is missing from the chart")]
    MissingState {
        /// The state's name.
        state: &'static str,
    },
    /// A state neither handles nor ignores an event.
    #[display("state '{state}' neither handles nor ignores event '{event}'")]
    MissingEvent {
        /// The state's name.
        state: &'static str,
        /// The event's name.
        event: &'static str,
    },
    /// A state both handles and ignores an event.
    #[display("state '{state}' both handles and ignores event '{event}'")]
    ConflictingEvent {
        /// The state's name.
        state: &'static str,
        /// The event's name.
        event: &'static str,
    },
    /// No sequence of events leads to a state.
    #[display("state '{state}' is unreachable")]
    Unreachable {
        /// The state's name.
        state: &'static str,
    },
}

/// What a name in a chart refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Kind {
    /// A state.
    #[display("state")]
    State,
    /// An event.
    #[display("event")]
    Event,
    /// An action.
    #[display("action")]
    Action,
}
