//! The links of one member to others, each with a task that writes to it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use quinn::Endpoint;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::keys::Keys;
use crate::mesh;

/// Frames that wait for one peer; more are dropped, as gossip repeats itself.
const MAX_QUEUED_FRAMES: usize = 256;

/// Links by address, opened when they are first used.
#[derive(Debug)]
pub struct Links {
    ident: u64,
    own_address: SocketAddr,
    endpoint: Endpoint,
    senders: BTreeMap<SocketAddr, mpsc::Sender<Vec<u8>>>,
    tasks: JoinSet<()>,
}

impl Links {
    /// Makes the links of the member `me`, which takes connections at `own`.
    #[must_use]
    pub fn new(ident: u64, own_address: SocketAddr, endpoint: Endpoint) -> Self {
        Self { ident, own_address, endpoint, senders: BTreeMap::new(), tasks: JoinSet::new() }
    }

    /// Uses other keys from now on, for every link anew.
    pub fn rotate(&mut self, keys: Keys) {
        self.endpoint.set_server_config(Some(keys.server));
        self.endpoint.set_default_client_config(keys.client);
        self.senders.clear();
    }

    /// Sends an encoded frame; returns whether the peer's queue had room for it.
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
        // A link whose sender is gone ends its task.
        self.senders.remove(&address);
    }

    /// Closes the links to peers that are not wanted any more.
    pub fn retain(&mut self, wanted: impl Fn(SocketAddr) -> bool) {
        self.senders.retain(|address, _| wanted(*address));
    }
}
