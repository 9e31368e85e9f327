//! Tests of callers that send what they must not, or too slowly.

use std::net::SocketAddr;
use std::time::Duration;

use entry::settings::Limits;
use hyper::{Method, StatusCode};
use rig::caller;
use rig::local::{Local, Plan};
use rig::upstream::Behaviour;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after which a test gives up waiting for the entry to end a connection.
const PATIENCE: Duration = Duration::from_secs(10);

async fn start() -> Local {
    let behaviour = Behaviour { service: Duration::from_millis(1), ..Behaviour::default() };
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
        behaviour,
        limits,
        ..Plan::default()
    };
    let local = Local::start(&plan).await.expect("starts");
    let entry = local.entries[0].listen.callers;
    for _ in 0..400 {
        let answer = caller::call(entry, Method::GET, "/", &[], "").await;
        if answer.is_ok_and(|answer| answer.status() == StatusCode::OK) {
            return local;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("never ready");
}

/// Sends bytes and returns what comes until the entry closes the connection.
async fn send(entry: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(entry).await.expect("connects");
    stream.write_all(bytes).await.expect("sends");
    let mut answer = Vec::new();
    let read = timeout(PATIENCE, stream.read_to_end(&mut answer)).await;
    // A connection that is reset has ended as well.
    assert!(read.is_ok(), "the entry keeps the connection open");
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn hostile_heads_end_their_connection() {
    let local = start().await;
    let entry = local.entries[0].listen.callers;
    let before = local.upstreams[0].seen().await.ran;
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
        let answer = send(entry, bytes.as_bytes()).await;
        assert!(!answer.contains("HTTP/1.1 200"), "{name}: {answer}");
    }
    assert_eq!(local.upstreams[0].seen().await.ran, before, "none of it reached the upstream");
    let after = caller::call(entry, Method::GET, "/", &[], "").await.expect("an answer");
    assert_eq!(after.status(), StatusCode::OK);
}

#[tokio::test]
async fn hostile_length_and_chunks_are_one_request() {
    let local = start().await;
    let entry = local.entries[0].listen.callers;
    // By the length a second request would follow; by the chunks it is part of no request.
    let bytes = b"POST / HTTP/1.1\r\nhost: seal\r\ncontent-length: 5\r\n\
        transfer-encoding: chunked\r\nconnection: close\r\n\r\n0\r\n\r\nGET /secret HTTP/1.1\r\n\
        host: seal\r\n\r\n";
    let answer = send(entry, bytes).await;
    assert!(!answer.contains("/secret"), "{answer}");
    assert!(answer.matches("HTTP/1.1 ").count() <= 1, "{answer}");
}

#[tokio::test]
async fn hostile_bodies_are_bounded() {
    let local = start().await;
    let entry = local.entries[0].listen.callers;
    let large = vec![b'x'; 300_000];
    let answer = caller::call(entry, Method::POST, "/", &[], large).await.expect("an answer");
    assert_eq!(answer.status(), StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(answer.headers()["nutmegwharf-outcome"], "not-run");
    // A short body that never comes ends with the caller's own patience.
    let slow = b"POST / HTTP/1.1\r\nhost: seal\r\nnutmegwharf-timeout-ms: 200\r\n\
        content-length: 10\r\nconnection: close\r\n\r\nabc";
    let answer = send(entry, slow).await;
    assert!(answer.contains("400") && answer.contains("body_broken"), "{answer}");
    let key = "k".repeat(300);
    let headers = [("idempotency-key", key.as_str())];
    let answer = caller::call(entry, Method::POST, "/", &headers, "").await.expect("an answer");
    assert_eq!(answer.status(), StatusCode::BAD_REQUEST);
    let seen = local.upstreams[0].seen().await;
    assert!(seen.marks.is_empty());
}
