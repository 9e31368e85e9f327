//! Tests of mutual authentication, and of replacing keys without a restart.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use peer::{Incoming, Keys, Outgoing, endpoint, issue};
use quinn::Endpoint;
use tokio::time::timeout;

/// Timeout within which a connection has to be opened or refused.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Generates the keys of two members under one authority.
fn issue_pair() -> [Keys; 2] {
    let materials = issue(2).expect("issues");
    [0, 1].map(|index| Keys::read(&materials[index]).expect("valid keys"))
}

fn open(keys: &Keys) -> (Endpoint, SocketAddr) {
    let endpoint = endpoint((Ipv4Addr::LOCALHOST, 0).into(), keys).expect("listens");
    let address = endpoint.local_addr().expect("an address");
    (endpoint, address)
}

/// Returns whether the hello of one endpoint reaches the other.
async fn connects(from: &Endpoint, to: &Endpoint, address: SocketAddr) -> bool {
    let accept = async {
        let incoming = to.accept().await.expect("an open endpoint");
        Incoming::accept(incoming).await.map(|incoming| incoming.hello.ident)
    };
    let both = async { tokio::join!(Outgoing::open(from, address, 7, address), accept) };
    let (sent, received) = timeout(TIMEOUT, both).await.expect("open or refused in time");
    sent.is_ok() && received.is_ok_and(|ident| ident == 7)
}

#[tokio::test]
async fn open_needs_member_certificate() {
    let [server_keys, client_keys] = issue_pair();
    let (server, address) = open(&server_keys);
    let (member, _) = open(&client_keys);
    assert!(connects(&member, &server, address).await);
    let (stranger, _) = open(&issue_pair()[0]);
    assert!(!connects(&stranger, &server, address).await);
}

#[tokio::test]
async fn open_after_key_rotation() {
    let [old_server, old_client] = issue_pair();
    let [new_server, new_client] = issue_pair();
    let (server, address) = open(&old_server);
    let (client, _) = open(&old_client);
    assert!(connects(&client, &server, address).await);
    server.set_server_config(Some(new_server.server.clone()));
    assert!(!connects(&client, &server, address).await, "old keys are still trusted");
    let mut renewed = client.clone();
    renewed.set_default_client_config(new_client.client.clone());
    assert!(connects(&renewed, &server, address).await);
}
