//! A stand-in for an upstream: slots, cold start, drain, shedding and reports that lag.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use entry::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use policy::balance::Report;
use tokio::sync::oneshot;
use xtra::prelude::*;

use crate::serve::{Page, Reply, Serial, Server, serve};

/// Header that a caller sets to count executions of one request.
pub const MARK: &str = "rig-mark";

/// Path of questions for health.
const HEALTH: &str = "/health";

/// How an upstream behaves.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Name, which answers carry.
    pub name: String,
    /// Calls that run at a time; others wait in order.
    pub slots: u32,
    /// Time of one call.
    pub service: Duration,
    /// Calls after which a cold start is over.
    pub cold_calls: u32,
    /// Calls in progress that a cold start bears; one more and every call fails.
    pub cold_bound: u32,
    /// Calls in progress above which calls are refused as not run.
    pub shed_above: u32,
    /// What every call meets.
    pub fault: Fault,
    /// Whether answers say that the upstream leaves.
    pub draining: bool,
    /// Whether answers carry the load.
    pub reports: bool,
    /// Time for which the same report is told, whatever happens meanwhile.
    pub lag: Duration,
}

/// What a call meets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// An answer with status 500.
    Fails,
    /// The call runs, and the connection closes without an answer.
    BreaksAfter,
    /// The connection closes before the call runs.
    BreaksBefore,
    /// The call runs, and its answer never comes.
    Silent,
    /// The answer carries another attempt's mark.
    Crossed,
    /// The answer has fewer bytes than it says.
    Short,
}

/// What an upstream has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Calls that ran.
    pub ran: u64,
    /// Calls that ran, by mark.
    pub marks: BTreeMap<String, u32>,
    /// Calls that were refused as not run.
    pub refused: u64,
    /// Most calls in progress at a time while cold.
    pub cold_peak: u32,
    /// Most calls in progress at a time.
    pub peak: u32,
}

/// The state of an upstream, owned by one task.
#[derive(xtra::Actor)]
pub struct Worker {
    behaviour: Behaviour,
    running: u32,
    waiting: VecDeque<oneshot::Sender<()>>,
    served: u32,
    newest: u64,
    muted: u64,
    told: Option<(Instant, Report)>,
    seen: Seen,
}

/// A running upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Where it listens.
    pub address: SocketAddr,
    worker: Address<Worker>,
    _server: Server,
}

/// A call wants a slot.
struct Enter {
    mark: Option<String>,
    connection: u64,
}

/// Makes the connections that are open now silent for good.
struct Mute;

/// A call has ended.
struct Leave;

/// Changes the behaviour.
struct Change<F>(F);

/// Asks what the upstream has seen.
struct Look;

/// Asks for the report, apart from any call.
struct Ask;

/// Makes the upstream cold again.
struct Chill;

/// What a call gets.
enum Turn {
    Runs { start: oneshot::Receiver<()>, behaviour: Box<Behaviour>, overloaded: bool },
    Refused(Report),
    Muted,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            name: "upstream".into(),
            slots: 4,
            service: Duration::from_millis(5),
            cold_calls: 0,
            cold_bound: 1,
            shed_above: u32::MAX,
            fault: Fault::None,
            draining: false,
            reports: true,
            lag: Duration::ZERO,
        }
    }
}

impl Upstream {
    /// Starts an upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on.
    pub async fn start(address: SocketAddr, behaviour: Behaviour) -> std::io::Result<Self> {
        let worker = Worker {
            behaviour,
            running: 0,
            waiting: VecDeque::new(),
            served: 0,
            newest: 0,
            muted: 0,
            told: None,
            seen: Seen::default(),
        };
        let worker = xtra::spawn_tokio(worker, Mailbox::unbounded());
        let actor = worker.clone();
        let server = serve(address, move |request| answer(actor.clone(), request)).await?;
        Ok(Self { address: server.address, worker, _server: server })
    }

    /// Changes the behaviour.
    pub async fn change(&self, change: impl FnOnce(&mut Behaviour) + Send + 'static) {
        // The task ends only with the upstream.
        let _ = self.worker.send(Change(change)).await;
    }

    /// Makes the upstream cold again without warning.
    pub async fn chill(&self) {
        let _ = self.worker.send(Chill).await;
    }

    /// Makes the connections that are open now silent for good; new ones work.
    pub async fn mute_open(&self) {
        let _ = self.worker.send(Mute).await;
    }

    /// Returns what the upstream has seen.
    pub async fn seen(&self) -> Seen {
        self.worker.send(Look).await.unwrap_or_default()
    }
}

impl Worker {
    fn in_flight(&self) -> u32 {
        self.running + u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    fn is_cold(&self) -> bool {
        self.served < self.behaviour.cold_calls
    }

    fn report(&mut self) -> Report {
        let fresh = |(at, _): &(Instant, Report)| at.elapsed() < self.behaviour.lag;
        if let Some((_, report)) = self.told.filter(fresh) {
            return report;
        }
        let report = Report {
            in_flight: self.in_flight(),
            cold: self.is_cold(),
            draining: self.behaviour.draining,
        };
        self.told = Some((Instant::now(), report));
        report
    }
}

impl Handler<Enter> for Worker {
    type Return = Turn;

    async fn handle(&mut self, enter: Enter, _: &mut Context<Self>) -> Turn {
        self.newest = self.newest.max(enter.connection);
        if enter.connection <= self.muted {
            return Turn::Muted;
        }
        if self.in_flight() >= self.behaviour.shed_above {
            self.seen.refused += 1;
            return Turn::Refused(self.report());
        }
        self.seen.ran += 1;
        if let Some(mark) = enter.mark
            && self.behaviour.fault != Fault::BreaksBefore
        {
            *self.seen.marks.entry(mark).or_insert(0) += 1;
        }
        let (sender, start) = oneshot::channel();
        if self.running < self.behaviour.slots {
            self.running += 1;
            let _ = sender.send(());
        } else {
            self.waiting.push_back(sender);
        }
        self.seen.peak = self.seen.peak.max(self.in_flight());
        let mut overloaded = false;
        if self.is_cold() {
            self.seen.cold_peak = self.seen.cold_peak.max(self.in_flight());
            overloaded = self.in_flight() > self.behaviour.cold_bound;
        }
        Turn::Runs { start, behaviour: Box::new(self.behaviour.clone()), overloaded }
    }
}

impl Handler<Leave> for Worker {
    type Return = Report;

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) -> Report {
        self.served = self.served.saturating_add(1);
        self.running -= 1;
        while let Some(next) = self.waiting.pop_front() {
            if next.send(()).is_ok() {
                self.running += 1;
                break;
            }
        }
        self.report()
    }
}

impl<F: FnOnce(&mut Behaviour) + Send + 'static> Handler<Change<F>> for Worker {
    type Return = ();

    async fn handle(&mut self, change: Change<F>, _: &mut Context<Self>) {
        (change.0)(&mut self.behaviour);
    }
}

impl Handler<Chill> for Worker {
    type Return = ();

    async fn handle(&mut self, _: Chill, _: &mut Context<Self>) {
        self.served = 0;
    }
}

impl Handler<Ask> for Worker {
    type Return = Report;

    async fn handle(&mut self, _: Ask, _: &mut Context<Self>) -> Report {
        self.report()
    }
}

impl Handler<Mute> for Worker {
    type Return = ();

    async fn handle(&mut self, _: Mute, _: &mut Context<Self>) {
        self.muted = self.newest;
    }
}

impl Handler<Look> for Worker {
    type Return = Seen;

    async fn handle(&mut self, _: Look, _: &mut Context<Self>) -> Seen {
        self.seen.clone()
    }
}

async fn answer(worker: Address<Worker>, request: Request<Incoming>) -> Reply {
    if request.uri().path() == HEALTH {
        return health(&worker).await;
    }
    let mark = request.headers().get(MARK).and_then(|mark| mark.to_str().ok()).map(str::to_owned);
    let attempt = request.headers().get(header::ATTEMPT).cloned();
    let (head, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let connection = head.extensions.get::<Serial>().map_or(0, |serial| serial.0);
    let turn = worker.send(Enter { mark, connection }).await.ok()?;
    let (start, behaviour, overloaded) = match turn {
        Turn::Refused(report) => return refusal(report),
        Turn::Muted => return std::future::pending().await,
        Turn::Runs { start, behaviour, overloaded } => (start, behaviour, overloaded),
    };
    // The slot is given back by the task that holds it, also when the caller leaves meanwhile.
    let service = behaviour.service;
    let work = tokio::spawn(async move {
        start.await.ok()?;
        // A timer of no time would still take a millisecond.
        if !service.is_zero() {
            tokio::time::sleep(service).await;
        }
        worker.send(Leave).await.ok()
    });
    let report = work.await.ok()??;
    match behaviour.fault {
        Fault::BreaksAfter | Fault::BreaksBefore => return None,
        Fault::Silent => std::future::pending::<()>().await,
        Fault::None | Fault::Fails | Fault::Crossed | Fault::Short => {}
    }
    let failed = overloaded || behaviour.fault == Fault::Fails;
    let text = format!("{} {} {} {}", behaviour.name, head.method, head.uri.path(), body.len());
    let missing = if behaviour.fault == Fault::Short { 10 } else { 0 };
    let mut response = Response::new(Page::short(text, missing));
    if failed {
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    let headers = response.headers_mut();
    if behaviour.reports {
        headers.insert(header::LOAD, header::format_report(report));
    }
    if let Some(attempt) = attempt {
        let crossed = behaviour.fault == Fault::Crossed;
        let echo = if crossed { HeaderValue::from_static("0") } else { attempt };
        headers.insert(header::ATTEMPT, echo);
    }
    Some(response)
}

async fn health(worker: &Address<Worker>) -> Reply {
    let report = worker.send(Ask).await.ok()?;
    let mut response = Response::new(Page::default());
    response.headers_mut().insert(header::LOAD, header::format_report(report));
    Some(response)
}

fn refusal(report: Report) -> Reply {
    let mut response = Response::new(Page::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = response.headers_mut();
    headers.insert(header::NOT_RUN, HeaderValue::from_static("1"));
    headers.insert(header::LOAD, header::format_report(report));
    Some(response)
}
