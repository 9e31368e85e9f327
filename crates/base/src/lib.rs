//! Basic types shared by the other crates: arena keys, time, hashing and derive macros.

pub mod derive;
pub mod hash;
pub mod key;
pub mod time;

/// The types and macros that most modules need.
pub mod prelude {
    pub use crate::key;
    pub use crate::time::{Moment, Span};
    pub use crate::{record, symbols, value};
}
