//! Tests of the task that owns the decisions.

use entry::clock::Clock;
use entry::steer::{self, Asked, Message, Place, Steer, Tick, Way};
use policy::balance::Least;
use policy::{Charts, Engine};
use tokio::sync::{mpsc, oneshot};
use xtra::Mailbox;

const MESSAGES: usize = 100_000;
const ASKERS: usize = 1;

fn asked() -> Asked {
    Asked {
        service: "none".into(),
        workspace: None,
        method: "GET".into(),
        path: "/".into(),
        patience: None,
        replayable: true,
        key: None,
        digest: 0,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn run_loses_no_message_of_either_way() {
    let engine = Engine::new(Charts::load().expect("charts fit"), 1, "d1", 1, Least);
    let (control, mailbox) = Mailbox::unbounded();
    let (lane, messages) = mpsc::unbounded_channel();
    tokio::spawn(steer::run(Steer::new(engine, Clock::default()), mailbox, messages));
    let way = Way::new(lane, control);
    let asking: Vec<_> = (0..ASKERS)
        .map(|_| {
            let way = way.clone();
            tokio::spawn(async move {
                let mut lost = 0;
                for _ in 0..MESSAGES {
                    lost += usize::from(way.ask(Tick).await.is_err());
                    // Once in a while the task has nothing to do and waits on both ways.
                    tokio::task::yield_now().await;
                }
                lost
            })
        })
        .collect();
    let mut lost = 0;
    for _ in 0..MESSAGES {
        let (reply, directive) = oneshot::channel();
        way.post(Message::Place(Place { asked: asked(), reply }));
        lost += usize::from(directive.await.is_err());
    }
    for asker in asking {
        lost += asker.await.expect("ends");
    }
    assert_eq!(lost, 0);
}
