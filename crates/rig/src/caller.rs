//! HTTP client that plays callers and operators.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, HOST};
use hyper::{Method, Request, Response};

/// Time-out of one exchange of request and response.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Sends one request on a new connection and returns the response.
///
/// # Errors
///
/// Returns an error if no complete response arrives in time.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Result<Response<Bytes>, store::Error> {
    let mut builder = Request::builder().method(method).uri(path).header(HOST, "seal");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request = builder.body(Full::new(body.into())).map_err(|_| store::Error::InvalidName)?;
    store::exchange(address, request, TIMEOUT).await
}

/// Sends a statement to an entry as the operator with the given token.
///
/// # Errors
///
/// Returns an error if no complete response arrives in time.
pub async fn send_statement(
    operators: SocketAddr,
    token: &str,
    text: &str,
) -> Result<Response<Bytes>, store::Error> {
    let bearer = format!("Bearer {token}");
    let headers = [(AUTHORIZATION.as_str(), bearer.as_str())];
    call(operators, Method::POST, "/v1/statement", &headers, text.to_owned()).await
}
