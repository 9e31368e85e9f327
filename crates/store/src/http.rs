//! A client of the object store over HTTP/1.1.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{ETAG, HOST, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, Response, StatusCode};

use crate::connection::{Connection, Outgoing};
use crate::error::{Error, Part};
use crate::{MAX_VALUE_BYTES, Object, Put, Store, WRITE_ID};

/// A client that keeps one connection open and makes one call at a time.
#[derive(Debug)]
pub struct Http {
    connection: Connection,
}

impl Http {
    /// Creates a client of the store at `address` that waits at most `timeout` for a response.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { connection: Connection::new(address, timeout) }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Vec<u8>,
    ) -> Result<Outgoing, Error> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.connection.address().to_string());
        for (name, value) in headers {
            builder = builder.header(*name, value);
        }
        builder.body(Full::new(body.into())).map_err(|_| Error::InvalidName)
    }
}

impl Store for Http {
    async fn get(&mut self, name: &str) -> Result<Option<Object>, Error> {
        let request = self.request(Method::GET, &object_path(name), &[], Vec::new())?;
        let response = self.connection.call(request, Duration::ZERO).await?;
        match response.status() {
            StatusCode::OK => object(response).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(Error::Status { status: status.as_u16() }),
        }
    }

    async fn put(&mut self, put: Put) -> Result<u64, Error> {
        if put.bytes.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge);
        }
        let condition = match put.expected {
            0 => (IF_NONE_MATCH.as_str(), "*".to_owned()),
            version => (IF_MATCH.as_str(), format!("\"{version}\"")),
        };
        let headers = [condition, (WRITE_ID, put.write.to_string())];
        let path = object_path(&put.name);
        let request = self.request(Method::PUT, &path, &headers, put.bytes)?;
        let response = self.connection.call(request, Duration::ZERO).await?;
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
        let response = self.connection.call(request, Duration::ZERO).await?;
        match response.status() {
            StatusCode::OK => serde_json::from_slice(response.body())
                .map_err(|_| Error::InvalidResponse { part: Part::Body }),
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
        let response = self.connection.call(request, wait).await?;
        match response.status() {
            StatusCode::OK => object(response).map(Some),
            StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(None),
            status => Err(Error::Status { status: status.as_u16() }),
        }
    }
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
    version.ok_or(Error::InvalidResponse { part: Part::Version })
}
