//! Tests of operators' statements during faults of the store and in races with each other.

use std::time::Duration;

use hyper::StatusCode;
use rig::caller;
use rig::local::{Local, Plan, TOKEN};
use rig::store::Mode;

async fn start() -> Local {
    let plan = Plan { entries: 2, upstreams: 1, next_upstreams: 0, domains: 1, ..Plan::default() };
    Local::start(&plan).await.expect("starts")
}

async fn send(local: &Local, entry: usize, token: &str, text: &str) -> (StatusCode, String) {
    let operators = local.entries[entry].listen.operators;
    let response = caller::send_statement(operators, token, text).await.expect("a response");
    (response.status(), String::from_utf8_lossy(response.body()).into_owned())
}

#[tokio::test]
async fn submit_needs_a_known_operator() {
    let local = start().await;
    assert_eq!(send(&local, 0, "guess", "create domain x").await.0, StatusCode::UNAUTHORIZED);
    assert_eq!(send(&local, 0, TOKEN, "create domain").await.0, StatusCode::BAD_REQUEST);
    assert_eq!(send(&local, 0, TOKEN, "create domain x").await.0, StatusCode::OK);
    let again = send(&local, 1, TOKEN, "create domain x").await;
    assert_eq!(again.0, StatusCode::CONFLICT);
    assert!(again.1.contains("exists already"), "{}", again.1);
}

#[tokio::test]
async fn submit_lost_response_is_recognized() {
    let local = start().await;
    local.store.set_mode(Mode::DropsResponses).await;
    let (status, body) = send(&local, 0, TOKEN, "create domain lost").await;
    assert_eq!(status, StatusCode::OK, "{body}");
    let (_, history) = send(&local, 0, TOKEN, "show history").await;
    assert_eq!(history.matches("create domain lost").count(), 1, "{history}");
}

#[tokio::test]
async fn submit_fails_while_the_store_is_down() {
    let local = start().await;
    local.store.set_mode(Mode::Down).await;
    let (status, body) = send(&local, 0, TOKEN, "create domain late").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{body}");
    local.store.set_mode(Mode::Up).await;
    let (_, domains) = send(&local, 0, TOKEN, "show domains").await;
    assert!(!domains.contains("late"), "{domains}");
}

#[tokio::test]
async fn submit_race_loses_nothing() {
    let local = start().await;
    let statements = (0..20).map(|number| {
        let operators = local.entries[number % 2].listen.operators;
        tokio::spawn(async move {
            let text = format!("create domain race-{number}");
            caller::send_statement(operators, TOKEN, &text).await.expect("a response").status()
        })
    });
    let statements: Vec<_> = statements.collect();
    let mut accepted = 0;
    for statement in statements {
        let status = statement.await.expect("ends");
        // A statement that loses the race repeatedly is refused as busy and changes nothing.
        assert!(status == StatusCode::OK || status == StatusCode::SERVICE_UNAVAILABLE);
        accepted += usize::from(status == StatusCode::OK);
    }
    for entry in 0..2 {
        for _ in 0..200 {
            let (_, domains) = send(&local, entry, TOKEN, "show domains").await;
            if domains.matches("race-").count() == accepted {
                break;
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        let (_, domains) = send(&local, entry, TOKEN, "show domains").await;
        assert_eq!(domains.matches("race-").count(), accepted);
    }
}

/// Calls every entry until `show moves` contains a phase, and returns its output.
async fn drive_until(local: &Local, phase: &str) -> String {
    for _ in 0..4_000 {
        for entry in &local.entries {
            let callers = entry.listen.callers;
            let _ = caller::call(callers, hyper::Method::GET, "/", &[], "").await;
        }
        let (_, moves) = send(local, 0, TOKEN, "show moves").await;
        if moves.contains(phase) {
            return moves;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let mut outputs = Vec::new();
    for entry in 0..local.entries.len() {
        for query in ["show moves", "why move seal-11", "show entries"] {
            outputs.push(send(local, entry, TOKEN, query).await.1);
        }
    }
    panic!("move did not reach phase {phase}: {outputs:#?}");
}

/// Waits until an entry shows a change that another entry has accepted.
async fn wait_until_shown(local: &Local, entry: usize, query: &str, part: &str) {
    for _ in 0..400 {
        if send(local, entry, TOKEN, query).await.1.contains(part) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("not shown after 400 polls: {part}");
}

fn two_versions() -> Plan {
    let behavior =
        rig::upstream::Behavior { service_time: Duration::from_millis(1), ..Default::default() };
    Plan { entries: 2, upstreams: 2, next_upstreams: 2, domains: 2, behavior, ..Plan::default() }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn move_to_a_bad_version_is_taken_back() {
    let local = Local::start(&two_versions()).await.expect("starts");
    for upstream in &local.upstreams[2..] {
        upstream.change(|behavior| behavior.fault = rig::upstream::Fault::Fails).await;
    }
    local.submit("move seal from v1 to v2 in 10m").await.expect("accepted");
    let moves = drive_until(&local, "taken-back").await;
    assert!(moves.contains("failing"), "{moves}");
    wait_until_shown(&local, 1, "show versions", r#"["v2","seal","bad""#).await;
    let mut ran = 0;
    for upstream in &local.upstreams[2..] {
        ran += upstream.stats().await.ran;
    }
    assert!(ran < 60, "{ran} calls reached the bad version");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn move_to_a_good_version_is_done() {
    let local = Local::start(&two_versions()).await.expect("starts");
    local.submit("move seal from v1 to v2 in 15s").await.expect("accepted");
    let moves = drive_until(&local, "done").await;
    assert!(moves.contains("100.0 %"), "{moves}");
    wait_until_shown(&local, 1, "show services", r#"["seal","v2""#).await;
}
