//! Which entries callers should use.

use http_body_util::Full;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response};
use serde::Serialize;

use super::accept::Front;
use super::body::Answer;
use super::problem::Problem;
use crate::steer::{Advice, Advise};

/// Path of the question.
const PATH: &str = "/.nutmegwharf/v1/resolve";

/// The answer to callers.
#[derive(Debug, Serialize)]
struct Page {
    /// Addresses, the best first.
    entries: Vec<std::net::SocketAddr>,
    /// Time for which to keep the answer, in milliseconds.
    ttl_ms: u64,
}

/// Answers which entries a caller should use.
pub async fn answer<B>(front: &Front, request: &Request<B>) -> Result<Response<Answer>, Problem> {
    if request.uri().path() != PATH {
        return Err(Problem::NoPage);
    }
    let parameter = |name: &str| {
        let pairs = request.uri().query().unwrap_or_default().split('&');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
    };
    let service = parameter("service").ok_or(Problem::NoService)?;
    let advise = Advise { service, domain: parameter("domain") };
    let advice = front.steer.ask(advise).await.map_err(|_| Problem::Gone)?;
    let Advice { entries } = advice.ok_or(Problem::UnknownService)?;
    let ttl_ms = u64::try_from(front.limits.resolve_ttl.as_millis()).unwrap_or(u64::MAX);
    let body = serde_json::to_vec(&Page { entries, ttl_ms }).map_err(|_| Problem::Gone)?;
    let mut response = Response::new(Answer::Local(Full::new(body.into())));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let age = format!("max-age={}", ttl_ms / 1_000);
    headers.insert(CACHE_CONTROL, HeaderValue::from_str(&age).map_err(|_| Problem::Gone)?);
    Ok(response)
}
