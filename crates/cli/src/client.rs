//! Talking with an entry.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use derive_more::{Display, Error, From};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, HOST};
use hyper::{Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::Value;

/// Time for one exchange.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which an accepted change has to be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between looks at what is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A way to one entry.
#[derive(Debug)]
pub struct Client {
    /// The entry's address for operators.
    pub entry: SocketAddr,
    /// The operator's token.
    pub token: String,
}

/// An entry's answer.
#[derive(Debug, Deserialize, serde::Serialize)]
#[serde(untagged)]
pub enum Answer {
    /// A change was accepted.
    Accepted {
        /// The number that it gave the configuration.
        number: u64,
        /// Identity of the write.
        write: u64,
    },
    /// A table.
    Table {
        /// Names of the columns.
        columns: Vec<String>,
        /// Rows of cells.
        rows: Vec<Vec<String>>,
    },
}

/// A statement that was not carried out, or not certainly.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// It does not parse.
    #[display("{_0}")]
    Syntax(lang::Error),
    /// The entry did not accept it.
    #[display("{error}: {message}")]
    #[from(skip)]
    Refused {
        /// Name of the error.
        error: String,
        /// The entry's account.
        message: String,
    },
    /// Whether it was accepted is not known.
    #[display("{message}")]
    #[from(skip)]
    Unknown {
        /// The entry's account.
        message: String,
    },
    /// The change was accepted, and is not yet seen in force everywhere.
    #[display("change {number} was accepted, but is not in force at these entries yet: {lagging}")]
    #[from(skip)]
    NotInForce {
        /// The change.
        number: u64,
        /// Entries that do not show it.
        lagging: String,
    },
    /// The entry cannot be reached.
    #[display("{_0}")]
    Unreachable(store::Error),
    /// The entry's answer cannot be read.
    #[display("the entry's answer cannot be read")]
    #[from(skip)]
    Answer,
}

impl Client {
    /// Gives the entry a statement.
    pub async fn statement(&self, text: &str, dry_run: bool) -> Result<Answer, Fault> {
        let path = if dry_run { "/v1/statement?dry_run=1" } else { "/v1/statement" };
        let response = self.post(path, text).await?;
        if response.status() == StatusCode::OK {
            return serde_json::from_slice(response.body()).map_err(|_| Fault::Answer);
        }
        Err(refusal(&response))
    }

    /// Waits until every live entry has the configuration with the given number in force.
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

    /// Returns the names of entries that do not show the number in force.
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
