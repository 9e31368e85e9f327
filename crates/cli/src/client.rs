//! The client of an entry's interface for operators.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use derive_more::{Display, Error, From};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, HOST};
use hyper::{Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::Value;

/// Maximum time until the entry responds to a request.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time until an accepted change is in force at all entries.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between checks whether a change is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A client of one entry.
#[derive(Debug)]
pub struct Client {
    /// Address on which the entry listens for operators.
    pub entry: SocketAddr,
    /// Token that identifies the operator.
    pub token: String,
}

/// An answer from an entry.
#[derive(Debug, Deserialize, serde::Serialize)]
#[serde(untagged)]
pub enum Answer {
    /// A command was accepted.
    Accepted {
        /// Number of the configuration that resulted from it.
        number: u64,
        /// Identity of the write.
        write: u64,
    },
    /// The result of a query, as a table.
    Table {
        /// Names of the columns.
        columns: Vec<String>,
        /// Rows, each with a cell for every column.
        rows: Vec<Vec<String>>,
    },
}

/// The reason why a statement failed, or why its outcome is unknown.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The statement has a syntax error.
    #[display("{_0}")]
    Syntax(lang::Error),
    /// The entry refused the statement.
    #[display("{error}: {message}")]
    #[from(skip)]
    Refused {
        /// Name of the error, as the entry returned it.
        error: String,
        /// Message of the entry.
        message: String,
    },
    /// It is unknown whether the command was accepted.
    #[display("{message}")]
    #[from(skip)]
    Unknown {
        /// Message of the entry.
        message: String,
    },
    /// The command was accepted, but its change is not in force at all entries in time.
    #[display("change {number} was accepted, but is not in force at these entries yet: {lagging}")]
    #[from(skip)]
    NotInForce {
        /// Number of the change.
        number: u64,
        /// Names of the entries where it is not in force, joined by commas.
        lagging: String,
    },
    /// The request to the entry failed.
    #[display("{_0}")]
    Unreachable(store::Error),
    /// The answer from the entry is invalid.
    #[display("invalid answer from the entry")]
    #[from(skip)]
    Answer,
}

impl Client {
    /// Sends a statement to the entry; a dry run only checks whether it would be accepted.
    pub async fn statement(&self, text: &str, dry_run: bool) -> Result<Answer, Fault> {
        let path = if dry_run { "/v1/statement?dry_run=1" } else { "/v1/statement" };
        let response = self.post(path, text).await?;
        if response.status() == StatusCode::OK {
            return serde_json::from_slice(response.body()).map_err(|_| Fault::Answer);
        }
        Err(refusal(&response))
    }

    /// Waits until configuration `number` is in force at every live entry.
    pub async fn wait(&self, number: u64) -> Result<(), Fault> {
        let start = Instant::now();
        loop {
            let lagging = self.lagging(number).await?;
            if lagging.is_empty() {
                return Ok(());
            }
            if start.elapsed() > IN_FORCE_TIMEOUT {
                return Err(Fault::NotInForce { number, lagging: lagging.join(", ") });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the names of the live entries where configuration `number` is not in force.
    async fn lagging(&self, number: u64) -> Result<Vec<String>, Fault> {
        let Answer::Table { columns, rows } = self.statement("show entries", false).await? else {
            return Err(Fault::Answer);
        };
        let column =
            |name: &str| columns.iter().position(|column| column == name).ok_or(Fault::Answer);
        let (name, in_force) = (column("entry")?, column("in_force")?);
        let lagging = rows.iter().filter(|row| {
            row.get(in_force)
                .and_then(|cell| cell.parse::<u64>().ok())
                .is_none_or(|found| found < number)
        });
        Ok(lagging.filter_map(|row| row.get(name).cloned()).collect())
    }

    async fn post(&self, path: &str, text: &str) -> Result<Response<Bytes>, Fault> {
        let request = Request::post(path)
            .header(HOST, self.entry.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(Bytes::from(text.to_owned())))
            .map_err(|_| Fault::Answer)?;
        Ok(store::exchange(self.entry, request, TIMEOUT).await?)
    }
}

fn refusal(response: &Response<Bytes>) -> Fault {
    let body: Value = serde_json::from_slice(response.body()).unwrap_or_default();
    let field = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
    let (error, message) = (field("error"), field("message"));
    match error.as_str() {
        "" => Fault::Answer,
        "unknown" => Fault::Unknown { message },
        _ => Fault::Refused { error, message },
    }
}
