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
use crate::logs;
use crate::steer::{Message, Way};

/// First pause after an entry that the store did not confirm.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after such failures.
const MOST_PAUSE: Duration = Duration::from_secs(2);

/// The task's state.
#[derive(xtra::Actor)]
pub struct Contact<R: Registry> {
    store: R,
    steer: Way,
}

/// Writes how a trial ended.
#[derive(Debug)]
pub struct End(pub Verdict);

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

impl<R: Registry> Contact<R> {
    /// Makes the task's state.
    #[must_use]
    pub fn new(store: R, steer: Way) -> Self {
        Self { store, steer }
    }
}

impl<R: Registry> Handler<End> for Contact<R> {
    type Return = ();

    async fn handle(&mut self, End(order): End, _: &mut Context<Self>) {
        let ended = self.store.finish_rollout(&order.service, &order.target, order.phase).await;
        let line = Line {
            event: "rollout_written",
            service: &order.service,
            target: &order.target,
            wanted: order.phase,
            stored: ended.as_ref().ok().copied(),
            error: ended.as_ref().err().map(ToString::to_string),
        };
        logs::value(Level::Warn, &line);
        // An end that another node wrote counts too; the watch tells which it is.
        self.steer.post(Message::Written { trial: order.trial, accepted: ended.is_ok() });
    }
}

/// Enters a member and learns of the others, however long the store takes.
///
/// The others are read once more after the entry: of two members that enter at the same time, the
/// later one finds the other.
pub async fn enter<R: Registry>(mut store: R, member: Member, steer: Way) {
    let mut pause = PAUSE;
    let mut entered = false;
    loop {
        let listed = learn(&mut store, &member, &steer).await;
        if listed == Some(true) || (entered && listed.is_some()) {
            log::info!("entered the store's list of members as {}", member.name);
            return;
        }
        entered = listed.is_some() && store.register_member(&member).await.is_ok();
        if !entered {
            tokio::time::sleep(pause.mul_f64(0.5 + rand::random::<f64>())).await;
            pause = (pause * 2).min(MOST_PAUSE);
        }
    }
}

/// Reads the members and returns whether a member is among them, if the store tells.
async fn learn<R: Registry>(store: &mut R, member: &Member, steer: &Way) -> Option<bool> {
    let asked_at = clock::now();
    let Listing { items, revision: at } = store.list(Kind::Members).await.ok()?;
    let is_member = |item: &Item| matches!(&item.fact, Some(Fact::Member(one)) if one == member);
    let known = items.iter().any(is_member);
    let batch = Batch { after: None, at, after_outage: false, items };
    steer.post(Message::Facts { kind: Kind::Members, batch, asked_at });
    Some(known)
}
