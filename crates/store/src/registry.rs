//! The interface to a store in which upstreams and nodes register themselves.
//!
//! A node reads and watches facts through it, registers itself and stores the results of rollouts.

use std::future::Future;
use std::time::Duration;

use model::registry::{Item, Kind, Member, Phase};

use crate::Error;

/// Facts of one kind, read from the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// All facts of the kind, or those that a watch found to have changed.
    pub items: Vec<Item>,
    /// Revision of the store up to which the listing is complete.
    pub revision: u64,
}

/// A store of facts by kind and name, with one revision for all of them.
///
/// Each value has its own connection and makes one call at a time.
pub trait Registry: Send + Sized + 'static {
    /// Returns a value for the same store, with its own connection.
    #[must_use]
    fn new_connection(&self) -> Self;

    /// Reads all facts of a kind.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer, or if its response is unexpected.
    fn list(&mut self, kind: Kind) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Reads all facts of a kind as they were up to some seconds ago, at a lower cost.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer, or if its response is unexpected.
    fn list_stale(&mut self, kind: Kind) -> impl Future<Output = Result<Listing, Error>> + Send {
        self.list(kind)
    }

    /// Waits at most `wait` for changes to facts of a kind after revision `after`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Compacted`] if the store no longer has the changes since `after`, or
    /// another error if it does not answer, or if its response is unexpected.
    fn watch(
        &mut self,
        kind: Kind,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Registers a member, or replaces its registration from an earlier start.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not confirm the registration, which may have taken effect
    /// nevertheless.
    fn register_member(
        &mut self,
        member: &Member,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Stores the result of a rollout unless it already has one, and returns the stored result.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not confirm the write, which may have taken effect
    /// nevertheless.
    fn finish_rollout(
        &mut self,
        service: &str,
        target: &str,
        phase: Phase,
    ) -> impl Future<Output = Result<Phase, Error>> + Send;
}
