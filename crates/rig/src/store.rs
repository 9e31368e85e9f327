//! A stand-in for the platform's object store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Bytes, Incoming};
use hyper::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::oneshot;
use xtra::prelude::*;

use crate::serve::{Page, Reply, Server, serve};

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// It answers.
    #[default]
    Up,
    /// It closes every connection without an answer and without effect.
    Down,
    /// It carries out writes and then closes the connection.
    LosesAnswers,
    /// It answers after this time.
    Slow(Duration),
}

/// Calls that the store has had.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads of objects and lists.
    pub reads: u64,
    /// Writes, with or without effect.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}

/// The state of the store, owned by one task.
#[derive(xtra::Actor, Default)]
pub struct Shelf {
    objects: BTreeMap<String, Object>,
    waiting: BTreeMap<String, Vec<oneshot::Sender<()>>>,
    mode: Mode,
    calls: Calls,
}

/// A stored value.
#[derive(Clone, Debug)]
struct Object {
    version: u64,
    bytes: Bytes,
}

/// A running store.
#[derive(Debug)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    shelf: Address<Shelf>,
    _server: Server,
}

/// Changes how the store behaves.
struct SetMode(Mode);

/// Asks for the calls that the store has had.
struct Count;

/// Reads an object.
struct Get {
    name: String,
    watch: bool,
}

/// Lists objects.
struct List {
    prefix: String,
}

/// Writes an object.
struct Put {
    name: String,
    expected: u64,
    bytes: Bytes,
}

/// Waits for a change of an object.
struct Await {
    name: String,
    after: u64,
}

/// What became of a call.
struct Found {
    mode: Mode,
    object: Option<Object>,
}

/// What became of a write.
struct Written {
    mode: Mode,
    version: Result<u64, u64>,
}

impl Store {
    /// Starts a store.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let shelf = xtra::spawn_tokio(Shelf::default(), Mailbox::unbounded());
        let actor = shelf.clone();
        let server = serve(address, move |request| answer(actor.clone(), request)).await?;
        Ok(Self { address: server.address, shelf, _server: server })
    }

    /// Changes how the store behaves.
    pub async fn set_mode(&self, mode: Mode) {
        // The task ends only with the store.
        let _ = self.shelf.send(SetMode(mode)).await;
    }

    /// Returns the calls that the store has had.
    pub async fn calls(&self) -> Calls {
        self.shelf.send(Count).await.unwrap_or_default()
    }
}

impl Handler<SetMode> for Shelf {
    type Return = ();

    async fn handle(&mut self, mode: SetMode, _: &mut Context<Self>) {
        self.mode = mode.0;
    }
}

impl Handler<Count> for Shelf {
    type Return = Calls;

    async fn handle(&mut self, _: Count, _: &mut Context<Self>) -> Calls {
        self.calls
    }
}

impl Handler<Get> for Shelf {
    type Return = Found;

    async fn handle(&mut self, get: Get, _: &mut Context<Self>) -> Found {
        if get.watch {
            self.calls.watches += 1;
        } else {
            self.calls.reads += 1;
        }
        Found { mode: self.mode, object: self.objects.get(&get.name).cloned() }
    }
}

impl Handler<List> for Shelf {
    type Return = (Mode, Vec<(String, u64)>);

    async fn handle(&mut self, list: List, _: &mut Context<Self>) -> Self::Return {
        self.calls.reads += 1;
        let fits = self.objects.iter().filter(|(name, _)| name.starts_with(&list.prefix));
        (self.mode, fits.map(|(name, object)| (name.clone(), object.version)).collect())
    }
}

impl Handler<Put> for Shelf {
    type Return = Written;

    async fn handle(&mut self, put: Put, _: &mut Context<Self>) -> Written {
        self.calls.writes += 1;
        let found = self.objects.get(&put.name).map_or(0, |object| object.version);
        if found != put.expected || self.mode == Mode::Down {
            return Written { mode: self.mode, version: Err(found) };
        }
        let version = found + 1;
        self.objects.insert(put.name.clone(), Object { version, bytes: put.bytes });
        for waiting in self.waiting.remove(&put.name).unwrap_or_default() {
            // A watcher that left does not matter.
            let _ = waiting.send(());
        }
        Written { mode: self.mode, version: Ok(version) }
    }
}

impl Handler<Await> for Shelf {
    type Return = oneshot::Receiver<()>;

    async fn handle(&mut self, wait: Await, _: &mut Context<Self>) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let version = self.objects.get(&wait.name).map_or(0, |object| object.version);
        if version > wait.after {
            let _ = sender.send(());
        } else {
            let waiting = self.waiting.entry(wait.name).or_default();
            waiting.retain(|one| !one.is_closed());
            waiting.push(sender);
        }
        receiver
    }
}

async fn answer(shelf: Address<Shelf>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    let name = path.strip_prefix("/v1/objects").unwrap_or_default().trim_start_matches('/');
    match *request.method() {
        Method::GET if name.is_empty() => list(&shelf, &request).await,
        Method::GET => get(&shelf, name, &request).await,
        Method::PUT => put(&shelf, name, request).await,
        _ => status(StatusCode::METHOD_NOT_ALLOWED),
    }
}

async fn list(shelf: &Address<Shelf>, request: &Request<Incoming>) -> Reply {
    let prefix = parameter(request, "prefix").unwrap_or_default();
    let (mode, names) = shelf.send(List { prefix }).await.ok()?;
    apply(mode).await?;
    Some(Response::new(Page::new(serde_json::to_vec(&names).ok()?)))
}

async fn get(shelf: &Address<Shelf>, name: &str, request: &Request<Incoming>) -> Reply {
    let number = |field| parameter(request, field).and_then(|value| value.parse::<u64>().ok());
    let watch = number("after").zip(number("wait_ms"));
    if let Some((after, wait_ms)) = watch {
        let changed = shelf.send(Await { name: name.into(), after }).await.ok()?;
        // Without a change the present state is answered.
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms), changed).await;
    }
    let found = shelf.send(Get { name: name.into(), watch: watch.is_some() }).await.ok()?;
    apply(found.mode).await?;
    let Some(object) = found.object else { return status(StatusCode::NOT_FOUND) };
    if watch.is_some_and(|(after, _)| object.version <= after) {
        return status(StatusCode::NOT_MODIFIED);
    }
    tagged(StatusCode::OK, object.version, object.bytes)
}

async fn put(shelf: &Address<Shelf>, name: &str, request: Request<Incoming>) -> Reply {
    let headers = request.headers();
    let expected = match headers.get(IF_MATCH) {
        Some(tag) => tag.to_str().ok()?.trim_matches('"').parse().ok()?,
        None if headers.contains_key(IF_NONE_MATCH) => 0,
        None => return status(StatusCode::PRECONDITION_REQUIRED),
    };
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    let written = shelf.send(Put { name: name.into(), expected, bytes }).await.ok()?;
    apply(written.mode).await?;
    if written.mode == Mode::LosesAnswers {
        return None;
    }
    match written.version {
        Ok(version) => tagged(StatusCode::OK, version, Bytes::new()),
        Err(found) => tagged(StatusCode::PRECONDITION_FAILED, found, Bytes::new()),
    }
}

/// Waits or gives up as the mode says.
async fn apply(mode: Mode) -> Option<()> {
    match mode {
        Mode::Up | Mode::LosesAnswers => Some(()),
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
    let mut response = Response::new(Page::default());
    *response.status_mut() = status;
    Some(response)
}

fn tagged(status: StatusCode, version: u64, bytes: Bytes) -> Reply {
    let mut response = Response::new(Page::new(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(ETAG, format!("\"{version}\"").parse().ok()?);
    Some(response)
}
