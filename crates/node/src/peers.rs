//! The tasks that send frames to other nodes and receive frames from them.
//!
//! The dispatcher controls the sending task through messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gateway::message::Frame;
use peer::{Envelope, Hello, Links, encode, mesh};
use quinn::Endpoint;
use xtra::prelude::*;

use crate::message::{Deliver, Discover, Handle, Message, UpdateAddress};

/// The sending task: it owns the connections to other nodes and knows their addresses.
#[derive(xtra::Actor)]
pub struct Peers {
    addresses: BTreeMap<u64, SocketAddr>,
    links: Links,
}

impl Peers {
    /// Creates the task's state.
    #[must_use]
    pub fn new(own_ident: u64, own_address: SocketAddr, endpoint: Endpoint) -> Self {
        Self { addresses: BTreeMap::new(), links: Links::new(own_ident, own_address, endpoint) }
    }

    fn send(&mut self, address: SocketAddr, frame: Frame) {
        match encode(&Envelope::Frame(frame)) {
            Ok(bytes) => {
                // If the queue is full because the peer accepts no data, the frame is dropped;
                // later heartbeats are still sent.
                self.links.send(address, bytes);
            }
            Err(error) => log::error!("frame for a peer cannot be encoded: {error}"),
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

    async fn handle(&mut self, discover: Discover, _: &mut Context<Self>) {
        self.send(discover.to, discover.frame);
    }
}

impl Handler<UpdateAddress> for Peers {
    type Return = ();

    async fn handle(&mut self, UpdateAddress(member): UpdateAddress, _: &mut Context<Self>) {
        if let Some(previous) = self.addresses.insert(member.ident(), member.peer) {
            self.links.close(previous);
        }
        // A restarted process does not know the connections to its predecessor.
        self.links.close(member.peer);
    }
}

/// Accepts connections of other nodes and forwards their frames to the dispatcher.
pub async fn accept(endpoint: Endpoint, dispatcher: Handle) {
    let sink = move |hello: Hello, frame, _| {
        dispatcher.post(Message::Peer { from: hello.ident, frame });
        std::future::ready(true)
    };
    mesh::accept::<Frame, _>(endpoint, sink).await;
}
