//! Load generator that measures latencies of calls, either direct or through an entry.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use derive_more::{Display, Error, From};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpStream;

/// Upper bound of the latency histogram, in microseconds. Longer latencies count as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Length of a clock tick, the unit of processor time in `/proc`, in microseconds.
const TICK_US: f64 = 10_000.0;

/// Latencies and processor time of the calls on one path.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Number of calls.
    pub calls: u64,
    /// Calls per second that were achieved.
    pub rate: f64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the latency in microseconds.
    pub p999_us: u64,
    /// Processor time of the whole process per call, in microseconds.
    pub cpu_us: f64,
}

/// Failure of a measurement.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The connection could not be opened.
    #[display("{_0}")]
    Connect(std::io::Error),
    /// The exchange of request and response failed.
    #[display("{_0}")]
    Exchange(hyper::Error),
    /// The request could not be built.
    #[display("{_0}")]
    Request(hyper::http::Error),
    /// The response has another status than success.
    #[display("call failed with status {_0}")]
    Status(#[error(not(source))] u16),
    /// The task of a caller panicked or was cancelled.
    #[display("{_0}")]
    Task(tokio::task::JoinError),
    /// The histogram could not be created.
    #[display("{_0}")]
    Histogram(hdrhistogram::CreationError),
}

/// A caller with one persistent connection.
struct Caller {
    sender: SendRequest<Empty<Bytes>>,
}

impl Caller {
    async fn open(address: SocketAddr) -> Result<Self, Fault> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    async fn call(&mut self) -> Result<Duration, Fault> {
        let request = Request::get("/permits/7").header(HOST, "seal").body(Empty::new())?;
        let start = Instant::now();
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let status = response.status();
        response.into_body().collect().await?;
        if !status.is_success() {
            return Err(Fault::Status(status.as_u16()));
        }
        Ok(start.elapsed())
    }
}

/// Calls the addresses from `callers` connections for `duration`, at `rate` calls per second in
/// total. The connections are spread over the addresses.
///
/// # Errors
///
/// Returns the failure of the first caller that failed.
pub async fn measure(
    addresses: &[SocketAddr],
    callers: usize,
    rate: f64,
    duration: Duration,
) -> Result<Summary, Fault> {
    let period = Duration::from_secs_f64(callers as f64 / rate);
    let (start, ticks_before) = (Instant::now(), processor_ticks());
    let tasks: Vec<_> = (0..callers)
        .map(|number| {
            let address = addresses[number % addresses.len()];
            let offset = period.mul_f64(number as f64 / callers as f64);
            tokio::spawn(run_caller(address, offset, period, duration))
        })
        .collect();
    let mut merged = histogram()?;
    for task in tasks {
        // Both histograms have the same bounds, so this cannot fail.
        let _ = merged.add(task.await??);
    }
    Ok(Summary {
        calls: merged.len(),
        rate: merged.len() as f64 / start.elapsed().as_secs_f64(),
        p50_us: merged.value_at_quantile(0.5),
        p99_us: merged.value_at_quantile(0.99),
        p999_us: merged.value_at_quantile(0.999),
        cpu_us: (processor_ticks() - ticks_before) as f64 * TICK_US / merged.len().max(1) as f64,
    })
}

/// Returns the user and system time that this process has used, in clock ticks.
fn processor_ticks() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    fields.split(' ').skip(12).take(2).filter_map(|text| text.parse::<u64>().ok()).sum()
}

/// Calls an address once in each `period` after `offset`, and returns the latencies.
async fn run_caller(
    address: SocketAddr,
    offset: Duration,
    period: Duration,
    duration: Duration,
) -> Result<Histogram<u64>, Fault> {
    let mut histogram = histogram()?;
    let mut caller = Caller::open(address).await?;
    tokio::time::sleep(offset).await;
    let start = Instant::now();
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while start.elapsed() < duration {
        interval.tick().await;
        let latency = caller.call().await?;
        histogram.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
    }
    Ok(histogram)
}

fn histogram() -> Result<Histogram<u64>, Fault> {
    Ok(Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?)
}
