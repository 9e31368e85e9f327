//! Starts and stops the tasks of one entry, for the daemon and for test deployments.

use std::sync::Arc;
use std::time::Duration;

use chart::Chart;
use derive_more::{Display, Error, From};
use peer::{Keys, Material};
use policy::balance::Least;
use policy::engine::Input;
use policy::lifecycle::{Action, Event, State};
use policy::roster::{self, Member};
use policy::{Charts, Engine, charts};
use store::Http;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;
use xtra::{Address, Mailbox};

use crate::admin::{self, Admin, Metrics};
use crate::clock::{Clock, unix_ms};
use crate::config::Manager;
use crate::dispatch::{
    self, Apply, Connect, Dispatcher, Handle as DispatchHandle, Inspect, Tasks, Tick,
};
use crate::front::{self, Front};
use crate::peers::{self, Peers, Rotate};
use crate::settings::{self, Listen, Settings, Source};
use crate::sync::Synchronizer;

/// Time between ticks of the dispatcher.
const TICK: Duration = Duration::from_millis(20);

/// Share of the stop time-out after which the last calls end with an answer of the entry, so that it is
/// out before connections are cut.
const ANSWER_SHARE: f64 = 0.95;

/// Why an entry cannot start.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// A state chart does not match the code that interprets it.
    #[display("{_0}")]
    Chart(charts::Fault),
    /// The key material cannot be used.
    #[display("{_0}")]
    Keys(peer::KeyError),
    /// A file with key material cannot be read.
    #[display("{}: {cause}", path.display())]
    #[from(skip)]
    KeyFile {
        /// Path of the file.
        path: std::path::PathBuf,
        /// The I/O error.
        #[error(source)]
        cause: std::io::Error,
    },
    /// The QUIC endpoint for peers cannot be opened.
    #[display("{_0}")]
    Peers(peer::LinkError),
    /// The address of a listening socket cannot be read.
    #[display("{_0}")]
    Address(std::io::Error),
    /// A listening socket cannot be opened.
    #[display("cannot listen on {address}: {cause}")]
    #[from(skip)]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The I/O error.
        #[error(source)]
        cause: std::io::Error,
    },
}

/// A running entry.
#[derive(Debug)]
pub struct Handle {
    /// Addresses that the entry listens on, with the actual port where the settings have port 0.
    pub listen: Listen,
    dispatcher: Address<Dispatcher>,
    peers: Address<Peers>,
    stop: watch::Sender<Option<Instant>>,
    front: JoinHandle<()>,
    /// Dropping the set aborts the tasks, so they end with the handle.
    _tasks: JoinSet<()>,
    settings: Settings,
    chart: Chart<State, Event, Action>,
}

/// Starts the tasks of an entry.
///
/// # Errors
///
/// Returns an error if a state chart is invalid, the key material cannot be used, or a listening
/// socket cannot be opened.
pub async fn start(settings: Settings) -> Result<Handle, Fault> {
    let charts = Charts::load()?;
    let chart = charts.daemon.clone();
    let keys = match &settings.keys {
        Some(keys) => read_keys(keys)?,
        // No other entry trusts a newly issued authority, so this entry runs without peers.
        None => Keys::read(&peer::issue(1)?[0])?,
    };
    let callers = listen(settings.listen.callers).await?;
    let operators = listen(settings.listen.operators).await?;
    let endpoint = peer::endpoint(settings.listen.peers, &keys)?;
    let listen = Listen {
        callers: callers.local_addr()?,
        operators: operators.local_addr()?,
        peers: endpoint.local_addr()?,
    };
    let clock = Clock::default();
    let own_ident = roster::ident(&settings.name, unix_ms());
    // The identity differs between entries and restarts, so it also seeds the random numbers.
    let mut engine = Engine::new(charts, own_ident, settings.domain.as_str(), own_ident, Least);
    engine.join(member(&settings, listen, own_ident));

    let mut tasks = JoinSet::new();
    let (dispatcher, mailbox) = Mailbox::unbounded();
    let (queue, messages) = mpsc::unbounded_channel();
    tasks.spawn(dispatch::run(Dispatcher::new(engine, clock), mailbox, messages));
    let (config_manager, mailbox) = Mailbox::unbounded();
    let store = || Http::new(settings.store.address, settings.store.timeout);
    tasks.spawn(xtra::run(mailbox, Manager::new(store(), dispatcher.clone())));
    let (synchronizer, mailbox) = Mailbox::unbounded();
    let state = Synchronizer::new(store(), clock, dispatcher.clone(), config_manager.clone());
    tasks.spawn(xtra::run(mailbox, state));
    let (peers, mailbox) = Mailbox::unbounded();
    let seeds = settings.peers.clone();
    let state = Peers::new(
        own_ident,
        listen.peers,
        endpoint.clone(),
        seeds,
        dispatcher.clone(),
        config_manager.clone(),
    );
    tasks.spawn(xtra::run(mailbox, state));
    tasks.spawn(peers::accept(endpoint, peers.clone()));
    let addresses = Tasks { peers: peers.clone(), synchronizer, own: dispatcher.clone() };
    // The dispatcher is already running, so sending cannot fail.
    let _ = dispatcher.send(Connect(addresses)).await;
    tasks.spawn(send_ticks(dispatcher.clone()));

    let admin = Admin {
        dispatcher: dispatcher.clone(),
        config_manager,
        peers: peers.clone(),
        operators: settings.operators.clone().into(),
        metrics: Metrics::new(&settings.name),
    };
    tasks.spawn(admin::accept(admin, operators));

    let (stop, stop_receiver) = watch::channel(None);
    let handle = DispatchHandle::new(queue, dispatcher.clone());
    let limits = Arc::new(settings.limits);
    let front = Front { dispatcher: handle, clock, limits, stop: stop_receiver };
    let front = tokio::spawn(front::accept(front, callers));
    log::info!("event=started name={} callers={}", settings.name, listen.callers);
    Ok(Handle { listen, dispatcher, peers, stop, front, _tasks: tasks, settings, chart })
}

fn member(settings: &Settings, listen: Listen, ident: u64) -> Member {
    Member {
        ident,
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        peer: listen.peers,
        caller: listen.callers,
    }
}

fn read_keys(keys: &settings::Keys) -> Result<Keys, Fault> {
    let material = Material {
        authority: read_source(&keys.authority)?,
        certificate: read_source(&keys.certificate)?,
        key: read_source(&keys.key)?,
    };
    Ok(Keys::read(&material)?)
}

fn read_source(source: &Source) -> Result<String, Fault> {
    match source {
        Source::Inline(text) => Ok(text.clone()),
        Source::File(path) => std::fs::read_to_string(path)
            .map_err(|cause| Fault::KeyFile { path: path.clone(), cause }),
    }
}

impl Handle {
    /// Reads the key material again and uses it for new connections to peers.
    ///
    /// # Errors
    ///
    /// Returns an error if the material cannot be used; the previous keys then stay in use.
    pub async fn rotate(&self) -> Result<(), Fault> {
        let Some(keys) = &self.settings.keys else { return Ok(()) };
        let keys = read_keys(keys)?;
        // The peers task ends only with the process, so a failure to send can be ignored.
        let _ = self.peers.send(Rotate(keys)).await;
        log::info!("event=keys_rotated");
        Ok(())
    }

    /// Stops the entry gracefully.
    ///
    /// Peers and resolve responses first stop advertising the entry. Once `resolve_ttl` has
    /// passed, callers no longer have cached responses that name it; it then accepts no new
    /// connections, refuses calls that may last longer than itself, waits for calls in progress, and
    /// ends its tasks. The last calls end with an answer shortly before `stop_timeout` has passed.
    /// Returns the number of calls that were aborted nevertheless.
    pub async fn stop(mut self) -> usize {
        let mut state = self.chart.initial();
        let mut event = Event::StopRequested;
        let mut aborted_calls = 0;
        while state != State::Stopped {
            let step = self.chart.step(state, event);
            let actions = step.actions.to_vec();
            state = step.next;
            for action in actions {
                aborted_calls += self.perform(action).await;
            }
            event = self.next_event(state).await;
        }
        log::info!("event=stopped cut={aborted_calls}");
        aborted_calls
    }

    /// Performs an action of the shutdown and returns the number of calls that it aborted.
    async fn perform(&mut self, action: Action) -> usize {
        match action {
            Action::AnnounceLeave => {
                let _ = self.dispatcher.send(Apply(Input::Leave)).await;
            }
            // The front end's task holds the receiver and may have ended already.
            Action::Close => {
                let answer_time = self.settings.limits.stop_timeout.mul_f64(ANSWER_SHARE);
                let _ = self.stop.send(Some(Instant::now() + answer_time));
            }
            Action::RefuseWaiting => {
                let _ = self.dispatcher.send(Apply(Input::Stop)).await;
            }
            Action::Cut => {
                self.front.abort();
                return self.dispatcher.send(Inspect).await.map_or(0, |state| state.engine.calls);
            }
        }
        0
    }

    /// Waits for the event that ends a state of the shutdown.
    async fn next_event(&mut self, state: State) -> Event {
        let limits = self.settings.limits;
        match state {
            State::Serving | State::Stopped => Event::StopRequested,
            State::Leaving => {
                tokio::time::sleep(limits.resolve_ttl).await;
                Event::AdviceExpired
            }
            State::Draining => {
                match tokio::time::timeout(limits.stop_timeout, &mut self.front).await {
                    Ok(_) => Event::Ended,
                    Err(_) => Event::TimedOut,
                }
            }
        }
    }
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, Fault> {
    TcpListener::bind(address).await.map_err(|cause| Fault::Listen { address, cause })
}

async fn send_ticks(dispatcher: Address<Dispatcher>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if let Err(xtra::Error::Disconnected) = dispatcher.send(Tick).await {
            return;
        }
    }
}
