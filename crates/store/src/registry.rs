//! What a node needs of a store in which upstreams register themselves.

use std::future::Future;
use std::time::Duration;

use model::registry::{Item, Kind, Member, Phase};

use crate::Error;

/// Facts of a kind, as the store holds them.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The facts, or those that have changed.
    pub items: Vec<Item>,
    /// Revision of the store up to which this holds.
    pub revision: u64,
}

/// A store that holds facts by kind and name, with one revision for all of them.
///
/// Each value has a connection of its own and makes one call at a time.
pub trait Registry: Send + Sized + 'static {
    /// Returns another value with a connection of its own.
    #[must_use]
    fn new_connection(&self) -> Self;

    /// Reads every fact of a kind.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gives no answer or an unexpected one.
    fn list(&mut self, kind: Kind) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Waits at most `wait` for changes of a kind after a revision.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Compacted`] if the store has forgotten that far back, or another error if
    /// it gives no answer or an unexpected one.
    fn watch(
        &mut self,
        kind: Kind,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Enters a member, or replaces its entry of an earlier start.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not confirm the entry, which may be there all the same.
    fn register_member(
        &mut self,
        member: &Member,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Writes how a rollout ended, unless the store has an end for it; returns the end it has.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not confirm it; the write may have taken effect.
    fn finish_rollout(
        &mut self,
        service: &str,
        target: &str,
        phase: Phase,
    ) -> impl Future<Output = Result<Phase, Error>> + Send;
}
