//! Stand-in of a client: it asks the directory where to connect and keeps its connections.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::Json;
use crate::record::Record;
use crate::worker::signature_of;

/// Time for which an answer of the directory is used.
const ADVICE_TIME: Duration = Duration::from_secs(2);
/// Time after its deadline for which a client still waits.
const PATIENCE: Duration = Duration::from_millis(1_000);

/// A request that a client sends.
pub struct Request<'a> {
    /// Identity of this attempt.
    pub id: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path.
    pub path: &'a str,
    /// Body.
    pub body: &'a [u8],
    /// Time that the client waits.
    pub deadline: Duration,
}

/// How a request ended for its client.
pub enum Outcome {
    /// A whole answer.
    Answer(Message),
    /// The connection ended, or its bytes were no answer.
    Broken(String),
}

/// A client with one connection that it keeps.
pub struct Client {
    directories: Vec<SocketAddr>,
    host: String,
    zone: String,
    advice: Vec<SocketAddr>,
    asked_at: Option<Instant>,
    connection: Option<(SocketAddr, BufReader<TcpStream>)>,
    number: usize,
    record: Record,
}

impl Client {
    /// Creates a client that asks these directories.
    pub fn new(
        number: usize,
        directories: Vec<SocketAddr>,
        host: &str,
        zone: &str,
        record: &Record,
    ) -> Self {
        Self {
            directories,
            host: host.to_owned(),
            zone: zone.to_owned(),
            advice: Vec::new(),
            asked_at: None,
            connection: None,
            number,
            record: record.clone(),
        }
    }

    fn resolve(&mut self) {
        if self.asked_at.is_some_and(|at| at.elapsed() < ADVICE_TIME) {
            return;
        }
        let target = format!("/resolve?name={}&region=r&zone={}", self.host, self.zone);
        for attempt in 0..3 {
            let directory = self.directories[(self.number + attempt) % self.directories.len()];
            let Ok(response) = http::get(directory, &target) else { continue };
            let Some(body) = Json::parse(&String::from_utf8_lossy(&response.body)) else {
                continue;
            };
            let addresses = body.get("addresses").map(Json::items).unwrap_or_default();
            let addresses: Vec<SocketAddr> =
                addresses.iter().filter_map(|address| address.text()?.parse().ok()).collect();
            if !addresses.is_empty() {
                self.advice = addresses;
                self.asked_at = Some(Instant::now());
                return;
            }
        }
    }

    /// Closes the kept connection.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Sends a request to a node that the directory names, or to `to`, and records its end.
    pub fn call(&mut self, request: &Request<'_>, to: Option<SocketAddr>) -> Outcome {
        self.resolve();
        if let Some((address, _)) = self.connection.as_ref()
            && (to.is_some_and(|to| to != *address)
                || to.is_none() && !self.advice.contains(address))
        {
            self.connection = None;
        }
        let at =
            (self.number + request.id.len() + request.id.bytes().map(usize::from).sum::<usize>())
                % self.advice.len().max(1);
        let Some(address) = to.or_else(|| self.advice.get(at).copied()) else {
            return Outcome::Broken("no address is known".to_owned());
        };
        let (address, reader) = match self.connection.take() {
            Some(kept) => {
                self.record.on_kept_connection(request.id);
                kept
            }
            None => match http::connect(address, request.deadline + PATIENCE) {
                Ok(stream) => (address, BufReader::new(stream)),
                Err(error) => return Outcome::Broken(format!("no connection: {error}")),
            },
        };
        self.record.sent(request.id, request.method, request.path, address);
        let outcome = self.exchange(request, address, reader);
        match &outcome {
            Outcome::Answer(answer) => {
                let note = self.judge(request.id, answer);
                self.record.answered(request.id, answer.status(), &note);
            }
            Outcome::Broken(fault) => self.record.answered(request.id, 0, fault),
        }
        outcome
    }

    fn exchange(
        &mut self,
        request: &Request<'_>,
        address: SocketAddr,
        mut reader: BufReader<TcpStream>,
    ) -> Outcome {
        let start = format!("{} {} HTTP/1.1", request.method, request.path);
        let deadline = request.deadline.as_millis().to_string();
        let headers = [
            ("Host", self.host.as_str()),
            ("Nutmegwharf-Attempt-Id", request.id),
            ("Nutmegwharf-Deadline-Remaining", &deadline),
        ];
        let bytes = http::format(&start, &headers, request.body);
        if let Err(error) = reader.get_mut().write_all(&bytes) {
            return Outcome::Broken(format!("not sent: {error}"));
        }
        match http::read(&mut reader, true) {
            Ok(Some(answer)) => {
                if !answer.header("connection").is_some_and(|value| value.contains("close")) {
                    self.connection = Some((address, reader));
                }
                Outcome::Answer(answer)
            }
            Ok(None) => Outcome::Broken("closed without an answer".to_owned()),
            Err(error) => Outcome::Broken(format!("{error}")),
        }
    }

    /// Returns what is wrong with an answer, if anything is.
    fn judge(&self, id: &str, answer: &Message) -> String {
        fault_of(id, answer).unwrap_or_default()
    }
}

/// Returns what is wrong with an answer: a success has to be the worker's whole one.
pub fn fault_of(id: &str, answer: &Message) -> Option<String> {
    if !(200..300).contains(&answer.status()) {
        return None;
    }
    let Some(signature) = answer.header("nutmegwharf-response-signature") else {
        return Some("WRONG: a success without a signature".to_owned());
    };
    let worker = signature.split('.').next().unwrap_or_default();
    let is_whole = signature == signature_of(worker, id, &answer.body);
    (!is_whole)
        .then(|| format!("WRONG: {} bytes do not fit the signature {signature}", answer.body.len()))
}
