//! Tests of the dispatcher's two message queues.
//!
//! The dispatcher waits on the queue of the request path and the mailbox at the same time. A wait
//! for the mailbox that is dropped when the queue has a message can lose a message of the mailbox.

use entry::clock::Clock;
use entry::dispatch::{self, Description, Dispatcher, Handle, Message, Submission, Tick};
use policy::balance::Least;
use policy::{Charts, Engine};
use tokio::sync::{mpsc, oneshot};
use xtra::Mailbox;

const MESSAGES: usize = 100_000;
const SENDERS: usize = 1;

fn description() -> Description {
    Description {
        service: "none".into(),
        workspace: None,
        method: "GET".into(),
        path: "/".into(),
        timeout: None,
        replayable: true,
        key: None,
        digest: 0,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn run_loses_no_message_of_either_queue() {
    let engine = Engine::new(Charts::load().expect("valid charts"), 1, "d1", 1, Least);
    let (control, mailbox) = Mailbox::unbounded();
    let (queue, messages) = mpsc::unbounded_channel();
    tokio::spawn(dispatch::run(Dispatcher::new(engine, Clock::default()), mailbox, messages));
    let handle = Handle::new(queue, control);
    let senders: Vec<_> = (0..SENDERS)
        .map(|_| {
            let handle = handle.clone();
            tokio::spawn(async move {
                let mut lost = 0;
                for _ in 0..MESSAGES {
                    lost += usize::from(handle.ask(Tick).await.is_err());
                    // Yielding lets the dispatcher run out of messages and wait on both.
                    tokio::task::yield_now().await;
                }
                lost
            })
        })
        .collect();
    let mut lost = 0;
    for _ in 0..MESSAGES {
        let (reply, directive) = oneshot::channel();
        handle.post(Message::Submission(Submission { description: description(), reply }));
        lost += usize::from(directive.await.is_err());
    }
    for sender in senders {
        lost += sender.await.expect("sender completes");
    }
    assert_eq!(lost, 0);
}
