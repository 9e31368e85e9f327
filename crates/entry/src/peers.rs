//! The task that owns the QUIC endpoint to peers and the table of their addresses.
//!
//! The dispatcher sends frames through it. Received frames go to the dispatcher, and those with a
//! configuration to the configuration manager.

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

use crate::config::{Adopt, GetEncoded, Manager};
use crate::dispatch::{Apply, Dispatcher};

/// The state of the task.
#[derive(xtra::Actor)]
pub struct Peers {
    own_address: SocketAddr,
    /// Addresses from the settings, used before a roster is known.
    seeds: Vec<SocketAddr>,
    /// Addresses of peers, by identity.
    addresses: BTreeMap<u64, SocketAddr>,
    links: Links,
    dispatcher: Address<Dispatcher>,
    config_manager: Address<Manager<store::Http>>,
    traffic: Traffic,
}

/// Frames and bytes since the start, without the overhead of QUIC and lower layers.
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
    /// Frames dropped because they could not be queued for a peer.
    pub dropped: u64,
}

/// Sends a frame to a member; it is dropped if the member's address is unknown.
#[derive(Debug)]
pub struct Deliver {
    /// The member's identity.
    pub to: u64,
    /// The frame.
    pub frame: Frame,
}

/// Sends a frame to a random seed address, to find members.
#[derive(Debug)]
pub struct Discover(pub Frame);

/// Replaces the addresses by those of a new roster.
///
/// Links to addresses that are neither in the roster nor seeds are closed.
#[derive(Debug)]
pub struct SetRoster(pub Roster);

/// A frame was received.
#[derive(Debug)]
pub struct Received {
    /// The sender's identity.
    pub from: u64,
    /// Address on which the sender accepts connections of peers.
    pub address: SocketAddr,
    /// The frame.
    pub frame: Frame,
    /// Encoded size in bytes.
    pub size: usize,
}

/// Uses new keys for new connections.
#[derive(Debug)]
pub struct Rotate(pub Keys);

/// Returns the traffic counters.
#[derive(Debug)]
pub struct GetTraffic;

impl Peers {
    /// Creates the state of the task with an open endpoint.
    #[must_use]
    pub fn new(
        own_ident: u64,
        own_address: SocketAddr,
        endpoint: Endpoint,
        seeds: Vec<SocketAddr>,
        dispatcher: Address<Dispatcher>,
        config_manager: Address<Manager<store::Http>>,
    ) -> Self {
        Self {
            own_address,
            seeds,
            addresses: BTreeMap::new(),
            links: Links::new(own_ident, own_address, endpoint),
            dispatcher,
            config_manager,
            traffic: Traffic::default(),
        }
    }

    /// Encodes a frame and queues it for an address; counts it as dropped if the queue is full.
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

impl Handler<Discover> for Peers {
    type Return = ();

    async fn handle(&mut self, discover: Discover, _: &mut Context<Self>) {
        let candidates: Vec<_> =
            self.seeds.iter().filter(|seed| **seed != self.own_address).collect();
        if !candidates.is_empty() {
            let address = *candidates[rand::rng().random_range(0..candidates.len())];
            self.send(address, discover.0);
        }
    }
}

impl Handler<SetRoster> for Peers {
    type Return = ();

    async fn handle(&mut self, set_roster: SetRoster, _: &mut Context<Self>) {
        let members = set_roster.0.members.into_values();
        self.addresses = members.map(|member| (member.ident, member.peer)).collect();
        let member_addresses: Vec<SocketAddr> = self.addresses.values().copied().collect();
        let seeds = &self.seeds;
        self.links
            .retain(|address| member_addresses.contains(&address) || seeds.contains(&address));
    }
}

impl Handler<Received> for Peers {
    type Return = ();

    async fn handle(&mut self, received: Received, _: &mut Context<Self>) {
        let Received { from, address, frame, size } = received;
        self.traffic.frames_in += 1;
        self.traffic.bytes_in += size as u64;
        // A joining member is not in the roster yet, but needs replies.
        self.addresses.entry(from).or_insert(address);
        match frame {
            Frame::Fetch => {
                if let Ok(Some(bytes)) = self.config_manager.send(GetEncoded).await {
                    self.send(address, Frame::Config(bytes));
                }
            }
            Frame::Config(bytes) => {
                let _ = self.config_manager.send(Adopt(bytes)).detach().await;
            }
            frame => {
                let _ = self.dispatcher.send(Apply(Input::Peer { from, frame })).detach().await;
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

impl Handler<GetTraffic> for Peers {
    type Return = Traffic;

    async fn handle(&mut self, _: GetTraffic, _: &mut Context<Self>) -> Traffic {
        self.traffic
    }
}

/// Accepts connections of peers and sends their frames to the peers task.
pub async fn accept(endpoint: Endpoint, peers: Address<Peers>) {
    let receive = move |hello: Hello, frame, size| {
        let peers = peers.clone();
        async move {
            let received = Received { from: hello.ident, address: hello.address, frame, size };
            peers.send(received).await.is_ok()
        }
    };
    mesh::accept(endpoint, receive).await;
}
