//! Stand-in of the platform's store.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Json, quote};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(30);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    specification: String,
    status: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, object as text, and whether it was deleted.
    events: Vec<(u64, String, String, bool)>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// Address at which it listens.
    pub address: SocketAddr,
}

impl Object {
    fn text(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":{},\"revision\":{},\"created\":{},\"finalizers\":[],\
             \"beingDeleted\":false}},\"specification\":{},\"status\":{}}}",
            quote(name),
            self.revision,
            self.created,
            self.specification,
            self.status
        )
    }
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State { revision: 100, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("unpoisoned lock")
    }

    /// Writes an object, as the operator or a worker does; what is equal is no change.
    pub fn put(&self, kind: &str, name: &str, specification: &str, status: &str) {
        let mut state = self.state();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key);
        let is_same =
            |known: &Object| known.specification == specification && known.status == status;
        if known.is_some_and(is_same) {
            return;
        }
        let created = known.map(|known| known.created);
        state.revision += 1;
        let revision = state.revision;
        let object = Object {
            revision,
            created: created.unwrap_or(revision),
            specification: specification.to_owned(),
            status: status.to_owned(),
        };
        let text = object.text(name);
        state.objects.insert(key, object);
        state.events.push((revision, kind.to_owned(), text, false));
        drop(state);
        self.state.1.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.revision += 1;
        let revision = state.revision;
        state.events.push((revision, kind.to_owned(), object.text(name), true));
        drop(state);
        self.state.1.notify_all();
    }

    /// Returns the `state` in the status of an object.
    pub fn state_of(&self, kind: &str, name: &str) -> Option<String> {
        let key = (kind.to_owned(), name.to_owned());
        let status = self.state().objects.get(&key)?.status.clone();
        Some(Json::parse(&status)?.get("state")?.text()?.to_owned())
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader, false) {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.respond(&request);
            let start = format!("HTTP/1.1 {status} Status");
            let headers = [("Content-Type", "application/json")];
            if writer.write_all(&http::format(&start, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)
        };
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        match (request.start[0].as_str(), parts.as_slice()) {
            ("GET", ["objects", kind]) => match parameter("watch") {
                Some((_, after)) => {
                    let wait = parameter("waitMs").and_then(|(_, text)| text.parse().ok());
                    let wait = Duration::from_millis(wait.unwrap_or(0)).min(MAX_WAIT);
                    (200, self.watch(kind, after.parse().unwrap_or(0), wait))
                }
                None => (200, self.list(kind, parameter("after").map_or("", |(_, name)| name))),
            },
            ("GET", ["objects", kind, name]) => self.object(kind, name),
            ("POST", ["objects", kind]) => {
                let Some(body) = body else { return (400, "{}".to_owned()) };
                let name = body.get("metadata").and_then(|data| data.get("name"));
                let Some(name) = name.and_then(Json::text) else {
                    return (400, "{}".to_owned());
                };
                if self.object(kind, name).0 == 200 {
                    return (409, self.object(kind, name).1);
                }
                let text =
                    |field: &str| body.get(field).map_or("null".to_owned(), ToString::to_string);
                self.put(kind, name, &text("specification"), &text("status"));
                self.object(kind, name)
            }
            ("PUT", ["objects", kind, name, rest @ ..]) => {
                let Some(body) = body else { return (400, "{}".to_owned()) };
                self.replace(kind, name, &body, rest == ["status"])
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn replace(&self, kind: &str, name: &str, body: &Json, only_status: bool) -> (u16, String) {
        let key = (kind.to_owned(), name.to_owned());
        let Some(known) = self.state().objects.get(&key).cloned() else {
            return (404, "{}".to_owned());
        };
        let revision = body.get("metadata").and_then(|data| data.get("revision"));
        if revision.and_then(Json::number).is_some_and(|revision| revision != known.revision) {
            return (409, known.text(name));
        }
        let text = |field: &str| body.get(field).map_or("null".to_owned(), ToString::to_string);
        match only_status {
            true => self.put(kind, name, &known.specification, &text("status")),
            false => self.put(kind, name, &text("specification"), &known.status),
        }
        self.object(kind, name)
    }

    fn object(&self, kind: &str, name: &str) -> (u16, String) {
        match self.state().objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => (200, object.text(name)),
            None => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.state();
        let objects = state.objects.iter();
        let items = objects.filter(|((of, name), _)| of == kind && name.as_str() > after);
        let items: Vec<String> = items.map(|((_, name), object)| object.text(name)).collect();
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"currentRev\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.state();
        loop {
            let events = state.events.iter().filter(|event| event.0 > after && event.1 == kind);
            let events: Vec<String> = events
                .map(|(_, _, object, deleted)| {
                    format!("{{\"object\":{object},\"deleted\":{deleted}}}")
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"currentRev\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = self.state.1.wait_timeout(state, left).expect("unpoisoned lock").0;
        }
    }
}
