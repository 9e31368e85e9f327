//! Outgoing links of one member to its peers, each with a task that owns the connection.
//!
//! The dispatchers of entries and nodes send their frames with it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use quinn::Endpoint;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::keys::Keys;
use crate::mesh;

/// Maximum number of frames queued for one peer; further frames are dropped, as gossip is repeated.
const MAX_QUEUED_FRAMES: usize = 256;

/// Links by address of the peer, opened on first use.
#[derive(Debug)]
pub struct Links {
    ident: u64,
    own_address: SocketAddr,
    endpoint: Endpoint,
    senders: BTreeMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
    tasks: JoinSet<()>,
}

impl Links {
    /// Creates the links of the member `ident`, which accepts connections on `own_address`.
    #[must_use]
    pub fn new(ident: u64, own_address: SocketAddr, endpoint: Endpoint) -> Self {
        Self { ident, own_address, endpoint, senders: BTreeMap::new(), tasks: JoinSet::new() }
    }

    /// Replaces the keys and closes every link, so that each is opened again with the new keys.
    pub fn rotate(&mut self, keys: Keys) {
        self.endpoint.set_server_config(Some(keys.server));
        self.endpoint.set_default_client_config(keys.client);
        self.senders.clear();
    }

    /// Queues an encoded frame for a peer.
    ///
    /// Returns false if the queue is full and the frame is dropped.
    pub fn send(&mut self, address: SocketAddr, frame: Vec<u8>) -> bool {
        while self.tasks.try_join_next().is_some() {}
        let (endpoint, ident, own_address) = (&self.endpoint, self.ident, self.own_address);
        let tasks = &mut self.tasks;
        let sender = self.senders.entry(address).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
            tasks.spawn(mesh::write(endpoint.clone(), address, ident, own_address, receiver));
            sender
        });
        sender.try_send(frame).is_ok()
    }

    /// Closes the link to a peer.
    pub fn close(&mut self, address: SocketAddr) {
        // The task of a link ends when its sender is dropped.
        self.senders.remove(&address);
    }

    /// Closes the links to all peers but those for which `wanted` returns true.
    pub fn retain(&mut self, wanted: impl Fn(SocketAddr) -> bool) {
        self.senders.retain(|address, _| wanted(*address));
    }
}
