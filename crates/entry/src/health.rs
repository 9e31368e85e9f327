//! Asking an upstream for its health.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use policy::engine::Input;
use xtra::Address;

use crate::header;
use crate::steer::{Feed, Steer};

/// Path of the question.
const PATH: &str = "/health";
/// Time for the answer.
const PATIENCE: Duration = Duration::from_secs(1);

/// Asks an upstream on a connection of its own and passes the answer to the decisions.
pub async fn ask(steer: Address<Steer>, upstream: key::Upstream, address: SocketAddr) {
    let request = Request::get(PATH).header(HOST, address.to_string()).body(Full::default());
    // The request is made of constants and an address, so it is well formed.
    let Ok(request) = request else { return };
    let (reached, report) = match store::exchange(address, request, PATIENCE).await {
        Ok(response) => (true, header::parse_report(response.headers())),
        Err(store::Error::Unreachable { .. }) => (false, None),
        // It is there, and its silence says no more than that of calls does.
        Err(_) => (true, None),
    };
    let _ = steer.send(Feed(Input::Probed { upstream, reached, report })).await;
}
