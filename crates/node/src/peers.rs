//! The task that owns the endpoint to other nodes and knows their addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gateway::message::Frame;
use model::registry::Member;
use peer::{Envelope, Hello, encode, mesh};
use quinn::Endpoint;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use xtra::prelude::*;

use crate::steer::{Message, Way};

/// Frames that wait for one node; more are dropped, as beats repeat what they say.
const MOST_WAITING: usize = 256;

/// The task's state.
#[derive(xtra::Actor)]
pub struct Peers {
    me: u64,
    own: SocketAddr,
    endpoint: Endpoint,
    seeds: Vec<SocketAddr>,
    addresses: BTreeMap<u64, SocketAddr>,
    links: BTreeMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
    tasks: JoinSet<()>,
}

/// Sends a frame to a node.
#[derive(Debug)]
pub struct Deliver {
    /// The node's identity.
    pub to: u64,
    /// The frame.
    pub frame: Frame,
}

/// Sends a frame to the addresses of the settings.
#[derive(Debug)]
pub struct Hail(pub Frame);

/// A member is new, has another address, or has started anew.
#[derive(Debug)]
pub struct Learn(pub Member);

impl Peers {
    /// Makes the task's state.
    #[must_use]
    pub fn new(me: u64, own: SocketAddr, endpoint: Endpoint, seeds: Vec<SocketAddr>) -> Self {
        Self {
            me,
            own,
            endpoint,
            seeds: seeds.into_iter().filter(|seed| *seed != own).collect(),
            addresses: BTreeMap::new(),
            links: BTreeMap::new(),
            tasks: JoinSet::new(),
        }
    }

    fn send(&mut self, address: SocketAddr, frame: Frame) {
        match encode(&Envelope::Frame(frame)) {
            Ok(bytes) => {
                // A full queue means that the node takes nothing; beats go on to be sent.
                let _ = self.link(address).try_send(bytes);
            }
            Err(error) => log::error!("a frame cannot be encoded: {error}"),
        }
    }

    fn link(&mut self, address: SocketAddr) -> &mpsc::Sender<Vec<u8>> {
        let (endpoint, me, own) = (self.endpoint.clone(), self.me, self.own);
        while self.tasks.try_join_next().is_some() {}
        let tasks = &mut self.tasks;
        self.links.entry(address).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(MOST_WAITING);
            tasks.spawn(mesh::write(endpoint, address, me, own, receiver));
            sender
        })
    }
}

impl Handler<Deliver> for Peers {
    type Return = ();

    async fn handle(&mut self, deliver: Deliver, _: &mut Context<Self>) {
        if let Some(address) = self.addresses.get(&deliver.to).copied() {
            self.send(address, deliver.frame);
        }
    }
}

impl Handler<Hail> for Peers {
    type Return = ();

    async fn handle(&mut self, Hail(frame): Hail, _: &mut Context<Self>) {
        for seed in self.seeds.clone() {
            self.send(seed, frame.clone());
        }
    }
}

impl Handler<Learn> for Peers {
    type Return = ();

    async fn handle(&mut self, Learn(member): Learn, _: &mut Context<Self>) {
        if let Some(before) = self.addresses.insert(member.ident(), member.peer) {
            self.links.remove(&before);
        }
        // A process that has started anew knows nothing of connections to the one before it.
        self.links.remove(&member.peer);
    }
}

/// Accepts connections of other nodes and passes on their frames.
pub async fn accept(endpoint: Endpoint, steer: Way) {
    let sink = move |hello: Hello, frame, _| {
        steer.post(Message::Peer { from: hello.ident, frame });
        std::future::ready(true)
    };
    mesh::accept::<Frame, _>(endpoint, sink).await;
}
