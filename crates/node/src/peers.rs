//! The task that owns the endpoint to other nodes and knows their addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gateway::message::Frame;
use model::registry::Member;
use peer::{Envelope, Hello, Links, encode, mesh};
use quinn::Endpoint;
use xtra::prelude::*;

use crate::dispatch::{Handle, Message};

/// The task's state.
#[derive(xtra::Actor)]
pub struct Peers {
    seeds: Vec<SocketAddr>,
    addresses: BTreeMap<u64, SocketAddr>,
    links: Links,
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
pub struct Discover(pub Frame);

/// A member is new, has another address, or has started anew.
#[derive(Debug)]
pub struct UpdateAddress(pub Member);

impl Peers {
    /// Makes the task's state.
    #[must_use]
    pub fn new(
        own_ident: u64,
        own_address: SocketAddr,
        endpoint: Endpoint,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self {
            seeds: seeds.into_iter().filter(|seed| *seed != own_address).collect(),
            addresses: BTreeMap::new(),
            links: Links::new(own_ident, own_address, endpoint),
        }
    }

    fn send(&mut self, address: SocketAddr, frame: Frame) {
        match encode(&Envelope::Frame(frame)) {
            Ok(bytes) => {
                // A full queue means that the node takes nothing; beats go on to be sent.
                self.links.send(address, bytes);
            }
            Err(error) => log::error!("a frame cannot be encoded: {error}"),
        }
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

impl Handler<Discover> for Peers {
    type Return = ();

    async fn handle(&mut self, Discover(frame): Discover, _: &mut Context<Self>) {
        for seed in self.seeds.clone() {
            self.send(seed, frame.clone());
        }
    }
}

impl Handler<UpdateAddress> for Peers {
    type Return = ();

    async fn handle(&mut self, UpdateAddress(member): UpdateAddress, _: &mut Context<Self>) {
        if let Some(previous) = self.addresses.insert(member.ident(), member.peer) {
            self.links.close(previous);
        }
        // A process that has started anew knows nothing of connections to the one before it.
        self.links.close(member.peer);
    }
}

/// Accepts connections of other nodes and passes on their frames.
pub async fn accept(endpoint: Endpoint, dispatcher: Handle) {
    let sink = move |hello: Hello, frame, _| {
        dispatcher.post(Message::Peer { from: hello.ident, frame });
        std::future::ready(true)
    };
    mesh::accept::<Frame, _>(endpoint, sink).await;
}
