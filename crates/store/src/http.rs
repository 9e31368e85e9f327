//! The client of the store over HTTP/1.1.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{ETAG, HOST, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::error::{Error, Part};
use crate::{MOST_BYTES, Object, Put, Store, WRITE_ID};

/// A request with its whole body.
type Outgoing = Request<Full<Bytes>>;

/// A client that keeps one connection and makes one call at a time.
#[derive(Debug)]
pub struct Http {
    address: SocketAddr,
    patience: Duration,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Http {
    /// Makes a client of the store at `address` that waits at most `patience` for an answer.
    #[must_use]
    pub fn new(address: SocketAddr, patience: Duration) -> Self {
        Self { address, patience, sender: None }
    }

    async fn call(&mut self, request: Outgoing, extra: Duration) -> Result<Response<Bytes>, Error> {
        let patience = self.patience + extra;
        match timeout(patience, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => {
                // The late answer must not be taken for the next one.
                self.sender = None;
                Err(Error::Timeout {
                    millis: u64::try_from(patience.as_millis()).unwrap_or(u64::MAX),
                })
            }
        }
    }

    async fn exchange(&mut self, request: Outgoing) -> Result<Response<Bytes>, Error> {
        let mut sender = match self.sender.take() {
            Some(sender) if sender.is_ready() => sender,
            _ => connect(self.address).await?,
        };
        let response = send(&mut sender, request).await?;
        self.sender = Some(sender);
        Ok(response)
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Vec<u8>,
    ) -> Result<Outgoing, Error> {
        let mut builder =
            Request::builder().method(method).uri(path).header(HOST, self.address.to_string());
        for (name, value) in headers {
            builder = builder.header(*name, value);
        }
        builder.body(Full::new(body.into())).map_err(|_| Error::Name)
    }
}

impl Store for Http {
    async fn get(&mut self, name: &str) -> Result<Option<Object>, Error> {
        let request = self.request(Method::GET, &object_path(name), &[], Vec::new())?;
        let response = self.call(request, Duration::ZERO).await?;
        match response.status() {
            StatusCode::OK => object(response).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(Error::Status { status: status.as_u16() }),
        }
    }

    async fn put(&mut self, put: Put) -> Result<u64, Error> {
        if put.bytes.len() > MOST_BYTES {
            return Err(Error::TooLarge);
        }
        let condition = match put.expected {
            0 => (IF_NONE_MATCH.as_str(), "*".to_owned()),
            version => (IF_MATCH.as_str(), format!("\"{version}\"")),
        };
        let headers = [condition, (WRITE_ID, put.write.to_string())];
        let path = object_path(&put.name);
        let request = self.request(Method::PUT, &path, &headers, put.bytes)?;
        let response = self.call(request, Duration::ZERO).await?;
        match response.status() {
            StatusCode::OK | StatusCode::CREATED => version(&response),
            StatusCode::PRECONDITION_FAILED => {
                Err(Error::Conflict { found: version(&response).unwrap_or(0) })
            }
            status => Err(Error::Status { status: status.as_u16() }),
        }
    }

    async fn list(&mut self, prefix: &str) -> Result<Vec<(String, u64)>, Error> {
        let path = format!("/v1/objects?prefix={prefix}");
        let request = self.request(Method::GET, &path, &[], Vec::new())?;
        let response = self.call(request, Duration::ZERO).await?;
        match response.status() {
            StatusCode::OK => serde_json::from_slice(response.body())
                .map_err(|_| Error::Answer { part: Part::Body }),
            status => Err(Error::Status { status: status.as_u16() }),
        }
    }

    async fn watch(
        &mut self,
        name: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Object>, Error> {
        let path = format!("{}?after={after}&wait_ms={}", object_path(name), wait.as_millis());
        let request = self.request(Method::GET, &path, &[], Vec::new())?;
        let response = self.call(request, wait).await?;
        match response.status() {
            StatusCode::OK => object(response).map(Some),
            StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(None),
            status => Err(Error::Status { status: status.as_u16() }),
        }
    }
}

/// Makes one exchange on a connection of its own, with a bound on the answer's size.
///
/// # Errors
///
/// Returns an error if no whole answer comes in time.
pub async fn exchange(
    address: SocketAddr,
    request: Outgoing,
    patience: Duration,
) -> Result<Response<Bytes>, Error> {
    let whole = async {
        let mut sender = connect(address).await?;
        send(&mut sender, request).await
    };
    let millis = u64::try_from(patience.as_millis()).unwrap_or(u64::MAX);
    timeout(patience, whole).await.unwrap_or(Err(Error::Timeout { millis }))
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, Error> {
    let stream = TcpStream::connect(address).await.map_err(|cause| Error::Unreachable { cause })?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|cause| Error::Broken { cause })?;
    // The connection's task owns the socket and ends with it.
    tokio::spawn(connection);
    Ok(sender)
}

async fn send(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Outgoing,
) -> Result<Response<Bytes>, Error> {
    let broken = |cause| Error::Broken { cause };
    sender.ready().await.map_err(broken)?;
    let (head, body) = sender.send_request(request).await.map_err(broken)?.into_parts();
    let body = Limited::new(body, MOST_BYTES).collect().await;
    let body = body.map_err(|_| Error::Answer { part: Part::Body })?;
    Ok(Response::from_parts(head, body.to_bytes()))
}

fn object_path(name: &str) -> String {
    format!("/v1/objects/{name}")
}

fn object(response: Response<Bytes>) -> Result<Object, Error> {
    let version = version(&response)?;
    Ok(Object { version, bytes: response.into_body().into() })
}

fn version(response: &Response<Bytes>) -> Result<u64, Error> {
    let tag = response.headers().get(ETAG).and_then(|tag| tag.to_str().ok());
    let version = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
    version.ok_or(Error::Answer { part: Part::Version })
}
