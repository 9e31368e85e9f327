//! Tasks that each read one kind of fact from the store and watch it for changes.
//!
//! While the store is unavailable, only the reader of `PROBING_KIND` keeps trying. The others
//! resume once it has received a response, as the calls of all nodes load a store that recovers.

use std::time::Duration;

use base::prelude::*;
use gateway::view::Batch;
use log::Level;
use model::registry::Kind;
use rand::RngExt;
use serde::Serialize;
use store::{Error, Listing, Registry};
use tokio::sync::watch;

use crate::clock;
use crate::logs;
use crate::message::{Handle, Message};

/// Minimum time for which such a watch waits.
const MIN_CONFIRMATION_WAIT: Span = Span::millis(100);
/// Time for which the other watches wait.
const WATCH_WAIT: Duration = Duration::from_secs(15);
/// Back-off after the first failure.
const INITIAL_BACK_OFF: Span = Span::millis(150);
/// Longest back-off after repeated failures.
const MAX_BACK_OFF: Span = Span::millis(1_200);
/// The kind whose reader determines whether the store is available.
const PROBING_KIND: Kind = Kind::Upstreams;
/// Longest time for which the other readers wait for the probing one before they try on their own.
const MAX_AVAILABILITY_WAIT: Duration = Duration::from_secs(4);
/// Time over which the other readers spread their first calls to a store that is available again.
const RETRY_SPREAD: Span = Span::millis(300);
/// Time without a response from which on a failure counts as an outage.
const OUTAGE_THRESHOLD: Span = Span::millis(900);

/// The log line for a store that was lost or regained.
#[derive(Debug, Serialize)]
struct Line {
    event: &'static str,
    kind: Kind,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
    away_ms: u64,
}

/// The state of a task that reads one kind of fact.
pub struct Reader<R: Registry> {
    store: R,
    kind: Kind,
    dispatcher: Handle,
    /// Longest wait of a watch of [`PROBING_KIND`], which has to confirm its facts this often.
    confirmation_interval: Span,
    watching: watch::Receiver<bool>,
    /// Whether the store is available, shared by all readers of a node.
    available: watch::Sender<bool>,
    /// Revision after which to watch; zero if all facts have to be read.
    after: u64,
    /// Revision that the last watch returned, if it ended without changes.
    unchanged_revision: Option<u64>,
    /// Time at which the known facts were last confirmed to be current.
    confirmed_at: Moment,
    unavailable_since: Option<Moment>,
    back_off_time: Span,
}

impl<R: Registry> Reader<R> {
    /// Creates the task's state; all readers of a node share `available`.
    #[must_use]
    pub fn new(
        store: R,
        kind: Kind,
        dispatcher: Handle,
        confirmation_interval: Span,
        watching: watch::Receiver<bool>,
        available: watch::Sender<bool>,
    ) -> Self {
        Self {
            store,
            kind,
            dispatcher,
            confirmation_interval,
            watching,
            available,
            after: 0,
            unchanged_revision: None,
            confirmed_at: Moment::default(),
            unavailable_since: None,
            back_off_time: INITIAL_BACK_OFF,
        }
    }

    /// Runs the task until the dispatcher ends.
    pub async fn run(mut self) {
        loop {
            if self.can_pause() && !*self.watching.borrow_and_update() {
                if self.watching.changed().await.is_err() {
                    return;
                }
                let Ok(known) =
                    self.dispatcher.ask(|reply| Message::Revision(self.kind, reply)).await
                else {
                    return;
                };
                self.after = known;
                self.unchanged_revision = None;
                // The connection may have failed unnoticed while it was not used.
                self.store = self.store.new_connection();
                continue;
            }
            let asked_at = clock::now();
            let read = if self.after == 0 {
                self.list(asked_at).await
            } else {
                self.watch(asked_at).await
            };
            match read {
                Ok(()) => {
                    self.back_off_time = INITIAL_BACK_OFF;
                    self.unavailable_since = None;
                    self.report_availability(true);
                }
                Err(Error::Compacted) => self.after = 0,
                Err(error) => self.record_failure(asked_at, &error).await,
            }
        }
    }

    /// Returns whether this reader may pause while the node does not watch the store.
    ///
    /// The reader of [`PROBING_KIND`] completes a read after a failure, as it alone measures how long
    /// the store was unavailable.
    fn can_pause(&self) -> bool {
        self.unavailable_since.is_none() || self.kind != PROBING_KIND
    }

    fn report_availability(&self, available: bool) {
        if self.kind == PROBING_KIND {
            self.available.send_replace(available);
        }
    }

    async fn list(&mut self, asked_at: Moment) -> Result<(), Error> {
        let Listing { items, revision } = self.store.list(self.kind).await?;
        let unavailable_for =
            self.unavailable_since.map_or(Span::ZERO, |since| clock::now().since(since));
        let after_outage = unavailable_for > OUTAGE_THRESHOLD;
        if self.unavailable_since.is_some() {
            let away_ms = unavailable_for.as_millis();
            let line = Line { event: "store_regained", kind: self.kind, error: None, away_ms };
            logs::emit(Level::Warn, &line);
        }
        let batch = Batch { after: None, revision, after_outage, items };
        self.dispatcher.post(Message::Facts { kind: self.kind, batch, asked_at });
        self.after = revision;
        self.confirmed_at = asked_at;
        self.unchanged_revision = None;
        Ok(())
    }

    /// Returns how long the next watch may wait for the next confirmation to come in time.
    fn watch_wait(&self, now: Moment) -> Duration {
        if self.kind != Kind::Upstreams {
            return WATCH_WAIT;
        }
        let remaining = self.confirmation_interval.0.saturating_sub(now.since(self.confirmed_at).0);
        Span(remaining).max(MIN_CONFIRMATION_WAIT).into()
    }

    async fn watch(&mut self, asked_at: Moment) -> Result<(), Error> {
        let watch_wait = self.watch_wait(asked_at);
        let mut watching = self.watching.clone();
        let read = tokio::select! {
            read = self.store.watch(self.kind, self.after, watch_wait) => read?,
            // Other nodes watch now, and each open watch loads the store.
            _ = watching.wait_for(|watching| !watching) => return Ok(()),
        };
        let Listing { items, revision } = read;
        let kind = self.kind;
        if items.is_empty() {
            // The store waited for this time before it replied that there are no changes.
            let confirmed_at = asked_at + watch_wait.into();
            let asked_at = if confirmed_at <= clock::now() { confirmed_at } else { asked_at };
            self.confirmed_at = asked_at;
            // A watch may miss a change made just before it ends. The next one therefore starts at
            // the revision of the watch before, which the store's history still covers.
            if let Some(unchanged_revision) = self.unchanged_revision.replace(revision) {
                self.after = unchanged_revision;
            }
            self.dispatcher.post(Message::Current { kind, revision: self.after, asked_at });
            return Ok(());
        }
        let batch = Batch { after: Some(self.after), revision, after_outage: false, items };
        // It is not known when the store read the changes, so the facts count as confirmed only as
        // of the request.
        self.confirmed_at = asked_at;
        self.after = revision;
        self.unchanged_revision = None;
        self.dispatcher.post(Message::Facts { kind, batch, asked_at });
        self.relist_if_behind(revision).await;
        Ok(())
    }

    /// Makes the reader read all facts again if the engine could not apply the last changes.
    async fn relist_if_behind(&mut self, revision: u64) {
        let known = self.dispatcher.ask(|reply| Message::Revision(self.kind, reply)).await;
        if known.is_ok_and(|known| known < revision) {
            self.after = 0;
        }
    }

    /// Records a failure and backs off, exponentially and with jitter so that nodes spread out.
    async fn record_failure(&mut self, asked_at: Moment, error: &Error) {
        if self.unavailable_since.is_none() {
            self.unavailable_since = Some(asked_at);
            let error = Some(error.to_string());
            let line = Line { event: "store_lost", kind: self.kind, error, away_ms: 0 };
            logs::emit(Level::Warn, &line);
        }
        // Changes may have been missed meanwhile, so all facts have to be read.
        self.after = 0;
        self.report_availability(false);
        self.back_off().await;
        if self.kind != PROBING_KIND {
            self.wait_for_store().await;
        }
    }

    /// Waits until the probing reader reports that the store is available again.
    async fn wait_for_store(&mut self) {
        let mut available = self.available.subscribe();
        let available_again =
            async { while !*available.borrow_and_update() && available.changed().await.is_ok() {} };
        // The next call shows whether the store is available or the wait has timed out.
        let _ = tokio::time::timeout(MAX_AVAILABILITY_WAIT, available_again).await;
        let fraction = rand::rng().random_range(0.0..1.0);
        tokio::time::sleep(RETRY_SPREAD.scale(fraction).into()).await;
    }

    async fn back_off(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(self.back_off_time.scale(jitter).into()).await;
        self.back_off_time = (self.back_off_time + self.back_off_time).min(MAX_BACK_OFF);
    }
}
