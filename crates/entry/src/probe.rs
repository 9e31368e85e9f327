//! Health checks of upstreams, which the dispatcher starts as tasks.

use std::net::SocketAddr;
use std::time::Duration;

use base::prelude::*;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use policy::engine::Input;
use xtra::Address;

use crate::dispatch::{Apply, Dispatcher};
use crate::header;

/// Path of the health check.
const PATH: &str = "/health";
/// Time to wait for the response.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Checks an upstream's health on a new connection and reports the result to the dispatcher.
pub async fn run(dispatcher: Address<Dispatcher>, upstream: key::Upstream, address: SocketAddr) {
    let request = Request::get(PATH).header(HOST, address.to_string()).body(Full::default());
    // The request consists of constants and an address, so it is well formed.
    let Ok(request) = request else { return };
    let (reached, report) = match store::exchange(address, request, TIMEOUT).await {
        Ok(response) => (true, header::parse_report(response.headers())),
        Err(store::Error::Unreachable { .. }) => (false, None),
        // The upstream accepted the connection; a probe without a response is no stronger
        // evidence of a failure than a call without one.
        Err(_) => (true, None),
    };
    let _ = dispatcher.send(Apply(Input::Probed { upstream, reached, report })).await;
}
