//! Types shared by every crate: keys, time and the macros for common derives.

pub mod derive;
pub mod hash;
pub mod key;
pub mod time;

/// The types that nearly every module needs.
pub mod prelude {
    pub use crate::key;
    pub use crate::time::{Moment, Span};
    pub use crate::{record, symbols, value};
}
