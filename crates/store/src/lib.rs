//! The platform's object store: a small trait and its client over HTTP.

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

/// Largest value that the store holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_048_576;
/// Name of the object that holds the configuration.
pub const CONFIG: &str = "config";
/// Name of the object that holds the roster.
pub const ROSTER: &str = "roster";
/// Name of the object in which the platform lists instances.
pub const INSTANCES: &str = "instances";
/// Header of the identity of a write.
pub const WRITE_ID: &str = "write-id";

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The version, which grows with each write of the object.
    pub version: u64,
    /// The value.
    pub bytes: Vec<u8>,
}

/// A conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The object's name.
    pub name: String,
    /// The version that the object must have; zero if it must not exist.
    pub expected: u64,
    /// Identity of the write.
    pub write: u64,
    /// The new value.
    pub bytes: Vec<u8>,
}

/// An object store with versions, conditional updates and watches.
///
/// A store is owned by one task, which makes one call at a time.
pub trait Store: Send + 'static {
    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer or an unexpected one.
    fn get(&mut self, name: &str) -> impl Future<Output = Result<Option<Object>, Error>> + Send;

    /// Writes an object if its version is the expected one and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if the version is another one; nothing was written then. After
    /// [`Error::Timeout`] or [`Error::Disconnected`] the write may have taken effect.
    fn put(&mut self, put: Put) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Lists names that start with `prefix`, with their versions.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer or an unexpected one.
    fn list(
        &mut self,
        prefix: &str,
    ) -> impl Future<Output = Result<Vec<(String, u64)>, Error>> + Send;

    /// Waits until an object has a version above `after` and returns it, or `None` after `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer or an unexpected one.
    fn watch(
        &mut self,
        name: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Object>, Error>> + Send;
}
