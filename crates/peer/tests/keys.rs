//! Tests of who may talk with whom, and of changing keys without a restart.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use peer::{Incoming, Keys, Outgoing, endpoint, issue};
use quinn::Endpoint;
use tokio::time::timeout;

/// Time within which a connection is opened or refused.
const PATIENCE: Duration = Duration::from_secs(10);

/// Makes the keys of two members under one authority.
fn pair() -> [Keys; 2] {
    let materials = issue(2).expect("issues");
    [0, 1].map(|number| Keys::read(&materials[number]).expect("fits"))
}

fn open(keys: &Keys) -> (Endpoint, SocketAddr) {
    let endpoint = endpoint((Ipv4Addr::LOCALHOST, 0).into(), keys).expect("listens");
    let address = endpoint.local_addr().expect("an address");
    (endpoint, address)
}

/// Tells whether a greeting from one endpoint reaches the other.
async fn greets(from: &Endpoint, to: &Endpoint, address: SocketAddr) -> bool {
    let accept = async {
        let incoming = to.accept().await.expect("an open endpoint");
        Incoming::accept(incoming).await.map(|incoming| incoming.hello.ident)
    };
    let both = async { tokio::join!(Outgoing::open(from, address, 7, address), accept) };
    let (sent, received) = timeout(PATIENCE, both).await.expect("ends in time");
    sent.is_ok() && received.is_ok_and(|ident| ident == 7)
}

#[tokio::test]
async fn open_needs_a_member() {
    let [one, other] = pair();
    let (server, address) = open(&one);
    let (member, _) = open(&other);
    assert!(greets(&member, &server, address).await);
    let (stranger, _) = open(&pair()[0]);
    assert!(!greets(&stranger, &server, address).await);
}

#[tokio::test]
async fn open_with_new_keys_after_a_change() {
    let [old_one, old_other] = pair();
    let [new_one, new_other] = pair();
    let (server, address) = open(&old_one);
    let (client, _) = open(&old_other);
    assert!(greets(&client, &server, address).await);
    server.set_server_config(Some(new_one.server.clone()));
    assert!(!greets(&client, &server, address).await, "old keys are trusted no more");
    let mut renewed = client.clone();
    renewed.set_default_client_config(new_other.client.clone());
    assert!(greets(&renewed, &server, address).await);
}
