//! Logs as JSON lines on standard output.
//!
//! The rate of lines and the queue are bounded, and no task waits for a line to be written.

use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use base::prelude::*;
use derive_more::{Display, Error, From};
use log::{Level, LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root, runtime::ConfigErrors};
use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use tokio::sync::mpsc;

use crate::clock;

/// Name of the only appender.
const APPENDER: &str = "lines";
/// Maximum number of messages in the queue; more are dropped and counted.
const MAX_QUEUED: usize = 1_024;
/// Capacity of the token bucket, in seconds of the permitted rate.
const BURST_SECONDS: f64 = 2.0;
/// Share of the bucket's capacity that is reserved for warnings and errors.
const URGENT_SHARE: f64 = 0.25;
/// Pause while standard output accepts no data.
const BLOCKED_PAUSE: Duration = Duration::from_millis(20);
/// Number of blocked writes after which the rest of a batch of lines is dropped.
const MAX_BLOCKED_WRITES: u32 = 100;

/// Reason why logging cannot be set up.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The logging library rejects its configuration.
    #[display("logging cannot be configured: {_0}")]
    Config(ConfigErrors),
    /// Logging has been set up before.
    #[display("logging is already set up: {_0}")]
    Logger(log::SetLoggerError),
    /// Standard output cannot be made non-blocking.
    #[display("standard output cannot be made non-blocking: {_0}")]
    Output(rustix::io::Errno),
}

/// A token bucket that limits the rate of lines and counts the suppressed ones.
#[derive(Debug)]
pub struct Limiter {
    rate: f64,
    tokens: f64,
    refilled_at: Moment,
    suppressed: u64,
}

impl Limiter {
    /// Creates a limiter for `rate` lines a second with a full bucket.
    #[must_use]
    pub fn new(rate: f64, now: Moment) -> Self {
        Self { rate, tokens: rate * BURST_SECONDS, refilled_at: now, suppressed: 0 }
    }

    /// Returns the number of lines suppressed since the last admitted one, or `None` if this line
    /// must not be written.
    pub fn admit(&mut self, now: Moment, urgent: bool) -> Option<u64> {
        let elapsed = now.since(self.refilled_at).as_seconds();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate * BURST_SECONDS);
        // The last tokens are reserved for urgent lines.
        let reserve = if urgent { 0.0 } else { self.rate * BURST_SECONDS * URGENT_SHARE };
        let required = 1.0 + reserve;
        if self.tokens < required {
            self.suppressed += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// A message for the writer.
#[derive(Debug)]
struct Entry {
    unix_ms: u64,
    level: Level,
    /// A JSON object or plain text.
    message: String,
}

/// Sends messages to the writer.
#[derive(Debug)]
struct Queue {
    entries: mpsc::Sender<Entry>,
    /// Number of messages dropped because the queue was full.
    dropped: Arc<AtomicU64>,
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let message = record.args().to_string();
        let entry = Entry { unix_ms: clock::unix_ms(), level: record.level(), message };
        if self.entries.try_send(entry).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// The task that writes lines: it owns the limiter and standard output.
#[derive(Debug)]
struct Writer {
    entries: mpsc::Receiver<Entry>,
    dropped: Arc<AtomicU64>,
    limiter: Limiter,
}

impl Writer {
    async fn run(mut self) {
        let mut text = String::new();
        while let Some(entry) = self.entries.recv().await {
            self.push(&entry, &mut text);
            while let Ok(entry) = self.entries.try_recv() {
                self.push(&entry, &mut text);
            }
            write_all(text.as_bytes()).await;
            text.clear();
        }
    }

    /// Appends an entry to `text` as a line if the limiter admits it.
    fn push(&mut self, entry: &Entry, text: &mut String) {
        let urgent = entry.level <= Level::Warn;
        if let Some(suppressed) = self.limiter.admit(clock::now(), urgent) {
            let suppressed = suppressed + self.dropped.swap(0, Ordering::Relaxed);
            push_line(entry, suppressed, text);
        }
    }
}

fn push_line(entry: &Entry, suppressed: u64, text: &mut String) {
    let Entry { unix_ms, level, message } = entry;
    // Writing to a string does not fail.
    let _ = write!(text, "{{\"ms\":{unix_ms},\"level\":\"{level}\",");
    if suppressed > 0 {
        let _ = write!(text, "\"suppressed\":{suppressed},");
    }
    match message.strip_prefix('{') {
        Some(fields) => text.push_str(fields),
        None => {
            let quoted = serde_json::to_string(message).unwrap_or_default();
            let _ = write!(text, "\"message\":{quoted}}}");
        }
    }
    text.push('\n');
}

/// Logs a value as one JSON line.
pub fn emit(level: Level, value: &impl serde::Serialize) {
    if log::log_enabled!(level) {
        match serde_json::to_string(value) {
            Ok(text) => log::log!(level, "{text}"),
            Err(error) => log::error!("log line cannot be encoded as JSON: {error}"),
        }
    }
}

/// Starts logging at the given level with at most `rate` lines a second.
///
/// Has to be called within an async runtime, as it spawns the task that writes the lines.
///
/// # Errors
///
/// Returns an error if logging was set up before or standard output cannot be made non-blocking.
pub fn start(level: LevelFilter, rate: u64) -> Result<(), Fault> {
    let output = rustix::stdio::stdout();
    let flags = fcntl_getfl(output)?;
    fcntl_setfl(output, flags | OFlags::NONBLOCK)?;
    let (entries, receiver) = mpsc::channel(MAX_QUEUED);
    let dropped = Arc::new(AtomicU64::new(0));
    let queue = Queue { entries, dropped: Arc::clone(&dropped) };
    let appender = Appender::builder().build(APPENDER, Box::new(queue));
    let root = Root::builder().appender(APPENDER).build(level);
    let config = Config::builder().appender(appender).build(root)?;
    log4rs::init_config(config)?;
    let limiter = Limiter::new(rate as f64, clock::now());
    tokio::spawn(Writer { entries: receiver, dropped, limiter }.run());
    Ok(())
}

/// Writes bytes to standard output and drops the rest if it stays blocked.
async fn write_all(mut bytes: &[u8]) {
    let mut blocked = 0;
    while !bytes.is_empty() && blocked < MAX_BLOCKED_WRITES {
        match rustix::io::write(rustix::stdio::stdout(), bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(rustix::io::Errno::AGAIN) => {
                blocked += 1;
                tokio::time::sleep(BLOCKED_PAUSE).await;
            }
            Err(rustix::io::Errno::INTR) => {}
            // Standard output has been closed, and there is nowhere else to report the error.
            Err(_) => return,
        }
    }
}
