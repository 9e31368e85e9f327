//! Tasks that write frames to one peer and read the frames of all peers.
//!
//! [`crate::Links`] starts the writers; entries and nodes run [`accept`].

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use quinn::Endpoint;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::codec::{Envelope, Hello};
use crate::link::{Incoming, Outgoing};

/// Timeout of opening a connection, and of writing a frame.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Back-off after a failed attempt to open a connection.
const RECONNECT_BACK_OFF: Duration = Duration::from_millis(300);
/// Maximum number of connections that peers may have open.
const MAX_INCOMING: usize = 1_024;

/// Writes frames to one peer, and opens a connection whenever none is open.
///
/// Returns when the sender of `frames` is dropped.
pub async fn write(
    endpoint: Endpoint,
    address: SocketAddr,
    ident: u64,
    own_address: SocketAddr,
    mut frames: mpsc::Receiver<Vec<u8>>,
) {
    let mut kept: Option<Outgoing> = None;
    while let Some(frame) = frames.recv().await {
        let mut outgoing = match kept.take() {
            Some(outgoing) => outgoing,
            None => match timeout(TIMEOUT, Outgoing::open(&endpoint, address, ident, own_address))
                .await
            {
                Ok(Ok(outgoing)) => outgoing,
                Ok(Err(error)) => {
                    log::debug!("event=peer_unreachable peer={address} error=\"{error}\"");
                    tokio::time::sleep(RECONNECT_BACK_OFF).await;
                    discard_queued(&mut frames);
                    continue;
                }
                Err(_) => {
                    log::debug!("event=peer_silent peer={address}");
                    discard_queued(&mut frames);
                    continue;
                }
            },
        };
        match timeout(TIMEOUT, outgoing.send(&frame)).await {
            Ok(Ok(())) => kept = Some(outgoing),
            Ok(Err(error)) => log::debug!("event=peer_lost peer={address} error=\"{error}\""),
            Err(_) => log::debug!("event=peer_blocked peer={address}"),
        }
    }
}

/// Discards queued frames, which are outdated by the time a connection can be opened.
fn discard_queued(frames: &mut mpsc::Receiver<Vec<u8>>) {
    while frames.try_recv().is_ok() {}
}

/// Accepts connections of peers and passes their frames to `on_frame`, each with the hello of its
/// connection and its size in bytes.
///
/// The connection is closed as soon as `on_frame` returns false.
pub async fn accept<F, R>(
    endpoint: Endpoint,
    on_frame: impl Fn(Hello, F, usize) -> R + Clone + Send + 'static,
) where
    F: DeserializeOwned + Send + 'static,
    R: Future<Output = bool> + Send + 'static,
{
    let mut readers = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = readers.join_next() => {}
            incoming = endpoint.accept(), if readers.len() < MAX_INCOMING => {
                let Some(incoming) = incoming else { return };
                readers.spawn(read(incoming, on_frame.clone()));
            }
        }
    }
}

async fn read<F: DeserializeOwned, R: Future<Output = bool>>(
    incoming: quinn::Incoming,
    on_frame: impl Fn(Hello, F, usize) -> R,
) {
    let mut incoming = match timeout(TIMEOUT, Incoming::accept(incoming)).await {
        Ok(Ok(incoming)) => incoming,
        Ok(Err(error)) => {
            log::warn!("event=peer_refused error=\"{error}\"");
            return;
        }
        Err(_) => return,
    };
    let hello = incoming.hello;
    loop {
        match incoming.receive().await {
            Ok((Envelope::Frame(frame), size)) => {
                if !on_frame(hello, frame, size).await {
                    return;
                }
            }
            Ok((Envelope::Hello(_), _)) => {}
            Err(error) => {
                log::debug!("event=peer_ended peer={} error=\"{error}\"", hello.address);
                return;
            }
        }
    }
}
