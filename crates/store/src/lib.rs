//! Access to the platform's object store.
//!
//! [`Store`] holds objects by name and [`Http`] is its client. [`Registry`] is a store in which
//! upstreams and nodes register themselves; the crate of each platform implements it on a
//! [`Connection`].

mod connection;
mod error;
mod http;
mod registry;

use std::future::Future;
use std::time::Duration;

pub use connection::{Connection, Outgoing, exchange};
pub use error::{Error, Part};
pub use http::Http;
pub use registry::{Listing, Registry};

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_048_576;
/// Name of the object with the configuration.
pub const CONFIG: &str = "config";
/// Name of the object with the roster of entries.
pub const ROSTER: &str = "roster";
/// Name of the object in which the platform lists instances.
pub const INSTANCES: &str = "instances";
/// Name of the header with the identity of a write.
pub const WRITE_ID: &str = "write-id";

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version, which increases with each write of the object.
    pub version: u64,
    /// Content of the object.
    pub bytes: Vec<u8>,
}

/// A conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// Name of the object.
    pub name: String,
    /// Version that the object must have; zero if it must not exist.
    pub expected: u64,
    /// Identity of the write, by which the store recognizes a repetition.
    pub write: u64,
    /// New content of the object.
    pub bytes: Vec<u8>,
}

/// An object store with versions, conditional writes and watches.
///
/// Each value is owned by a task, which makes one call at a time.
pub trait Store: Send + 'static {
    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer, or if its response is unexpected.
    fn get(&mut self, name: &str) -> impl Future<Output = Result<Option<Object>, Error>> + Send;

    /// Writes an object if it has the expected version, and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if the object has another version, in which case nothing is
    /// written. After an error for which [`Error::is_ambiguous`] is true, such as
    /// [`Error::Timeout`] or [`Error::Disconnected`], the write may have taken effect.
    fn put(&mut self, put: Put) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Lists the names that start with `prefix`, with the versions of the objects.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer, or if its response is unexpected.
    fn list(
        &mut self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<(String, u64)>, Error>> + Send;

    /// Waits until the version of an object exceeds `after` and returns it, or `None` after `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer, or if its response is unexpected.
    fn watch(
        &mut self,
        name: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Object>, Error>> + Send;
}
