//! Starts and stops the tasks of one node.
//!
//! The daemon calls [`start`] and, on a signal, [`Node::stop`].

use std::sync::Arc;

use chart::Chart;
use derive_more::{Display, Error, From};
use gateway::{Charts, Engine};
use metrics_exporter_prometheus::BuildError;
use model::registry::{Kind, Member};
use model::table::Limits;
use peer::Keys;
use policy::charts;
use policy::lifecycle::{Action, Event, State};
use store::Registry;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;
use xtra::Mailbox;

use crate::clock;
use crate::dialect::Dialect;
use crate::dispatch::{self, Dispatcher, Tasks};
use crate::endpoint::{self, Endpoint};
use crate::front;
use crate::memory::Memory;
use crate::message::{Handle, Message};
use crate::metrics::Metrics;
use crate::peers::{self, Peers};
use crate::reader::Reader;
use crate::settings::Settings;
use crate::shared::{Front, Phase};
use crate::writer::Writer;

/// Share of the stop time-out after which calls in progress are aborted, so that the process ends
/// in time.
const ABORT_SHARE: f64 = 0.92;
/// Share of the stop time-out after which calls in progress end with an answer of the node, so that it
/// is out before connections are cut.
const ANSWER_SHARE: f64 = 0.88;
/// Maximum share of the stop time-out for which the node still accepts connections; the rest is for the
/// calls in progress.
const MAX_LEAVING_SHARE: f64 = 0.5;
/// Kinds of fact that are read and watched.
const WATCHED_KINDS: [Kind; 4] = [Kind::Table, Kind::Upstreams, Kind::Rollouts, Kind::Withdrawals];

/// Reason why a node cannot start.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// A state chart is invalid.
    #[display("{_0}")]
    Chart(charts::Fault),
    /// A key for connections to peers cannot be created.
    #[display("{_0}")]
    Keys(peer::KeyError),
    /// The endpoint for peers cannot be opened.
    #[display("{_0}")]
    Peers(peer::LinkError),
    /// The metrics cannot be set up.
    #[display("{_0}")]
    Metrics(BuildError),
    /// The node cannot listen on an address.
    #[display("cannot listen on {address}: {cause}")]
    #[from(skip)]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        #[error(source)]
        cause: std::io::Error,
    },
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    dispatcher: Handle,
    phase: watch::Sender<Phase>,
    front: JoinHandle<()>,
    /// Aborts the node's other tasks when it is dropped.
    _tasks: JoinSet<()>,
    settings: Settings,
    chart: Chart<State, Event, Action>,
}

/// Starts the tasks of a node.
///
/// # Errors
///
/// Returns an error if a chart is invalid, a key or the metrics cannot be set up, or an address
/// cannot be listened on.
pub async fn start<R: Registry>(
    settings: Settings,
    store: R,
    dialect: Dialect,
) -> Result<Node, Fault> {
    let listen = settings.listen;
    let callers = bind(listen.callers).await?;
    let own_member = Member {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        peer: listen.peers,
        caller: listen.callers,
    };
    let (process, own_ident) = (rand::random(), own_member.ident());
    let engine =
        Engine::new(Charts::load()?, own_member.clone(), settings.terms, process, clock::now())
            .with_seeds(&settings.seeds)
            .with_incarnation(clock::unix_ms());
    let peer_endpoint = peer::endpoint(listen.peers, &Keys::anonymous()?)?;
    let mut tasks = JoinSet::new();

    let (peers, mailbox) = Mailbox::unbounded();
    let state = Peers::new(own_ident, listen.peers, peer_endpoint.clone());
    tasks.spawn(xtra::run(mailbox, state));
    let (handle, messages) = Handle::new();
    tasks.spawn(peers::accept(peer_endpoint, handle.clone()));
    let (writer, mailbox) = Mailbox::unbounded();
    tasks
        .spawn(xtra::run(mailbox, Writer::new(store.new_connection(), own_member, handle.clone())));

    let (watching, watched) = watch::channel(false);
    let (available, _) = watch::channel(true);
    for kind in WATCHED_KINDS {
        let reader = Reader::new(
            store.new_connection(),
            kind,
            handle.clone(),
            settings.terms.confirmation_interval(),
            watched.clone(),
            available.clone(),
        );
        tasks.spawn(reader.run());
    }

    let (limits, limits_receiver) = watch::channel(Limits::default());
    let dialect = Arc::new(dialect);
    let other_tasks = Tasks { peers, writer, watching, limits };
    let task = Dispatcher::new(engine, Arc::clone(&dialect), handle.clone(), other_tasks);
    tasks.spawn(task.run(messages));

    let (phase, phase_receiver) = watch::channel(Phase::Serving);
    let metrics = Metrics::new(&settings.name)?;
    let front = Front {
        dispatcher: handle.clone(),
        dialect,
        limits: limits_receiver,
        memory: Memory::new(settings.memory_bytes),
        metrics,
        phase: phase_receiver,
    };
    let endpoints = [
        (Endpoint::Ready, listen.ready),
        (Endpoint::Directory, listen.directory),
        (Endpoint::Operators, listen.operators),
        (Endpoint::Metrics, listen.metrics),
    ];
    for (endpoint, address) in endpoints {
        tasks.spawn(endpoint::serve(front.clone(), endpoint, bind(address).await?));
    }
    let front = tokio::spawn(front::accept(front, callers));
    log::info!("started node {} in failure domain {}", settings.name, settings.domain);
    let chart = policy::Charts::load()?.daemon;
    Ok(Node { dispatcher: handle, phase, front, _tasks: tasks, settings, chart })
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener, Fault> {
    TcpListener::bind(address).await.map_err(|cause| Fault::Listen { address, cause })
}

impl Node {
    /// Stops the node gracefully.
    ///
    /// First the node announces that it leaves, so that directories no longer advertise it, and its
    /// responses close their connections. Once earlier responses of directories have expired, it
    /// accepts no new connections, refuses calls that may last longer than the process, and waits
    /// for calls in progress. These end with an answer shortly before the stop time-out is over.
    /// Returns whether some were aborted nevertheless.
    pub async fn stop(mut self) -> bool {
        let stop_timeout = self.settings.stop_timeout;
        let abort_at = Instant::now() + stop_timeout.mul_f64(ABORT_SHARE);
        let answer_by = Instant::now() + stop_timeout.mul_f64(ANSWER_SHARE);
        let mut state = self.chart.initial();
        let mut event = Event::StopRequested;
        let mut calls_cut = false;
        while state != State::Stopped {
            let step = self.chart.step(state, event);
            state = step.next;
            for action in step.actions {
                calls_cut |= self.execute(*action, answer_by);
            }
            event = self.next_event(state, abort_at).await;
        }
        log::info!("stopped, cut={calls_cut}");
        calls_cut
    }

    fn execute(&self, action: Action, answer_by: Instant) -> bool {
        // The receivers belong to tasks that may have ended already.
        match action {
            Action::AnnounceLeave => {
                self.dispatcher.post(Message::Leave);
                let _ = self.phase.send(Phase::Leaving { answer_by });
            }
            Action::Close => {
                let _ = self.phase.send(Phase::Closing { answer_by });
            }
            // The engine of a node does not queue requests.
            Action::RefuseWaiting => {}
            Action::Cut => {
                self.front.abort();
                return true;
            }
        }
        false
    }

    /// Waits for the event that ends a state of the shutdown.
    async fn next_event(&mut self, state: State, abort_at: Instant) -> Event {
        match state {
            State::Serving | State::Stopped => Event::StopRequested,
            State::Leaving => {
                let advice_lifetime = dispatch::advice_lifetime(&self.settings.terms);
                let longest = self.settings.stop_timeout.mul_f64(MAX_LEAVING_SHARE);
                tokio::time::sleep(advice_lifetime.min(longest)).await;
                Event::AdviceExpired
            }
            State::Draining => match tokio::time::timeout_at(abort_at, &mut self.front).await {
                Ok(_) => Event::Ended,
                Err(_) => Event::TimedOut,
            },
        }
    }
}
