//! Tests of the store client against the simulated store.

use std::time::Duration;

use rig::store::{Mode, Store as Simulated};
use store::{Error, Http, Put, Store};

const TIMEOUT: Duration = Duration::from_millis(500);

async fn start() -> (Simulated, Http) {
    let simulated = Simulated::start(([127, 0, 0, 1], 0).into()).await.expect("starts");
    let client = Http::new(simulated.address, TIMEOUT);
    (simulated, client)
}

fn put(expected: u64, bytes: &[u8]) -> Put {
    Put { name: "thing".into(), expected, write: 7, bytes: bytes.to_vec() }
}

#[tokio::test]
async fn put_needs_the_version() {
    let (_fake, mut client) = start().await;
    assert_eq!(client.get("thing").await.expect("answers"), None);
    let first = client.put(put(0, b"one")).await.expect("written");
    assert!(matches!(client.put(put(0, b"two")).await, Err(Error::Conflict { .. })));
    let second = client.put(put(first, b"two")).await.expect("written");
    assert!(second > first);
    let found = client.get("thing").await.expect("answers").expect("exists");
    assert_eq!((found.version, found.bytes), (second, b"two".to_vec()));
    assert_eq!(client.list("th").await.expect("answers"), [("thing".to_owned(), second)]);
    assert!(client.list("x").await.expect("answers").is_empty());
}

#[tokio::test]
async fn put_refuses_large_values() {
    let (simulated, mut client) = start().await;
    let large = vec![0; store::MAX_VALUE_BYTES + 1];
    assert!(matches!(client.put(put(0, &large)).await, Err(Error::TooLarge)));
    assert_eq!(simulated.calls().await.writes, 0);
}

#[tokio::test]
async fn watch_sees_a_change() {
    let (simulated, mut client) = start().await;
    let mut other = Http::new(simulated.address, TIMEOUT);
    let watching = tokio::spawn(async move {
        other.watch("thing", 0, Duration::from_secs(10)).await.expect("answers")
    });
    client.put(put(0, b"one")).await.expect("written");
    assert_eq!(watching.await.expect("ends").expect("changed").bytes, b"one");
    let unchanged = client.watch("thing", 1, Duration::from_millis(20)).await.expect("answers");
    assert_eq!(unchanged, None);
}

#[tokio::test]
async fn put_lost_response_is_ambiguous() {
    let (simulated, mut client) = start().await;
    simulated.set_mode(Mode::DropsResponses).await;
    let lost = client.put(put(0, b"one")).await.unwrap_err();
    assert!(lost.is_ambiguous(), "{lost}");
    simulated.set_mode(Mode::Up).await;
    assert_eq!(client.get("thing").await.expect("answers").expect("written").bytes, b"one");
}

#[tokio::test]
async fn get_fails_while_down_or_slow() {
    let (simulated, mut client) = start().await;
    simulated.set_mode(Mode::Down).await;
    assert!(matches!(client.get("thing").await, Err(Error::Disconnected { .. })));
    simulated.set_mode(Mode::Slow(TIMEOUT * 3)).await;
    assert!(matches!(client.get("thing").await, Err(Error::Timeout { .. })));
    simulated.set_mode(Mode::Up).await;
    assert_eq!(client.get("thing").await.expect("answers"), None);
    let address = simulated.address;
    drop(simulated);
    let mut unreachable = Http::new(address, TIMEOUT);
    let error = unreachable.get("thing").await.unwrap_err();
    assert!(matches!(error, Error::Unreachable { .. }) && !error.is_ambiguous(), "{error}");
}
