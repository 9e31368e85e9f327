//! Starting and stopping the tasks of one entry.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use policy::balance::Least;
use policy::engine::Input;
use policy::roster::{self, Member, Roster};
use policy::{Charts, Engine, charts};
use store::{CONFIG, Http, Put, ROSTER, Store};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use xtra::{Address, Mailbox};

use crate::admin::{self, Admin, Metrics};
use crate::clock::{Clock, unix_ms};
use crate::front::{self, Front};
use crate::keeper::{Keeper, Seen};
use crate::settings::Settings;
use crate::steer::{Feed, Inspect, Steer, Tick};

/// Time between ticks of the decisions.
const TICK: Duration = Duration::from_millis(20);
/// Time for which one watch of the store waits.
const WATCH: Duration = Duration::from_secs(10);
/// Pause after a failed call of the store.
const STORE_PAUSE: Duration = Duration::from_millis(500);
/// Time between confirmations of the roster.
const CONFIRM: Duration = Duration::from_secs(1);

/// An entry that cannot start.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// A chart does not fit.
    #[display("{_0}")]
    Chart(charts::Fault),
    /// An address cannot be listened on.
    #[display("cannot listen on {address}: {cause}")]
    #[from(skip)]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The system's account.
        #[error(source)]
        cause: std::io::Error,
    },
}

/// A running entry.
#[derive(Debug)]
pub struct Handle {
    steer: Address<Steer>,
    stop: watch::Sender<bool>,
    front: JoinHandle<()>,
    /// Ends with the handle, and its tasks with it.
    _tasks: JoinSet<()>,
    stop_time: Duration,
}

/// Starts the tasks of an entry.
///
/// # Errors
///
/// Returns an error if a chart does not fit or an address cannot be listened on.
pub async fn start(settings: Settings) -> Result<Handle, Fault> {
    let charts = Charts::load()?;
    let callers = listen(settings.listen.callers).await?;
    let operators = listen(settings.listen.operators).await?;
    let clock = Clock::default();
    let me = roster::ident(&settings.name, unix_ms());
    let engine = Engine::new(charts, me, settings.domain.as_str(), me, Least);
    let mut tasks = JoinSet::new();

    let (steer, mailbox) = Mailbox::unbounded();
    tasks.spawn(xtra::run(mailbox, Steer::new(engine, clock)));
    let (keeper, mailbox) = Mailbox::unbounded();
    let store = || Http::new(settings.store.address, settings.store.patience);
    tasks.spawn(xtra::run(mailbox, Keeper::new(store(), steer.clone())));

    tasks.spawn(tick(steer.clone()));
    tasks.spawn(watch_config(store(), keeper.clone()));
    let member = Member {
        ident: me,
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        peer: settings.listen.peers,
        caller: settings.listen.callers,
    };
    tasks.spawn(confirm_roster(store(), steer.clone(), clock, member));

    let meter = Metrics::new(&settings.name);
    let admin = Admin { steer: steer.clone(), keeper, operators: settings.operators.into(), meter };
    tasks.spawn(admin::accept(admin, operators));

    let (stop, stopping) = watch::channel(false);
    let front = Front { steer: steer.clone(), clock, limits: Arc::new(settings.limits) };
    let front = tokio::spawn(front::accept(front, callers, stopping));
    log::info!("event=started name={} callers={}", settings.name, settings.listen.callers);
    let stop_time = settings.limits.stop_time;
    Ok(Handle { steer, stop, front, _tasks: tasks, stop_time })
}

impl Handle {
    /// Stops the entry: no new connections, calls in progress end, then the tasks end.
    ///
    /// Returns the number of calls that were cut because the time for stopping was over.
    pub async fn stop(mut self) -> usize {
        // The receiver lives in the front's task, which may have ended already.
        let _ = self.stop.send(true);
        let ended = tokio::time::timeout(self.stop_time, &mut self.front).await;
        let _ = self.steer.send(Feed(Input::Stop)).await;
        let cut = match ended {
            Ok(_) => 0,
            Err(_) => {
                self.front.abort();
                self.steer.send(Inspect).await.map_or(0, |state| state.engine.calls)
            }
        };
        log::info!("event=stopped cut={cut}");
        cut
    }
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, Fault> {
    TcpListener::bind(address).await.map_err(|cause| Fault::Listen { address, cause })
}

async fn tick(steer: Address<Steer>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if steer.send(Tick).await.is_err() {
            return;
        }
    }
}

/// Passes on each new configuration of the store.
async fn watch_config<S: Store>(mut store: S, keeper: Address<Keeper<S>>) {
    let mut after = 0;
    loop {
        match store.watch(CONFIG, after, WATCH).await {
            Ok(Some(object)) => {
                after = object.version;
                if keeper.send(Seen(object.bytes)).await.is_err() {
                    return;
                }
            }
            Ok(None) => {}
            Err(error) => {
                log::warn!("event=watch_failed error=\"{error}\"");
                tokio::time::sleep(STORE_PAUSE).await;
            }
        }
    }
}

/// Confirms the roster again and again, and enters this member if it is missing.
async fn confirm_roster<S: Store>(
    mut store: S,
    steer: Address<Steer>,
    clock: Clock,
    member: Member,
) {
    loop {
        let asked_at = clock.moment();
        match confirm(&mut store, &member).await {
            Ok(roster) => {
                if steer.send(Feed(Input::Roster { asked_at, roster })).await.is_err() {
                    return;
                }
            }
            Err(error) => log::warn!("event=roster_not_confirmed error=\"{error}\""),
        }
        tokio::time::sleep(CONFIRM).await;
    }
}

async fn confirm<S: Store>(store: &mut S, member: &Member) -> Result<Roster, store::Error> {
    let object = store.get(ROSTER).await?;
    let version = object.as_ref().map_or(0, |object| object.version);
    let known = object.and_then(|object| serde_json::from_slice(&object.bytes).ok());
    let known: Roster = known.unwrap_or_default();
    if known.members.contains_key(&member.ident) {
        return Ok(known);
    }
    let next = known.with(member.clone());
    let bytes = serde_json::to_vec(&next).unwrap_or_default();
    let write = member.ident;
    store.put(Put { name: ROSTER.into(), expected: version, write, bytes }).await?;
    Ok(next)
}
