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
use tokio::time::{Instant, timeout};
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

/// Returns the directive to send a call to an upstream.
fn forward(address: SocketAddr, deadline: Moment) -> Directive {
    Directive::Forward(Target {
        token: 1,
        deadline,
        attempt: key::Attempt::default(),
        upstream: key::Upstream::default(),
        name: "silent".to_owned(),
        address,
        connection: None,
        hedge_after: None,
    })
}

/// A front end, and the queue of the request path that the test reads.
struct Setup {
    clock: Clock,
    callers: SocketAddr,
    messages: mpsc::UnboundedReceiver<Message>,
    stop: watch::Sender<Option<Instant>>,
}

impl Setup {
    async fn start() -> Self {
        let clock = Clock::default();
        let (queue, messages) = mpsc::unbounded_channel();
        let (control, mailbox) = Mailbox::unbounded();
        let engine = Engine::new(Charts::load().expect("valid charts"), 1, "d1", 1, Least);
        tokio::spawn(xtra::run(mailbox, Dispatcher::new(engine, clock)));
        let (stop, stop_receiver) = watch::channel(None);
        let dispatcher = Handle::new(queue, control);
        let limits = Arc::new(Limits::default());
        let front = Front { dispatcher, clock, limits, stop: stop_receiver };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listens");
        let callers = listener.local_addr().expect("an address");
        tokio::spawn(accept(front, listener));
        Self { clock, callers, messages, stop }
    }

    /// Sends the head of a request with a body of `length` bytes.
    async fn send_head(&self, length: usize) -> TcpStream {
        let mut stream = TcpStream::connect(self.callers).await.expect("connects");
        let head = format!(
            "POST /seal HTTP/1.1\r\nhost: test\r\nnutmegwharf-service: s\r\n\
             nutmegwharf-timeout-ms: 60000\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("sends");
        stream
    }

    /// Waits for a call, and lets it be forwarded to an upstream within `time`.
    async fn forward_next(&mut self, address: SocketAddr, time: Span) {
        let Some(Message::Submission(submission)) = self.messages.recv().await else {
            panic!("nothing was submitted");
        };
        let deadline = self.clock.moment() + time;
        submission.reply.send(forward(address, deadline)).expect("the call waits");
    }
}

/// Reads the response to the last request of a connection.
async fn read(stream: &mut TcpStream) -> String {
    let mut response = String::new();
    let read = timeout(TIMEOUT, stream.read_to_string(&mut response)).await;
    read.expect("in time").expect("text");
    response
}

/// The queue of the request path ends while an upstream runs a request. The caller must not be told
/// that the request has not run.
#[tokio::test]
async fn request_in_progress_is_unknown_when_the_dispatcher_ends() {
    let address = start_silent_upstream().await;
    let mut setup = Setup::start().await;
    let mut stream = setup.send_head(0).await;
    setup.forward_next(address, Span::millis(300)).await;
    drop(setup.messages);
    let response = read(&mut stream).await;
    assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
    assert!(response.contains("nutmegwharf-outcome: unknown"), "{response}");
}

/// A request that is in progress at the end of a stop gets an answer before connections are cut. It
/// says that the request may have run.
#[tokio::test]
async fn long_request_gets_an_answer_before_the_end() {
    let address = start_silent_upstream().await;
    let mut setup = Setup::start().await;
    let mut stream = setup.send_head(0).await;
    setup.forward_next(address, Span::seconds(60)).await;
    setup.stop.send(Some(Instant::now() + Duration::from_millis(300))).expect("the front end runs");
    let response = read(&mut stream).await;
    assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
    assert!(response.contains("nutmegwharf-outcome: unknown"), "{response}");
}

/// A request whose body is complete late in a stop may last longer than the entry. It must be refused as
/// not run, not be submitted and cut.
#[tokio::test]
async fn late_body_that_cannot_finish_is_refused() {
    let mut setup = Setup::start().await;
    let mut stream = setup.send_head(4).await;
    // The front end has to read the head before the stop.
    tokio::time::sleep(Duration::from_millis(50)).await;
    setup.stop.send(Some(Instant::now() + Duration::from_secs(5))).expect("the front end runs");
    stream.write_all(b"body").await.expect("sends");
    let response = read(&mut stream).await;
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    assert!(response.contains("nutmegwharf-outcome: not-run"), "{response}");
    assert!(setup.messages.try_recv().is_err(), "submitted");
}
