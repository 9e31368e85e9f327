//! Serves the resolve path, on which callers ask which entries to use.

use http_body_util::Full;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response};
use serde::Serialize;

use super::accept::Front;
use super::body::Answer;
use super::problem::Problem;
use crate::dispatch::{Advice, Advise};

/// Path of a resolve request.
const PATH: &str = "/.nutmegwharf/v1/resolve";

/// JSON body of the response.
#[derive(Debug, Serialize)]
struct Body {
    /// Addresses of entries, in order of preference.
    entries: Vec<std::net::SocketAddr>,
    /// Time for which the response may be cached, in milliseconds.
    ttl_ms: u64,
}

/// Responds with the entries that the caller should use.
pub async fn respond<B>(front: &Front, request: &Request<B>) -> Result<Response<Answer>, Problem> {
    if request.uri().path() != PATH {
        return Err(Problem::NoPage);
    }
    let query_parameter = |name: &str| {
        let pairs = request.uri().query().unwrap_or_default().split('&');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
    };
    let service = query_parameter("service").ok_or(Problem::NoService)?;
    let advise = Advise { service, domain: query_parameter("domain") };
    let advice = front.dispatcher.ask(advise).await.map_err(|_| Problem::Gone)?;
    let Advice { entries } = advice.ok_or(Problem::UnknownService)?;
    let ttl_ms = u64::try_from(front.limits.resolve_ttl.as_millis()).unwrap_or(u64::MAX);
    let body = serde_json::to_vec(&Body { entries, ttl_ms }).map_err(|_| Problem::Gone)?;
    let mut response = Response::new(Answer::Local(Full::new(body.into())));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let cache_control = format!("max-age={}", ttl_ms / 1_000);
    headers
        .insert(CACHE_CONTROL, HeaderValue::from_str(&cache_control).map_err(|_| Problem::Gone)?);
    Ok(response)
}
