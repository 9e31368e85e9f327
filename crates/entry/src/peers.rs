//! The task that owns the endpoint to other entries and knows their addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use peer::{Envelope, Hello, Keys, Links, encode, mesh};
use policy::engine::Input;
use policy::message::Frame;
use policy::roster::Roster;
use quinn::Endpoint;
use rand::RngExt;
use serde::Serialize;
use xtra::prelude::*;

use crate::keeper::{Encoded, Keeper, Seen};
use crate::steer::{Feed, Steer};

/// The task's state.
#[derive(xtra::Actor)]
pub struct Peers {
    own: SocketAddr,
    bootstrap: Vec<SocketAddr>,
    addresses: BTreeMap<u64, SocketAddr>,
    links: Links,
    steer: Address<Steer>,
    keeper: Address<Keeper<store::Http>>,
    traffic: Traffic,
}

/// Frames and bytes since the start, without what QUIC and below add.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Frames sent.
    pub frames_out: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Frames received.
    pub frames_in: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Frames dropped because a peer could not take them.
    pub dropped: u64,
}

/// Sends a frame to a member.
#[derive(Debug)]
pub struct Deliver {
    /// The member's identity.
    pub to: u64,
    /// The frame.
    pub frame: Frame,
}

/// Sends a frame to one address of the settings.
#[derive(Debug)]
pub struct Hail(pub Frame);

/// Tells which members there are.
#[derive(Debug)]
pub struct Members(pub Roster);

/// A frame has come.
#[derive(Debug)]
pub struct Arrived {
    /// The sender's identity.
    pub from: u64,
    /// Where the sender takes connections.
    pub address: SocketAddr,
    /// The frame.
    pub frame: Frame,
    /// Its size in bytes.
    pub size: usize,
}

/// Uses new keys for connections from now on.
#[derive(Debug)]
pub struct Rotate(pub Keys);

/// Asks for the traffic.
#[derive(Debug)]
pub struct Measure;

impl Peers {
    /// Makes the task's state around an open endpoint.
    #[must_use]
    pub fn new(
        me: u64,
        own: SocketAddr,
        endpoint: Endpoint,
        bootstrap: Vec<SocketAddr>,
        steer: Address<Steer>,
        keeper: Address<Keeper<store::Http>>,
    ) -> Self {
        Self {
            own,
            bootstrap,
            addresses: BTreeMap::new(),
            links: Links::new(me, own, endpoint),
            steer,
            keeper,
            traffic: Traffic::default(),
        }
    }

    fn send(&mut self, address: SocketAddr, frame: Frame) {
        let bytes = match encode(&Envelope::Frame(frame)) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("event=frame_not_encoded error=\"{error}\"");
                return;
            }
        };
        let size = bytes.len() as u64;
        let sent = self.links.send(address, bytes);
        if sent {
            self.traffic.frames_out += 1;
            self.traffic.bytes_out += size;
        } else {
            self.traffic.dropped += 1;
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

impl Handler<Hail> for Peers {
    type Return = ();

    async fn handle(&mut self, hail: Hail, _: &mut Context<Self>) {
        let others: Vec<_> = self.bootstrap.iter().filter(|one| **one != self.own).collect();
        if !others.is_empty() {
            let address = *others[rand::rng().random_range(0..others.len())];
            self.send(address, hail.0);
        }
    }
}

impl Handler<Members> for Peers {
    type Return = ();

    async fn handle(&mut self, members: Members, _: &mut Context<Self>) {
        let named = members.0.members.into_values();
        self.addresses = named.map(|member| (member.ident, member.peer)).collect();
        let known: Vec<SocketAddr> = self.addresses.values().copied().collect();
        let bootstrap = &self.bootstrap;
        self.links.retain(|address| known.contains(&address) || bootstrap.contains(&address));
    }
}

impl Handler<Arrived> for Peers {
    type Return = ();

    async fn handle(&mut self, arrived: Arrived, _: &mut Context<Self>) {
        let Arrived { from, address, frame, size } = arrived;
        self.traffic.frames_in += 1;
        self.traffic.bytes_in += size as u64;
        // A joiner is not named by the roster, and still needs answers.
        self.addresses.entry(from).or_insert(address);
        match frame {
            Frame::Fetch => {
                if let Ok(Some(bytes)) = self.keeper.send(Encoded).await {
                    self.send(address, Frame::Config(bytes));
                }
            }
            Frame::Config(bytes) => {
                let _ = self.keeper.send(Seen(bytes)).detach().await;
            }
            frame => {
                let _ = self.steer.send(Feed(Input::Peer { from, frame })).detach().await;
            }
        }
    }
}

impl Handler<Rotate> for Peers {
    type Return = ();

    async fn handle(&mut self, rotate: Rotate, _: &mut Context<Self>) {
        self.links.rotate(rotate.0);
    }
}

impl Handler<Measure> for Peers {
    type Return = Traffic;

    async fn handle(&mut self, _: Measure, _: &mut Context<Self>) -> Traffic {
        self.traffic
    }
}

/// Accepts connections of peers and passes on their frames.
pub async fn accept(endpoint: Endpoint, peers: Address<Peers>) {
    let sink = move |hello: Hello, frame, size| {
        let peers = peers.clone();
        async move {
            let arrived = Arrived { from: hello.ident, address: hello.address, frame, size };
            peers.send(arrived).await.is_ok()
        }
    };
    mesh::accept(endpoint, sink).await;
}
