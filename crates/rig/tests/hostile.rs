//! Tests of callers that send malformed or oversized requests, or send too slowly.

use std::net::SocketAddr;
use std::time::Duration;

use entry::settings::Limits;
use hyper::{Method, StatusCode};
use rig::caller;
use rig::local::{Local, Plan};
use rig::upstream::Behavior;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time within which the entry has to close a connection.
const TIMEOUT: Duration = Duration::from_secs(10);

async fn start() -> Local {
    let behavior = Behavior { service_time: Duration::from_millis(1), ..Behavior::default() };
    let limits = Limits {
        head_timeout: Duration::from_millis(300),
        body_bytes: 200_000,
        resolve_ttl: Duration::from_millis(100),
        ..Limits::default()
    };
    let plan = Plan {
        entries: 1,
        upstreams: 1,
        next_upstreams: 0,
        domains: 1,
        behavior,
        limits,
        ..Plan::default()
    };
    let local = Local::start(&plan).await.expect("starts");
    let entry = local.entries[0].listen.callers;
    for _ in 0..400 {
        let response = caller::call(entry, Method::GET, "/", &[], "").await;
        if response.is_ok_and(|response| response.status() == StatusCode::OK) {
            return local;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("entry not ready after 400 requests");
}

/// Sends bytes and returns everything received until the entry closes the connection.
async fn send(entry: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(entry).await.expect("connects");
    stream.write_all(bytes).await.expect("sends");
    let mut response = Vec::new();
    let read = timeout(TIMEOUT, stream.read_to_end(&mut response)).await;
    // A reset also counts as closing the connection.
    assert!(read.is_ok(), "the entry keeps the connection open");
    String::from_utf8_lossy(&response).into_owned()
}

#[tokio::test]
async fn hostile_heads_close_the_connection() {
    let local = start().await;
    let entry = local.entries[0].listen.callers;
    let before = local.upstreams[0].stats().await.ran;
    let large = format!("GET / HTTP/1.1\r\nhost: seal\r\nx: {}\r\n\r\n", "y".repeat(200_000));
    let many = format!("GET / HTTP/1.1\r\nhost: seal\r\n{}\r\n", "x: y\r\n".repeat(200));
    let cases = [
        ("a head that does not end", "GET / HTTP/1.1\r\nhost: se".to_owned()),
        ("a head that is too large", large),
        ("too many headers", many),
        ("no HTTP", "\u{1}\u{2}\u{3}\r\n\r\n".to_owned()),
        (
            "two lengths",
            "POST / HTTP/1.1\r\nhost: seal\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab"
                .to_owned(),
        ),
        (
            "a length that is no number",
            "POST / HTTP/1.1\r\nhost: seal\r\ncontent-length: +1\r\n\r\na".to_owned(),
        ),
        (
            "chunks that are not the last coding",
            "POST / HTTP/1.1\r\nhost: seal\r\ntransfer-encoding: chunked, gzip\r\n\r\n0\r\n\r\n"
                .to_owned(),
        ),
    ];
    for (name, bytes) in cases {
        let response = send(entry, bytes.as_bytes()).await;
        assert!(!response.contains("HTTP/1.1 200"), "{name}: {response}");
    }
    assert_eq!(local.upstreams[0].stats().await.ran, before, "none of it reached the upstream");
    let after = caller::call(entry, Method::GET, "/", &[], "").await.expect("a response");
    assert_eq!(after.status(), StatusCode::OK);
}

#[tokio::test]
async fn hostile_length_and_chunks_are_one_request() {
    let local = start().await;
    let entry = local.entries[0].listen.callers;
    // Request smuggling: read by `content-length`, a second request follows. Read by the chunked
    // coding, the bytes after the last chunk belong to no request.
    let bytes = b"POST / HTTP/1.1\r\nhost: seal\r\ncontent-length: 5\r\n\
        transfer-encoding: chunked\r\nconnection: close\r\n\r\n0\r\n\r\nGET /secret HTTP/1.1\r\n\
        host: seal\r\n\r\n";
    let response = send(entry, bytes).await;
    assert!(!response.contains("/secret"), "{response}");
    assert!(response.matches("HTTP/1.1 ").count() <= 1, "{response}");
}

#[tokio::test]
async fn hostile_bodies_are_bounded() {
    let local = start().await;
    let entry = local.entries[0].listen.callers;
    let large = vec![b'x'; 300_000];
    let response = caller::call(entry, Method::POST, "/", &[], large).await.expect("a response");
    assert_eq!(response.status(), StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(response.headers()["nutmegwharf-outcome"], "not-run");
    // An incomplete body is given up at the time-out that the caller sets.
    let slow = b"POST / HTTP/1.1\r\nhost: seal\r\nnutmegwharf-timeout-ms: 200\r\n\
        content-length: 10\r\nconnection: close\r\n\r\nabc";
    let response = send(entry, slow).await;
    assert!(response.contains("400") && response.contains("body_broken"), "{response}");
    let key = "k".repeat(300);
    let headers = [("idempotency-key", key.as_str())];
    let response = caller::call(entry, Method::POST, "/", &headers, "").await.expect("a response");
    assert_eq!(response.status(), StatusCode::BAD_REQUEST);
    let stats = local.upstreams[0].stats().await;
    assert!(stats.marks.is_empty());
}
