//! Tests of the front end with a dispatcher that the test controls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use entry::clock::Clock;
use entry::dispatch::{Directive, Dispatcher, Handle, Message, Target};
use entry::front::{Front, accept};
use entry::settings::Limits;
use policy::balance::Least;
use policy::{Charts, Engine};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use xtra::Mailbox;

/// Time-out of everything that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts an upstream that accepts connections and never responds.
async fn start_silent_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            open.push(stream);
        }
    });
    address
}

/// The queue of the request path ends while an upstream runs a request. The caller must not be told
/// that the request has not run.
#[tokio::test]
async fn request_in_progress_is_unknown_when_the_dispatcher_ends() {
    let address = start_silent_upstream().await;
    let clock = Clock::default();
    let deadline = clock.moment() + Span::millis(300);
    let (queue, mut messages) = mpsc::unbounded_channel();
    let (control, mailbox) = Mailbox::unbounded();
    let engine = Engine::new(Charts::load().expect("valid charts"), 1, "d1", 1, Least);
    tokio::spawn(xtra::run(mailbox, Dispatcher::new(engine, clock)));
    tokio::spawn(async move {
        let Some(Message::Submission(submission)) = messages.recv().await else { return };
        let target = Target {
            token: 1,
            deadline,
            attempt: key::Attempt::default(),
            upstream: key::Upstream::default(),
            name: "silent".to_owned(),
            address,
            connection: None,
            hedge_after: None,
        };
        // The receiver of the queue is dropped with the task.
        let _ = submission.reply.send(Directive::Forward(target));
    });
    let front = Front {
        dispatcher: Handle::new(queue, control),
        clock,
        limits: Arc::new(Limits::default()),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
    let callers = listener.local_addr().expect("an address");
    let (_stop, stopped) = watch::channel(false);
    tokio::spawn(accept(front, listener, stopped));

    let mut stream = TcpStream::connect(callers).await.expect("connects");
    let request = "POST /seal HTTP/1.1\r\nhost: test\r\nnutmegwharf-service: s\r\n\
                   content-length: 0\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("sends");
    let mut response = String::new();
    let read = timeout(TIMEOUT, stream.read_to_string(&mut response)).await;
    read.expect("in time").expect("text");
    assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
    assert!(response.contains("nutmegwharf-outcome: unknown"), "{response}");
}
