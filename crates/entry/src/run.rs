//! Starting and stopping the tasks of one entry.

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
use xtra::{Address, Mailbox};

use crate::admin::{self, Admin, Metrics};
use crate::clock::{Clock, unix_ms};
use crate::contact::Contact;
use crate::front::{self, Front};
use crate::keeper::Keeper;
use crate::peers::{self, Peers, Rotate};
use crate::settings::{self, Listen, Settings, Source};
use crate::steer::{self, Connect, Feed, Inspect, Steer, Tick, Way, Ways};

/// Time between ticks of the decisions.
const TICK: Duration = Duration::from_millis(20);
/// An entry that cannot start.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// A chart does not fit.
    #[display("{_0}")]
    Chart(charts::Fault),
    /// A key does not fit.
    #[display("{_0}")]
    Keys(peer::KeyError),
    /// A file with key material cannot be read.
    #[display("{}: {cause}", path.display())]
    #[from(skip)]
    KeyFile {
        /// The file.
        path: std::path::PathBuf,
        /// The system's account.
        #[error(source)]
        cause: std::io::Error,
    },
    /// The endpoint for peers cannot be opened.
    #[display("{_0}")]
    Peers(peer::LinkError),
    /// The system does not tell an address.
    #[display("{_0}")]
    Address(std::io::Error),
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
    /// Where it listens, with the ports that the system gave.
    pub listen: Listen,
    steer: Address<Steer>,
    peers: Address<Peers>,
    stop: watch::Sender<bool>,
    front: JoinHandle<()>,
    /// Ends with the handle, and its tasks with it.
    _tasks: JoinSet<()>,
    settings: Settings,
    chart: Chart<State, Event, Action>,
}

/// Starts the tasks of an entry.
///
/// # Errors
///
/// Returns an error if a chart or a key does not fit or an address cannot be listened on.
pub async fn start(settings: Settings) -> Result<Handle, Fault> {
    let charts = Charts::load()?;
    let chart = charts.daemon.clone();
    let keys = match &settings.keys {
        Some(keys) => read_keys(keys)?,
        // Nobody else trusts this material, so the entry is alone.
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
    let me = roster::ident(&settings.name, unix_ms());
    let mut engine = Engine::new(charts, me, settings.domain.as_str(), me, Least);
    engine.join(member(&settings, listen, me));

    let mut tasks = JoinSet::new();
    let (steer, mailbox) = Mailbox::unbounded();
    let (lane, messages) = mpsc::unbounded_channel();
    tasks.spawn(steer::run(Steer::new(engine, clock), mailbox, messages));
    let (keeper, mailbox) = Mailbox::unbounded();
    let store = || Http::new(settings.store.address, settings.store.timeout);
    tasks.spawn(xtra::run(mailbox, Keeper::new(store(), steer.clone())));
    let (contact, mailbox) = Mailbox::unbounded();
    let state = Contact::new(store(), clock, steer.clone(), keeper.clone());
    tasks.spawn(xtra::run(mailbox, state));
    let (peers, mailbox) = Mailbox::unbounded();
    let known = settings.peers.clone();
    let state =
        Peers::new(me, listen.peers, endpoint.clone(), known, steer.clone(), keeper.clone());
    tasks.spawn(xtra::run(mailbox, state));
    tasks.spawn(peers::accept(endpoint, peers.clone()));
    let ways = Ways { peers: peers.clone(), contact, own: steer.clone() };
    // The decisions' task runs by now, so this cannot fail.
    let _ = steer.send(Connect(ways)).await;
    tasks.spawn(tick(steer.clone()));

    let admin = Admin {
        steer: steer.clone(),
        keeper,
        peers: peers.clone(),
        operators: settings.operators.clone().into(),
        meter: Metrics::new(&settings.name),
    };
    tasks.spawn(admin::accept(admin, operators));

    let (stop, stopping) = watch::channel(false);
    let way = Way::new(lane, steer.clone());
    let front = Front { steer: way, clock, limits: Arc::new(settings.limits) };
    let front = tokio::spawn(front::accept(front, callers, stopping));
    log::info!("event=started name={} callers={}", settings.name, listen.callers);
    Ok(Handle { listen, steer, peers, stop, front, _tasks: tasks, settings, chart })
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
    /// Reads the key material again and uses it for new connections between entries.
    ///
    /// # Errors
    ///
    /// Returns an error if the material cannot be used; the old one stays in use then.
    pub async fn rotate(&self) -> Result<(), Fault> {
        let Some(keys) = &self.settings.keys else { return Ok(()) };
        let keys = read_keys(keys)?;
        // The task ends only with the process.
        let _ = self.peers.send(Rotate(keys)).await;
        log::info!("event=keys_rotated");
        Ok(())
    }

    /// Stops the entry gracefully.
    ///
    /// First peers and callers' answers leave it out; once the answers that callers keep are over
    /// it takes no new connections, lets calls in progress end, and ends its tasks. Returns the
    /// number of calls that were cut because the time for stopping was over.
    pub async fn stop(mut self) -> usize {
        let mut state = self.chart.initial();
        let mut event = Event::StopRequested;
        let mut cut = 0;
        while state != State::Stopped {
            let step = self.chart.step(state, event);
            let actions = step.actions.to_vec();
            state = step.next;
            for action in actions {
                cut += self.carry_out(action).await;
            }
            event = self.next_event(state).await;
        }
        log::info!("event=stopped cut={cut}");
        cut
    }

    /// Carries out one step of stopping and returns the number of calls that it cut.
    async fn carry_out(&mut self, action: Action) -> usize {
        match action {
            Action::AnnounceLeave => {
                let _ = self.steer.send(Feed(Input::Leave)).await;
            }
            // The receiver lives in the front's task, which may have ended already.
            Action::Close => {
                let _ = self.stop.send(true);
            }
            Action::RefuseWaiting => {
                let _ = self.steer.send(Feed(Input::Stop)).await;
            }
            Action::Cut => {
                self.front.abort();
                return self.steer.send(Inspect).await.map_or(0, |state| state.engine.calls);
            }
        }
        0
    }

    /// Waits for what ends a state.
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

async fn tick(steer: Address<Steer>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if let Err(xtra::Error::Disconnected) = steer.send(Tick).await {
            return;
        }
    }
}
