//! The task that writes to the store.

use std::time::Duration;

use gateway::engine::Verdict;
use gateway::view::Batch;
use log::Level;
use model::registry::{Fact, Item, Kind, Member, Phase};
use serde::Serialize;
use store::{Listing, Registry};
use xtra::prelude::*;

use crate::clock;
use crate::dispatch::{Handle, Message};
use crate::logs;

/// First pause after an entry that the store did not confirm.
const INITIAL_BACK_OFF: Duration = Duration::from_millis(200);
/// Longest pause after such failures.
const MAX_BACK_OFF: Duration = Duration::from_secs(2);

/// The task's state.
#[derive(xtra::Actor)]
pub struct Writer<R: Registry> {
    store: R,
    dispatcher: Handle,
}

/// Writes how a trial ended.
#[derive(Debug)]
pub struct FinishRollout(pub Verdict);

/// What became of a write, for the log.
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
    /// Makes the task's state.
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
        // An end that another node wrote counts too; the watch tells which it is.
        self.dispatcher.post(Message::Written { trial: verdict.trial, accepted: stored.is_ok() });
    }
}

/// Enters a member and learns of the others, however long the store takes.
///
/// The others are read once more after the entry: of two members that enter at the same time, the
/// later one finds the other.
pub async fn register<R: Registry>(mut store: R, member: Member, dispatcher: Handle) {
    let mut back_off = INITIAL_BACK_OFF;
    let mut registered = false;
    loop {
        let is_listed = read_members(&mut store, &member, &dispatcher).await;
        if is_listed == Some(true) || (registered && is_listed.is_some()) {
            log::info!("entered the store's list of members as {}", member.name);
            return;
        }
        registered = is_listed.is_some() && store.register_member(&member).await.is_ok();
        if !registered {
            tokio::time::sleep(back_off.mul_f64(0.5 + rand::random::<f64>())).await;
            back_off = (back_off * 2).min(MAX_BACK_OFF);
        }
    }
}

/// Reads the members and returns whether a member is among them, if the store tells.
async fn read_members<R: Registry>(
    store: &mut R,
    member: &Member,
    dispatcher: &Handle,
) -> Option<bool> {
    let asked_at = clock::now();
    let Listing { items, revision: at } = store.list(Kind::Members).await.ok()?;
    let is_member =
        |item: &Item| matches!(&item.fact, Some(Fact::Member(other)) if other == member);
    let is_registered = items.iter().any(is_member);
    let batch = Batch { after: None, at, after_outage: false, items };
    dispatcher.post(Message::Facts { kind: Kind::Members, batch, asked_at });
    Some(is_registered)
}
