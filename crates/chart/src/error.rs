//! What can be wrong with a chart file.

use derive_more::{Display, Error};

/// A fault in a chart file.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The file is not JSON with comments of the expected shape.
    #[display("chart does not parse: {cause}")]
    Syntax {
        /// The parser's account.
        cause: String,
    },
    /// The file names a state, event or action that the code does not know.
    #[display("{place}: unknown {kind} '{name}'")]
    Unknown {
        /// Where the name stands.
        place: String,
        /// The kind of name.
        kind: Kind,
        /// The name itself.
        name: String,
    },
    /// A state that the code knows is missing from the file.
    #[display("state '{state}' is not in the chart")]
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
    /// No sequence of events reaches a state.
    #[display("state '{state}' cannot be reached")]
    Unreachable {
        /// The state's name.
        state: &'static str,
    },
}

/// The kind of a name in a chart.
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
