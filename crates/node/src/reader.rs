//! Tasks that read one kind of fact each from the store and watch for changes.
//!
//! While the store is away only one of them, that of [`PROBING`], goes on trying; the others follow
//! once it has an answer, as every call of every node counts while the store recovers.

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
use crate::steer::{Message, Way};

/// Time for which a watch of the kind that proves the store's presence waits.
const WAIT_PROOF: Span = Span::millis(700);
/// The least that such a watch waits.
const WAIT_LEAST: Span = Span::millis(100);
/// Time for which the other watches wait.
const WAIT: Duration = Duration::from_secs(15);
/// First pause after a failure.
const PAUSE: Span = Span::millis(150);
/// Longest pause after failures.
const MOST_PAUSE: Span = Span::millis(1_200);
/// The kind whose reader finds out whether the store is there.
const PROBING: Kind = Kind::Upstreams;
/// Longest time for which the other readers leave that to it.
const FOLLOW_MOST: Duration = Duration::from_secs(4);
/// Time over which they spread their first calls to a store that is back.
const SPREAD: Span = Span::millis(300);
/// Time without an answer after which the store counts as having been away.
const AWAY: Span = Span::millis(900);

/// A change of what a reader believes of the store, for the log.
#[derive(Debug, Serialize)]
struct Line {
    event: &'static str,
    kind: Kind,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
    away_ms: u64,
}

/// Reads one kind of fact.
pub struct Reader<R: Registry> {
    store: R,
    kind: Kind,
    steer: Way,
    watching: watch::Receiver<bool>,
    /// Whether the store has answered lately.
    present: watch::Sender<bool>,
    /// Whether everything was read once.
    listed: bool,
    /// Revision after which to watch; zero if everything has to be read.
    after: u64,
    /// Revision that an answer without changes named, which the next one may confirm.
    quiet: Option<u64>,
    /// When what is known was last known to be current.
    proven_at: Moment,
    lost_at: Option<Moment>,
    pause: Span,
}

impl<R: Registry> Reader<R> {
    /// Makes the task's state; all readers of a node share `present`.
    #[must_use]
    pub fn new(
        store: R,
        kind: Kind,
        steer: Way,
        watching: watch::Receiver<bool>,
        present: watch::Sender<bool>,
    ) -> Self {
        Self {
            store,
            kind,
            steer,
            watching,
            present,
            listed: false,
            after: 0,
            quiet: None,
            proven_at: Moment::default(),
            lost_at: None,
            pause: PAUSE,
        }
    }

    /// Runs the task until the decisions end.
    pub async fn run(mut self) {
        loop {
            if self.may_rest() && !*self.watching.borrow_and_update() {
                if self.watching.changed().await.is_err() {
                    return;
                }
                let Ok(known) = self.steer.ask(|reply| Message::Revision(self.kind, reply)).await
                else {
                    return;
                };
                self.after = known;
                self.quiet = None;
                // The connection may have gone silent while nothing was asked on it.
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
                    self.pause = PAUSE;
                    self.lost_at = None;
                    self.tell_present(true);
                }
                Err(Error::Compacted) => self.after = 0,
                Err(error) => self.lost(asked_at, &error).await,
            }
        }
    }

    /// Tells whether this reader has nothing to do unless the node watches.
    ///
    /// The one that finds out about the store first ends what it has begun, as it alone tells for
    /// how long the store was away.
    fn may_rest(&self) -> bool {
        self.after > 0 || (self.listed && self.kind != PROBING)
    }

    fn tell_present(&self, present: bool) {
        if self.kind == PROBING {
            self.present.send_replace(present);
        }
    }

    async fn list(&mut self, asked_at: Moment) -> Result<(), Error> {
        let Listing { items, revision: at } = self.store.list(self.kind).await?;
        let away = self.lost_at.map_or(Span::ZERO, |lost| clock::now().since(lost));
        let after_outage = away > AWAY;
        if self.lost_at.is_some() {
            let away_ms = away.as_millis();
            let line = Line { event: "store_regained", kind: self.kind, error: None, away_ms };
            logs::value(Level::Warn, &line);
        }
        let batch = Batch { after: None, at, after_outage, items };
        self.steer.post(Message::Facts { kind: self.kind, batch, asked_at });
        self.after = at;
        self.listed = true;
        self.proven_at = asked_at;
        self.quiet = None;
        Ok(())
    }

    /// Returns for how long the next watch waits, so that the next proof comes in time.
    fn wait(&self, now: Moment) -> Duration {
        if self.kind != Kind::Upstreams {
            return WAIT;
        }
        let left = WAIT_PROOF.0.saturating_sub(now.since(self.proven_at).0);
        Span(left).max(WAIT_LEAST).into()
    }

    async fn watch(&mut self, asked_at: Moment) -> Result<(), Error> {
        let wait = self.wait(asked_at);
        let mut watching = self.watching.clone();
        let read = tokio::select! {
            read = self.store.watch(self.kind, self.after, wait) => read?,
            // Others watch now, and a watch that waits has its price.
            _ = watching.wait_for(|watching| !watching) => return Ok(()),
        };
        let Listing { items, revision: at } = read;
        let kind = self.kind;
        if items.is_empty() {
            // The store has waited that long before it said that nothing is there.
            let proven_at = asked_at + wait.into();
            let asked_at = if proven_at <= clock::now() { proven_at } else { asked_at };
            self.proven_at = asked_at;
            // A watch may have missed what came just before its end; the next one starts before
            // that, and the store's history still has it.
            if let Some(quiet) = self.quiet.replace(at) {
                self.after = quiet;
            }
            self.steer.post(Message::Current { kind, at: self.after, asked_at });
            return Ok(());
        }
        let batch = Batch { after: Some(self.after), at, after_outage: false, items };
        // When the store said so is not known better.
        self.proven_at = asked_at;
        self.after = at;
        self.quiet = None;
        self.steer.post(Message::Facts { kind, batch, asked_at });
        self.check(at).await;
        Ok(())
    }

    /// Reads everything anew if the decisions could not follow on what they knew.
    async fn check(&mut self, at: u64) {
        let known = self.steer.ask(|reply| Message::Revision(self.kind, reply)).await;
        if known.is_ok_and(|known| known < at) {
            self.after = 0;
        }
    }

    /// Notes a failure and waits a while, longer each time and not in step with other nodes.
    async fn lost(&mut self, asked_at: Moment, error: &Error) {
        if self.lost_at.is_none() {
            self.lost_at = Some(asked_at);
            let error = Some(error.to_string());
            let line = Line { event: "store_lost", kind: self.kind, error, away_ms: 0 };
            logs::value(Level::Warn, &line);
        }
        // What was missed meanwhile shows only in everything.
        self.after = 0;
        self.tell_present(false);
        self.back_off().await;
        if self.kind != PROBING {
            self.follow().await;
        }
    }

    /// Waits until the store is there again, as far as the node knows.
    async fn follow(&mut self) {
        let mut present = self.present.subscribe();
        let back =
            async { while !*present.borrow_and_update() && present.changed().await.is_ok() {} };
        // Whether it came back or the time is over, the next call tells.
        let _ = tokio::time::timeout(FOLLOW_MOST, back).await;
        let part = rand::rng().random_range(0.0..1.0);
        tokio::time::sleep(SPREAD.scale(part).into()).await;
    }

    async fn back_off(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(self.pause.scale(jitter).into()).await;
        self.pause = (self.pause + self.pause).min(MOST_PAUSE);
    }
}
