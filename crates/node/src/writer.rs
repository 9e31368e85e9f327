//! Writes to the store: the verdicts of trials, and the node's own registration as a member.

use std::time::Duration;

use gateway::view::Batch;
use log::Level;
use model::registry::{Fact, Item, Kind, Member, Phase};
use serde::Serialize;
use store::{Listing, Registry};
use xtra::prelude::*;

use crate::clock;
use crate::logs;
use crate::message::{FinishRollout, Handle, Message};

/// Back-off after the first registration that the store did not confirm.
const INITIAL_BACK_OFF: Duration = Duration::from_millis(200);
/// Longest back-off after repeated failures.
const MAX_BACK_OFF: Duration = Duration::from_secs(2);

/// The state of the task that writes verdicts; the dispatcher sends it [`FinishRollout`].
#[derive(xtra::Actor)]
pub struct Writer<R: Registry> {
    store: R,
    dispatcher: Handle,
}

/// The log line for the write of a verdict.
#[derive(Debug, Serialize)]
struct Line<'a> {
    event: &'static str,
    service: &'a str,
    target: &'a str,
    wanted: Phase,
    #[serde(skip_serializing_if = "Option::is_none")]
    stored: Option<Phase>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

impl<R: Registry> Writer<R> {
    /// Creates the task's state.
    #[must_use]
    pub fn new(store: R, dispatcher: Handle) -> Self {
        Self { store, dispatcher }
    }
}

impl<R: Registry> Handler<FinishRollout> for Writer<R> {
    type Return = ();

    async fn handle(&mut self, FinishRollout(verdict): FinishRollout, _: &mut Context<Self>) {
        let stored =
            self.store.finish_rollout(&verdict.service, &verdict.target, verdict.phase).await;
        let line = Line {
            event: "rollout_written",
            service: &verdict.service,
            target: &verdict.target,
            wanted: verdict.phase,
            stored: stored.as_ref().ok().copied(),
            error: stored.as_ref().err().map(ToString::to_string),
        };
        logs::emit(Level::Warn, &line);
        // The verdict also counts as accepted if another node had stored a different one before;
        // the watch of the store delivers the stored verdict.
        self.dispatcher.post(Message::Written { trial: verdict.trial, accepted: stored.is_ok() });
    }
}

/// Registers a member in the store and reads the others; repeats until both succeed.
///
/// The members are read once more after the registration: of two members that register at the same
/// time, the later one then finds the other.
pub async fn register<R: Registry>(mut store: R, member: Member, dispatcher: Handle) {
    let mut back_off = INITIAL_BACK_OFF;
    let mut registered = false;
    loop {
        let is_listed = read_members(&mut store, &member, &dispatcher).await;
        if is_listed == Some(true) || (registered && is_listed.is_some()) {
            log::info!("registered in the store as member {}", member.name);
            return;
        }
        registered = is_listed.is_some() && store.register_member(&member).await.is_ok();
        if !registered {
            tokio::time::sleep(back_off.mul_f64(0.5 + rand::random::<f64>())).await;
            back_off = (back_off * 2).min(MAX_BACK_OFF);
        }
    }
}

/// Reads the members, passes them to the dispatcher and returns whether `member` is among them, or
/// `None` if they cannot be read.
async fn read_members<R: Registry>(
    store: &mut R,
    member: &Member,
    dispatcher: &Handle,
) -> Option<bool> {
    let asked_at = clock::now();
    let Listing { items, revision } = store.list(Kind::Members).await.ok()?;
    let is_member =
        |item: &Item| matches!(&item.fact, Some(Fact::Member(other)) if other == member);
    let is_registered = items.iter().any(is_member);
    let batch = Batch { after: None, revision, after_outage: false, items };
    dispatcher.post(Message::Facts { kind: Kind::Members, batch, asked_at });
    Some(is_registered)
}
