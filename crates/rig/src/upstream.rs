//! Simulated upstream with slots, cold start, draining, load shedding, delayed load reports and
//! faults.

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

use crate::serve::{ConnectionId, Payload, Reply, Server, serve};

/// Header that identifies a request, so that the upstream can count how often it runs.
pub const MARK: &str = "rig-mark";

/// Identifier that no attempt has.
const OTHER_ATTEMPT: HeaderValue = HeaderValue::from_static("0");

/// Path of health checks.
const HEALTH_PATH: &str = "/health";

/// Behavior of an upstream.
#[derive(Clone, Debug)]
pub struct Behavior {
    /// Name of the upstream, which its responses start with.
    pub name: String,
    /// Calls that run concurrently. Further calls wait in the order of arrival.
    pub slots: u32,
    /// Time that one call runs.
    pub service_time: Duration,
    /// Number of completed calls that end a cold start.
    pub cold_calls: u32,
    /// In-flight calls that the upstream can handle during a cold start. Calls that arrive above
    /// this limit fail.
    pub max_cold_calls: u32,
    /// Number of in-flight calls from which on further calls are refused as not run.
    pub shed_threshold: u32,
    /// Fault that affects every call.
    pub fault: Fault,
    /// Whether load reports say that the upstream is draining.
    pub draining: bool,
    /// Whether responses to calls carry a load report. Refusals and health checks always do.
    pub reports_load: bool,
    /// Time for which a load report is repeated, even if the load has changed meanwhile.
    pub report_lag: Duration,
}

/// Fault that affects a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// The response has status 500.
    Fails,
    /// The call runs, then the connection closes without a response.
    ClosesAfter,
    /// The connection closes without a response, and the call does not count as run under its mark.
    ClosesBefore,
    /// The call runs, but its response is never sent.
    Silent,
    /// The response carries the identifier of another attempt.
    WrongAttempt,
    /// The call runs, but the response is a refusal with the identifier of another attempt.
    WrongRefusal,
    /// The body of the response is shorter than its declared length.
    Truncated,
}

/// Counts of the calls that an upstream has received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Calls that ran.
    pub ran: u64,
    /// Calls that ran, by the value of the [`MARK`] header.
    pub marks: BTreeMap<String, u32>,
    /// Calls that were refused because of load shedding.
    pub refused: u64,
    /// Maximum number of in-flight calls while cold.
    pub cold_peak: u32,
    /// Maximum number of in-flight calls.
    pub peak: u32,
}

/// State of an upstream, owned by a task of its own.
#[derive(xtra::Actor)]
pub struct Worker {
    behavior: Behavior,
    running: u32,
    /// Calls waiting for a slot, in the order of arrival.
    waiting: VecDeque<oneshot::Sender<()>>,
    /// Calls completed since the last cold start.
    served: u32,
    /// Highest number of a connection that carried a call.
    last_connection: u64,
    /// Connections up to this number get no more responses.
    last_stalled: u64,
    /// Last new report and its time, for [`Behavior::report_lag`].
    last_report: Option<(Instant, Report)>,
    stats: Stats,
}

/// A running upstream, which stops when it is dropped.
#[derive(Debug)]
pub struct Upstream {
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    worker: Address<Worker>,
    _server: Server,
}

/// Requests a slot for a call.
struct Admit {
    mark: Option<String>,
    connection: u64,
}

/// Stops responses on all connections that are open now.
struct StallConnections;

/// Completes a call, which frees its slot.
struct Complete;

/// Changes the behavior.
struct Change<F>(F);

/// Requests the counts of calls.
struct GetStats;

/// Requests a load report for a health check.
struct GetReport;

/// Restarts the cold start.
struct ResetColdStart;

/// Result of requesting a slot.
enum Admission {
    Admitted { start: oneshot::Receiver<()>, behavior: Box<Behavior>, overloaded: bool },
    Refused(Report),
    Stalled,
}

impl Default for Behavior {
    fn default() -> Self {
        Self {
            name: "upstream".into(),
            slots: 4,
            service_time: Duration::from_millis(5),
            cold_calls: 0,
            max_cold_calls: 1,
            shed_threshold: u32::MAX,
            fault: Fault::None,
            draining: false,
            reports_load: true,
            report_lag: Duration::ZERO,
        }
    }
}

impl Upstream {
    /// Starts an upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be bound.
    pub async fn start(address: SocketAddr, behavior: Behavior) -> std::io::Result<Self> {
        let worker = Worker {
            behavior,
            running: 0,
            waiting: VecDeque::new(),
            served: 0,
            last_connection: 0,
            last_stalled: 0,
            last_report: None,
            stats: Stats::default(),
        };
        let worker = xtra::spawn_tokio(worker, Mailbox::unbounded());
        let actor = worker.clone();
        let server = serve(address, move |request| handle_request(actor.clone(), request)).await?;
        Ok(Self { address: server.address, worker, _server: server })
    }

    /// Changes the behavior for calls that are admitted from now on.
    pub async fn change(&self, change: impl FnOnce(&mut Behavior) + Send + 'static) {
        // The task runs as long as the upstream, so sending cannot fail.
        let _ = self.worker.send(Change(change)).await;
    }

    /// Restarts the cold start without announcing it.
    pub async fn reset_cold_start(&self) {
        let _ = self.worker.send(ResetColdStart).await;
    }

    /// Stops responses on all connections that are open now. New connections work.
    pub async fn stall_open_connections(&self) {
        let _ = self.worker.send(StallConnections).await;
    }

    /// Returns the counts of the calls received so far.
    pub async fn stats(&self) -> Stats {
        self.worker.send(GetStats).await.unwrap_or_default()
    }
}

impl Worker {
    fn in_flight(&self) -> u32 {
        self.running + u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    fn is_cold(&self) -> bool {
        self.served < self.behavior.cold_calls
    }

    fn report(&mut self) -> Report {
        let is_current = |(at, _): &(Instant, Report)| at.elapsed() < self.behavior.report_lag;
        if let Some((_, report)) = self.last_report.filter(is_current) {
            return report;
        }
        let report = Report {
            in_flight: self.in_flight(),
            cold: self.is_cold(),
            draining: self.behavior.draining,
        };
        self.last_report = Some((Instant::now(), report));
        report
    }
}

impl Handler<Admit> for Worker {
    type Return = Admission;

    async fn handle(&mut self, admit: Admit, _: &mut Context<Self>) -> Admission {
        self.last_connection = self.last_connection.max(admit.connection);
        if admit.connection <= self.last_stalled {
            return Admission::Stalled;
        }
        if self.in_flight() >= self.behavior.shed_threshold {
            self.stats.refused += 1;
            return Admission::Refused(self.report());
        }
        self.stats.ran += 1;
        if let Some(mark) = admit.mark
            && self.behavior.fault != Fault::ClosesBefore
        {
            *self.stats.marks.entry(mark).or_insert(0) += 1;
        }
        let (sender, start) = oneshot::channel();
        if self.running < self.behavior.slots {
            self.running += 1;
            let _ = sender.send(());
        } else {
            self.waiting.push_back(sender);
        }
        self.stats.peak = self.stats.peak.max(self.in_flight());
        let mut overloaded = false;
        if self.is_cold() {
            self.stats.cold_peak = self.stats.cold_peak.max(self.in_flight());
            overloaded = self.in_flight() > self.behavior.max_cold_calls;
        }
        Admission::Admitted { start, behavior: Box::new(self.behavior.clone()), overloaded }
    }
}

impl Handler<Complete> for Worker {
    type Return = Report;

    async fn handle(&mut self, _: Complete, _: &mut Context<Self>) -> Report {
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

impl<F: FnOnce(&mut Behavior) + Send + 'static> Handler<Change<F>> for Worker {
    type Return = ();

    async fn handle(&mut self, change: Change<F>, _: &mut Context<Self>) {
        (change.0)(&mut self.behavior);
    }
}

impl Handler<ResetColdStart> for Worker {
    type Return = ();

    async fn handle(&mut self, _: ResetColdStart, _: &mut Context<Self>) {
        self.served = 0;
    }
}

impl Handler<GetReport> for Worker {
    type Return = Report;

    async fn handle(&mut self, _: GetReport, _: &mut Context<Self>) -> Report {
        self.report()
    }
}

impl Handler<StallConnections> for Worker {
    type Return = ();

    async fn handle(&mut self, _: StallConnections, _: &mut Context<Self>) {
        self.last_stalled = self.last_connection;
    }
}

impl Handler<GetStats> for Worker {
    type Return = Stats;

    async fn handle(&mut self, _: GetStats, _: &mut Context<Self>) -> Stats {
        self.stats.clone()
    }
}

async fn handle_request(worker: Address<Worker>, request: Request<Incoming>) -> Reply {
    if request.uri().path() == HEALTH_PATH {
        return health(&worker).await;
    }
    let mark = request.headers().get(MARK).and_then(|mark| mark.to_str().ok()).map(str::to_owned);
    let attempt = request.headers().get(header::ATTEMPT).cloned();
    let (head, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let connection = head.extensions.get::<ConnectionId>().map_or(0, |id| id.0);
    let admission = worker.send(Admit { mark, connection }).await.ok()?;
    let (start, behavior, overloaded) = match admission {
        Admission::Refused(report) => return refuse(report),
        Admission::Stalled => return std::future::pending().await,
        Admission::Admitted { start, behavior, overloaded } => (start, behavior, overloaded),
    };
    // A separate task holds the slot, so that it is freed even if the caller disconnects meanwhile.
    let service = behavior.service_time;
    let work = tokio::spawn(async move {
        start.await.ok()?;
        // Even a sleep of zero length would take a millisecond.
        if !service.is_zero() {
            tokio::time::sleep(service).await;
        }
        worker.send(Complete).await.ok()
    });
    let report = work.await.ok()??;
    match behavior.fault {
        Fault::ClosesAfter | Fault::ClosesBefore => return None,
        Fault::Silent => std::future::pending::<()>().await,
        Fault::WrongRefusal => return refuse_other(report),
        Fault::None | Fault::Fails | Fault::WrongAttempt | Fault::Truncated => {}
    }
    let failed = overloaded || behavior.fault == Fault::Fails;
    let text = format!("{} {} {} {}", behavior.name, head.method, head.uri.path(), body.len());
    let missing = if behavior.fault == Fault::Truncated { 10 } else { 0 };
    let mut response = Response::new(Payload::truncated(text, missing));
    if failed {
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    let headers = response.headers_mut();
    if behavior.reports_load {
        headers.insert(header::LOAD, header::format_report(report));
    }
    if let Some(attempt) = attempt {
        let wrong_attempt = behavior.fault == Fault::WrongAttempt;
        let echo = if wrong_attempt { OTHER_ATTEMPT } else { attempt };
        headers.insert(header::ATTEMPT, echo);
    }
    Some(response)
}

async fn health(worker: &Address<Worker>) -> Reply {
    let report = worker.send(GetReport).await.ok()?;
    let mut response = Response::new(Payload::default());
    response.headers_mut().insert(header::LOAD, header::format_report(report));
    Some(response)
}

fn refuse(report: Report) -> Reply {
    let mut response = Response::new(Payload::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = response.headers_mut();
    headers.insert(header::NOT_RUN, HeaderValue::from_static("1"));
    headers.insert(header::LOAD, header::format_report(report));
    Some(response)
}

/// Returns a refusal that belongs to another attempt.
fn refuse_other(report: Report) -> Reply {
    let mut response = refuse(report)?;
    response.headers_mut().insert(header::ATTEMPT, OTHER_ATTEMPT);
    Some(response)
}
