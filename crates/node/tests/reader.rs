//! Tests of the store's readers during an outage.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::prelude::*;
use model::registry::{Kind, Member, Phase};
use node::message::{Handle, Message};
use node::reader::Reader;
use store::{Error, Listing, Registry};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// A store that can be made unavailable and counts its calls by kind.
#[derive(Clone, Default)]
struct Store {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    unavailable: bool,
    calls: BTreeMap<Kind, u32>,
}

impl Store {
    fn call(&self, kind: Kind) -> Result<Listing, Error> {
        let mut state = self.state.lock().expect("no thread has panicked");
        *state.calls.entry(kind).or_default() += 1;
        if state.unavailable {
            return Err(Error::Status { status: 503 });
        }
        Ok(Listing { items: Vec::new(), revision: 7 })
    }

    /// Sets whether the store is unavailable and returns the calls by kind since the last time.
    fn set_unavailable(&self, unavailable: bool) -> BTreeMap<Kind, u32> {
        let mut state = self.state.lock().expect("no thread has panicked");
        state.unavailable = unavailable;
        std::mem::take(&mut state.calls)
    }
}

impl Registry for Store {
    fn new_connection(&self) -> Self {
        self.clone()
    }

    async fn list(&mut self, kind: Kind) -> Result<Listing, Error> {
        self.call(kind)
    }

    async fn watch(&mut self, kind: Kind, _: u64, wait: Duration) -> Result<Listing, Error> {
        let result = self.call(kind);
        if result.is_ok() {
            sleep(wait.min(Duration::from_millis(400))).await;
        }
        result
    }

    async fn register_member(&mut self, _: &Member) -> Result<(), Error> {
        Ok(())
    }

    async fn finish_rollout(&mut self, _: &str, _: &str, phase: Phase) -> Result<Phase, Error> {
        Ok(phase)
    }
}

const KINDS: [Kind; 4] = [Kind::Upstreams, Kind::Table, Kind::Rollouts, Kind::Withdrawals];

/// During an outage only one reader may call the store, as the calls of all nodes load a store
/// that recovers; once it is available, all kinds have to be read again.
#[tokio::test]
async fn run_retries_with_one_reader_during_an_outage() {
    let store = Store::default();
    let (watching, watched) = watch::channel(true);
    let (available, _) = watch::channel(true);
    let (handle, mut inbox) = Handle::new();
    let mut readers = JoinSet::new();
    for kind in KINDS {
        let interval = Span::millis(700);
        let (watched, available) = (watched.clone(), available.clone());
        let reader = Reader::new(store.clone(), kind, handle.clone(), interval, watched, available);
        readers.spawn(reader.run());
    }
    sleep(Duration::from_millis(600)).await;
    store.set_unavailable(true);
    sleep(Duration::from_millis(2_500)).await;
    while inbox.try_recv().is_ok() {}
    let calls = store.set_unavailable(false);
    assert!(calls[&Kind::Upstreams] >= 3, "{calls:?}");
    let others = KINDS[1..].iter().map(|kind| calls.get(kind).copied().unwrap_or_default());
    assert!(others.clone().all(|count| count <= 2), "{calls:?}");

    let mut read: Vec<Kind> = Vec::new();
    let all = async {
        while read.len() < KINDS.len() {
            if let Some(Message::Facts { kind, .. }) = inbox.recv().await
                && !read.contains(&kind)
            {
                read.push(kind);
            }
        }
    };
    timeout(Duration::from_secs(4), all).await.expect("every kind is read again");
    assert!(*watching.borrow());
}
