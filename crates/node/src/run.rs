//! Starting and stopping the tasks of one node.

use std::sync::Arc;
use std::time::Duration;

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
use crate::contact::{self, Contact};
use crate::dialect::Dialect;
use crate::front::{self, Front, Phase};
use crate::meter::Meter;
use crate::pages::{self, Book};
use crate::peers::{self, Peers};
use crate::reader::Reader;
use crate::settings::Settings;
use crate::steer::{self, Message, Steer, Way, Ways};

/// Part of the time for stopping after which what is in progress is cut.
const STOP_PART: f64 = 0.92;
/// Kinds of fact that are watched.
const WATCHED: [Kind; 4] = [Kind::Table, Kind::Upstreams, Kind::Rollouts, Kind::Withdrawals];

/// A node that cannot start.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// A chart does not fit.
    #[display("{_0}")]
    Chart(charts::Fault),
    /// A key cannot be made.
    #[display("{_0}")]
    Keys(peer::KeyError),
    /// The endpoint for peers cannot be opened.
    #[display("{_0}")]
    Peers(peer::LinkError),
    /// The metrics cannot be set up.
    #[display("{_0}")]
    Metrics(BuildError),
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

/// A running node.
#[derive(Debug)]
pub struct Node {
    steer: Way,
    phase: watch::Sender<Phase>,
    front: JoinHandle<()>,
    /// Ends with the handle, and its tasks with it.
    _tasks: JoinSet<()>,
    settings: Settings,
    chart: Chart<State, Event, Action>,
}

/// Starts the tasks of a node.
///
/// # Errors
///
/// Returns an error if a chart does not fit or an address cannot be listened on.
pub async fn start<R: Registry>(
    settings: Settings,
    store: R,
    dialect: Dialect,
) -> Result<Node, Fault> {
    let listen = settings.listen;
    let callers = bind(listen.callers).await?;
    let own = Member {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        peer: listen.peers,
        caller: listen.callers,
    };
    let (process, me) = (rand::random(), own.ident());
    let engine = Engine::new(Charts::load()?, own.clone(), settings.terms, process, clock::now());
    let endpoint = peer::endpoint(listen.peers, &Keys::anonymous()?)?;
    let mut tasks = JoinSet::new();

    let (peers, mailbox) = Mailbox::unbounded();
    let state = Peers::new(me, listen.peers, endpoint.clone(), settings.seeds.clone());
    tasks.spawn(xtra::run(mailbox, state));
    let (way, messages) = Way::new();
    tasks.spawn(peers::accept(endpoint, way.clone()));
    let (contact, mailbox) = Mailbox::unbounded();
    tasks.spawn(xtra::run(mailbox, Contact::new(store.new_connection(), way.clone())));

    let (watching, watched) = watch::channel(false);
    let (present, _) = watch::channel(true);
    for kind in WATCHED {
        let reader = Reader::new(
            store.new_connection(),
            kind,
            way.clone(),
            watched.clone(),
            present.clone(),
        );
        tasks.spawn(reader.run());
    }
    tasks.spawn(contact::enter(store, own, way.clone()));

    let (limits, bounds) = watch::channel(Limits::default());
    let dialect = Arc::new(dialect);
    let ways = Ways { peers, contact, watching, limits };
    let task = Steer::new(engine, Arc::clone(&dialect), way.clone(), ways);
    tasks.spawn(task.run(messages));

    let (phase, phases) = watch::channel(Phase::Serving);
    let meter = Meter::new(&settings.name)?;
    let front = Front { steer: way.clone(), dialect, limits: bounds, meter, phase: phases };
    let books = [
        (Book::Ready, listen.ready),
        (Book::Directory, listen.directory),
        (Book::Operators, listen.operators),
        (Book::Metrics, listen.metrics),
    ];
    for (book, address) in books {
        tasks.spawn(pages::serve(front.clone(), book, bind(address).await?));
    }
    let front = tokio::spawn(front::accept(front, callers));
    log::info!("started {} in {}", settings.name, settings.domain);
    let chart = policy::Charts::load()?.daemon;
    Ok(Node { steer: way, phase, front, _tasks: tasks, settings, chart })
}

async fn bind(address: std::net::SocketAddr) -> Result<TcpListener, Fault> {
    TcpListener::bind(address).await.map_err(|cause| Fault::Listen { address, cause })
}

impl Node {
    /// Stops the node gracefully.
    ///
    /// First nothing names it any more and its answers end their connections; once callers have
    /// forgotten it, it takes no new connections and lets calls in progress end. Returns whether
    /// some were cut as the time was over.
    pub async fn stop(mut self) -> bool {
        let until = Instant::now() + self.settings.stop_timeout.mul_f64(STOP_PART);
        let mut state = self.chart.initial();
        let mut event = Event::StopRequested;
        let mut cut = false;
        while state != State::Stopped {
            let step = self.chart.step(state, event);
            state = step.next;
            for action in step.actions {
                cut |= self.carry_out(*action);
            }
            event = self.next_event(state, until).await;
        }
        log::info!("stopped, cut={cut}");
        cut
    }

    fn carry_out(&self, action: Action) -> bool {
        // The receivers live in tasks that may have ended already.
        match action {
            Action::AnnounceLeave => {
                self.steer.post(Message::Leave);
                let _ = self.phase.send(Phase::Leaving);
            }
            Action::Close => {
                let _ = self.phase.send(Phase::Closing);
            }
            Action::RefuseWaiting => {}
            Action::Cut => {
                self.front.abort();
                return true;
            }
        }
        false
    }

    /// Waits for what ends a state.
    async fn next_event(&mut self, state: State, until: Instant) -> Event {
        match state {
            State::Serving | State::Stopped => Event::StopRequested,
            State::Leaving => {
                let forgotten = steer::forgotten_after(&self.settings.terms);
                tokio::time::sleep(forgotten.min(Duration::from_secs(60))).await;
                Event::AdviceExpired
            }
            State::Draining => match tokio::time::timeout_at(until, &mut self.front).await {
                Ok(_) => Event::Ended,
                Err(_) => Event::TimedOut,
            },
        }
    }
}
