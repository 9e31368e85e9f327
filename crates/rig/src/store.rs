//! Simulated object store of the platform, with faults that tests can switch on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::oneshot;
use xtra::prelude::*;

use crate::serve::{Payload, Reply, Server, serve};

/// Fault mode of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Normal operation.
    #[default]
    Up,
    /// The store closes every connection without a response, and no write takes effect.
    Down,
    /// The store applies writes, then closes the connection without a response.
    DropsResponses,
    /// The store delays every response by this time.
    Slow(Duration),
}

/// Counts of the calls that the store has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads and lists of objects.
    pub reads: u64,
    /// Writes, whether they took effect or not.
    pub writes: u64,
    /// Reads that wait for a change.
    pub watches: u64,
}

/// State of the store, owned by a task of its own.
#[derive(xtra::Actor, Default)]
pub struct Storage {
    objects: BTreeMap<String, Object>,
    /// Watchers to notify of the next write, by name of the object.
    watchers: BTreeMap<String, Vec<oneshot::Sender<()>>>,
    mode: Mode,
    calls: Calls,
}

/// A stored value with its version.
#[derive(Clone, Debug)]
struct Object {
    version: u64,
    bytes: Bytes,
}

/// A running store, which stops when it is dropped.
#[derive(Debug)]
pub struct Store {
    /// Address that the store listens on.
    pub address: SocketAddr,
    storage: Address<Storage>,
    _server: Server,
}

/// Sets the fault mode.
struct SetMode(Mode);

/// Requests the counts of calls.
struct GetCalls;

/// Reads an object, at the end of a watch if `watch` is set.
struct Get {
    name: String,
    watch: bool,
}

/// Lists the names and versions of the objects with a prefix.
struct List {
    prefix: String,
}

/// Writes an object if its version is still `expected`. Version 0 stands for no object.
struct Put {
    name: String,
    expected: u64,
    bytes: Bytes,
}

/// Registers a watcher for a version of an object later than `after`.
struct WaitForChange {
    name: String,
    after: u64,
}

/// Result of a read, with the fault mode to apply.
struct GetResult {
    mode: Mode,
    object: Option<Object>,
}

/// Result of a write, with the fault mode to apply: the new version, or the current version if the
/// write did not take effect.
struct PutResult {
    mode: Mode,
    version: Result<u64, u64>,
}

impl Store {
    /// Starts a store.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let storage = xtra::spawn_tokio(Storage::default(), Mailbox::unbounded());
        let actor = storage.clone();
        let server = serve(address, move |request| handle_request(actor.clone(), request)).await?;
        Ok(Self { address: server.address, storage, _server: server })
    }

    /// Sets the fault mode.
    pub async fn set_mode(&self, mode: Mode) {
        // The task runs as long as the store, so sending cannot fail.
        let _ = self.storage.send(SetMode(mode)).await;
    }

    /// Returns the counts of the calls received so far.
    pub async fn calls(&self) -> Calls {
        self.storage.send(GetCalls).await.unwrap_or_default()
    }
}

impl Handler<SetMode> for Storage {
    type Return = ();

    async fn handle(&mut self, mode: SetMode, _: &mut Context<Self>) {
        self.mode = mode.0;
    }
}

impl Handler<GetCalls> for Storage {
    type Return = Calls;

    async fn handle(&mut self, _: GetCalls, _: &mut Context<Self>) -> Calls {
        self.calls
    }
}

impl Handler<Get> for Storage {
    type Return = GetResult;

    async fn handle(&mut self, get: Get, _: &mut Context<Self>) -> GetResult {
        if get.watch {
            self.calls.watches += 1;
        } else {
            self.calls.reads += 1;
        }
        GetResult { mode: self.mode, object: self.objects.get(&get.name).cloned() }
    }
}

impl Handler<List> for Storage {
    type Return = (Mode, Vec<(String, u64)>);

    async fn handle(&mut self, list: List, _: &mut Context<Self>) -> Self::Return {
        self.calls.reads += 1;
        let matching = self.objects.iter().filter(|(name, _)| name.starts_with(&list.prefix));
        (self.mode, matching.map(|(name, object)| (name.clone(), object.version)).collect())
    }
}

impl Handler<Put> for Storage {
    type Return = PutResult;

    async fn handle(&mut self, put: Put, _: &mut Context<Self>) -> PutResult {
        self.calls.writes += 1;
        let current = self.objects.get(&put.name).map_or(0, |object| object.version);
        if current != put.expected || self.mode == Mode::Down {
            return PutResult { mode: self.mode, version: Err(current) };
        }
        let version = current + 1;
        self.objects.insert(put.name.clone(), Object { version, bytes: put.bytes });
        for watcher in self.watchers.remove(&put.name).unwrap_or_default() {
            // The watcher may have been cancelled.
            let _ = watcher.send(());
        }
        PutResult { mode: self.mode, version: Ok(version) }
    }
}

impl Handler<WaitForChange> for Storage {
    type Return = oneshot::Receiver<()>;

    async fn handle(
        &mut self,
        wait: WaitForChange,
        _: &mut Context<Self>,
    ) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let version = self.objects.get(&wait.name).map_or(0, |object| object.version);
        if version > wait.after {
            let _ = sender.send(());
        } else {
            let watchers = self.watchers.entry(wait.name).or_default();
            watchers.retain(|watcher| !watcher.is_closed());
            watchers.push(sender);
        }
        receiver
    }
}

async fn handle_request(storage: Address<Storage>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    let name = path.strip_prefix("/v1/objects").unwrap_or_default().trim_start_matches('/');
    match *request.method() {
        Method::GET if name.is_empty() => list(&storage, &request).await,
        Method::GET => get(&storage, name, &request).await,
        Method::PUT => put(&storage, name, request).await,
        _ => status(StatusCode::METHOD_NOT_ALLOWED),
    }
}

async fn list(storage: &Address<Storage>, request: &Request<Incoming>) -> Reply {
    let prefix = parameter(request, "prefix").unwrap_or_default();
    let (mode, names) = storage.send(List { prefix }).await.ok()?;
    apply_mode(mode).await?;
    Some(Response::new(Payload::new(serde_json::to_vec(&names).ok()?)))
}

async fn get(storage: &Address<Storage>, name: &str, request: &Request<Incoming>) -> Reply {
    let number = |field| parameter(request, field).and_then(|value| value.parse::<u64>().ok());
    let watch = number("after").zip(number("wait_ms"));
    if let Some((after, wait_ms)) = watch {
        let changed = storage.send(WaitForChange { name: name.into(), after }).await.ok()?;
        // After a time-out, the response reflects the unchanged state.
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms), changed).await;
    }
    let result = storage.send(Get { name: name.into(), watch: watch.is_some() }).await.ok()?;
    apply_mode(result.mode).await?;
    let Some(object) = result.object else { return status(StatusCode::NOT_FOUND) };
    if watch.is_some_and(|(after, _)| object.version <= after) {
        return status(StatusCode::NOT_MODIFIED);
    }
    versioned(StatusCode::OK, object.version, object.bytes)
}

async fn put(storage: &Address<Storage>, name: &str, request: Request<Incoming>) -> Reply {
    let headers = request.headers();
    let expected = match headers.get(IF_MATCH) {
        Some(tag) => tag.to_str().ok()?.trim_matches('"').parse().ok()?,
        None if headers.contains_key(IF_NONE_MATCH) => 0,
        None => return status(StatusCode::PRECONDITION_REQUIRED),
    };
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    let written = storage.send(Put { name: name.into(), expected, bytes }).await.ok()?;
    apply_mode(written.mode).await?;
    if written.mode == Mode::DropsResponses {
        return None;
    }
    match written.version {
        Ok(version) => versioned(StatusCode::OK, version, Bytes::new()),
        Err(current) => versioned(StatusCode::PRECONDITION_FAILED, current, Bytes::new()),
    }
}

/// Applies the fault mode before a response: delays it, or returns `None` to send no response.
async fn apply_mode(mode: Mode) -> Option<()> {
    match mode {
        Mode::Up | Mode::DropsResponses => Some(()),
        Mode::Down => None,
        Mode::Slow(time) => {
            tokio::time::sleep(time).await;
            Some(())
        }
    }
}

fn parameter(request: &Request<Incoming>, name: &str) -> Option<String> {
    let mut pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}

fn status(status: StatusCode) -> Reply {
    let mut response = Response::new(Payload::default());
    *response.status_mut() = status;
    Some(response)
}

fn versioned(status: StatusCode, version: u64, bytes: Bytes) -> Reply {
    let mut response = Response::new(Payload::new(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(ETAG, format!("\"{version}\"").parse().ok()?);
    Some(response)
}
