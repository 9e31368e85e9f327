//! Tests of the registration of members in the store.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use model::registry::{Fact, Item, Kind, Member, Phase};
use node::message::{Handle, Message};
use node::writer;
use store::{Error, Listing, Registry};
use tokio::sync::Barrier;
use tokio::task::JoinSet;

/// A store of members in which all first reads end before any registration is accepted.
#[derive(Clone)]
struct Store {
    members: Arc<Mutex<Vec<Member>>>,
    started: Arc<Barrier>,
    read: bool,
}

impl Registry for Store {
    fn new_connection(&self) -> Self {
        self.clone()
    }

    async fn list(&mut self, _: Kind) -> Result<Listing, Error> {
        let members = self.members.lock().expect("no thread has panicked").clone();
        if !std::mem::replace(&mut self.read, true) {
            self.started.wait().await;
        }
        let revision = members.len() as u64 + 1;
        let item = |member: Member| Item {
            name: member.name.clone(),
            revision,
            fact: Some(Fact::Member(member)),
        };
        Ok(Listing { items: members.into_iter().map(item).collect(), revision })
    }

    async fn watch(&mut self, _: Kind, _: u64, _: Duration) -> Result<Listing, Error> {
        Err(Error::Compacted)
    }

    async fn register_member(&mut self, member: &Member) -> Result<(), Error> {
        self.members.lock().expect("no thread has panicked").push(member.clone());
        Ok(())
    }

    async fn finish_rollout(&mut self, _: &str, _: &str, phase: Phase) -> Result<Phase, Error> {
        Ok(phase)
    }
}

/// Registers members at the same time and returns how many members each of them has read.
async fn register_all(count: u16) -> Vec<usize> {
    let started = Arc::new(Barrier::new(usize::from(count)));
    let store = Store { members: Arc::default(), started, read: false };
    let mut registrations = JoinSet::new();
    let mut inboxes = Vec::new();
    for port in 1..=count {
        let (handle, inbox) = Handle::new();
        inboxes.push(inbox);
        let address = ([10, 0, 0, 1], port).into();
        let name = format!("n-{port}");
        let member = Member { name, domain: "east".into(), peer: address, caller: address };
        registrations.spawn(writer::register(store.clone(), member, handle));
    }
    registrations.join_all().await;
    let known_members = |inbox: &mut tokio::sync::mpsc::UnboundedReceiver<Message>| {
        let messages = std::iter::from_fn(|| inbox.try_recv().ok());
        let sizes = messages.filter_map(|message| match message {
            Message::Facts { batch, .. } => Some(batch.items.len()),
            _ => None,
        });
        sizes.last().unwrap_or_default()
    };
    inboxes.iter_mut().map(known_members).collect()
}

/// Nodes that start at the same time read the store before any of them is registered. If they did
/// not read it again, they would not know each other; of any two nodes, the one registered later
/// has to know the other.
#[tokio::test]
async fn register_concurrently_leaves_no_pair_unknown() {
    let known_members = register_all(5).await;
    let pairs: usize = known_members.iter().map(|count| count.saturating_sub(1)).sum();
    assert!(pairs >= 5 * 4 / 2, "{known_members:?}");
}
