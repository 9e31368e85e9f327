//! Writes to the store: the verdicts of trials, and the node's own registration as a member, with
//! the reads that go with it.

use std::time::Duration;

use base::prelude::*;
use gateway::view::Batch;
use log::Level;
use model::registry::{Fact, Item, Kind, Member, Phase};
use serde::Serialize;
use store::{Listing, Registry};
use xtra::prelude::*;

use crate::clock;
use crate::logs;
use crate::message::{FindMembers, FinishRollout, Handle, Message, RegisterMember};

/// Back-off after the first registration that the store did not confirm.
const INITIAL_BACK_OFF: Duration = Duration::from_millis(200);
/// Longest back-off after repeated failures.
const MAX_BACK_OFF: Duration = Duration::from_secs(2);

/// The state of the task that writes verdicts; the dispatcher sends it [`FinishRollout`].
#[derive(xtra::Actor)]
pub struct Writer<R: Registry> {
    store: R,
    member: Member,
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
    /// Creates the state of the task of the node `member`.
    #[must_use]
    pub fn new(store: R, member: Member, dispatcher: Handle) -> Self {
        Self { store, member, dispatcher }
    }
}

impl<R: Registry> Handler<FindMembers> for Writer<R> {
    type Return = ();

    async fn handle(&mut self, _: FindMembers, _: &mut Context<Self>) {
        let asked_at = clock::now();
        match self.store.list_stale(Kind::Members).await {
            Ok(listing) => post_members(&self.dispatcher, listing, asked_at),
            // The engine asks again while it knows no other node.
            Err(error) => log::warn!("cannot read the members: {error}"),
        }
    }
}

impl<R: Registry> Handler<RegisterMember> for Writer<R> {
    type Return = ();

    async fn handle(&mut self, request: RegisterMember, _: &mut Context<Self>) {
        let (store, member) = (self.store.new_connection(), self.member.clone());
        // Verdicts must not wait while the store does not accept the registration.
        match request.alone {
            true => tokio::spawn(register(store, member, self.dispatcher.clone())),
            false => tokio::spawn(announce(store, member)),
        };
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

/// Registers a member in the store; repeats until it succeeds.
async fn announce<R: Registry>(mut store: R, member: Member) {
    let mut back_off = INITIAL_BACK_OFF;
    while let Err(error) = store.register_member(&member).await {
        log::debug!("cannot register in the store: {error}");
        tokio::time::sleep(jittered(back_off)).await;
        back_off = (back_off * 2).min(MAX_BACK_OFF);
    }
    log::info!("registered in the store as member {}", member.name);
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
            tokio::time::sleep(jittered(back_off)).await;
            back_off = (back_off * 2).min(MAX_BACK_OFF);
        }
    }
}

fn jittered(time: Duration) -> Duration {
    time.mul_f64(0.5 + rand::random::<f64>())
}

/// Reads the members, passes them to the dispatcher and returns whether `member` is among them, or
/// `None` if they cannot be read.
async fn read_members<R: Registry>(
    store: &mut R,
    member: &Member,
    dispatcher: &Handle,
) -> Option<bool> {
    let asked_at = clock::now();
    let listing = store.list(Kind::Members).await.ok()?;
    let is_member =
        |item: &Item| matches!(&item.fact, Some(Fact::Member(other)) if other == member);
    let is_registered = listing.items.iter().any(is_member);
    post_members(dispatcher, listing, asked_at);
    Some(is_registered)
}

fn post_members(dispatcher: &Handle, listing: Listing, asked_at: Moment) {
    let Listing { items, revision } = listing;
    let batch = Batch { after: None, revision, after_outage: false, items };
    dispatcher.post(Message::Facts { kind: Kind::Members, batch, asked_at });
}
