//! End-to-end tests of callers, entries, upstreams and operators over real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use rig::caller;
use rig::local::{Local, Plan, TOKEN};
use rig::upstream::{Behavior, Fault, MARK};

/// Polls until a value is present, for at least 15 s, and panics if there is none.
async fn wait_for<T, F: Future<Output = Option<T>>>(what: &str, poll: impl Fn() -> F) -> T {
    for _ in 0..600 {
        if let Some(found) = poll().await {
            return found;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("not seen after 600 polls: {what}");
}

async fn get(entry: SocketAddr, path: &str) -> (StatusCode, String) {
    let response = caller::call(entry, Method::GET, path, &[], "").await.expect("a response");
    (response.status(), String::from_utf8_lossy(response.body()).into_owned())
}

fn plan(entries: usize, upstreams: usize) -> Plan {
    let behavior = Behavior { service_time: Duration::from_millis(1), ..Behavior::default() };
    Plan { entries, upstreams, next_upstreams: 0, domains: 2, behavior, ..Plan::default() }
}

/// Waits until every entry serves calls.
async fn wait_until_ready(local: &Local) {
    for entry in &local.entries {
        let callers = entry.listen.callers;
        wait_for("a first response", || async move {
            (get(callers, "/").await.0 == StatusCode::OK).then_some(())
        })
        .await;
    }
}

#[tokio::test]
async fn path_complete_response() {
    let local = Local::start(&plan(2, 2)).await.expect("starts");
    wait_until_ready(&local).await;
    for entry in &local.entries {
        let (status, body) = get(entry.listen.callers, "/permits/7?full=1").await;
        assert_eq!(status, StatusCode::OK);
        assert!(body.ends_with("GET /permits/7 0"), "{body}");
    }
    let large = vec![b'x'; 300_000];
    let entry = local.entries[0].listen.callers;
    let put = caller::call(entry, Method::PUT, "/photo", &[], large).await.expect("a response");
    assert!(String::from_utf8_lossy(put.body()).ends_with("PUT /photo 300000"));
    assert_eq!(put.headers()["nutmegwharf-outcome"], "ran");
}

#[tokio::test]
async fn path_bad_requests() {
    let local = Local::start(&plan(1, 1)).await.expect("starts");
    wait_until_ready(&local).await;
    let entry = local.entries[0].listen.callers;
    let service = [("nutmegwharf-service", "none")];
    let unknown = caller::call(entry, Method::GET, "/", &service, "").await.expect("a response");
    assert_eq!(unknown.status(), StatusCode::NOT_FOUND);
    assert!(String::from_utf8_lossy(unknown.body()).contains("unknown_service"));
    let timeout = [("nutmegwharf-timeout-ms", "soon")];
    let bad = caller::call(entry, Method::GET, "/", &timeout, "").await.expect("a response");
    assert_eq!(bad.status(), StatusCode::BAD_REQUEST);
    let upgrade = [("upgrade", "websocket"), ("connection", "upgrade")];
    let upgrade = caller::call(entry, Method::GET, "/", &upgrade, "").await.expect("a response");
    assert_eq!(upgrade.status(), StatusCode::NOT_IMPLEMENTED);
    let (status, body) = get(entry, "/.nutmegwharf/v1/resolve?service=seal&domain=d1").await;
    assert_eq!(status, StatusCode::OK);
    assert!(body.contains(&entry.to_string()), "{body}");
}

#[tokio::test]
async fn path_new_upstream_serves_everywhere() {
    let local = Local::start(&plan(3, 1)).await.expect("starts");
    wait_until_ready(&local).await;
    let behavior = Behavior { name: "late".into(), ..Behavior::default() };
    let address = ([127, 0, 0, 1], 0).into();
    let added = rig::upstream::Upstream::start(address, behavior).await.expect("starts");
    let address = added.address;
    local
        .submit(&format!("create upstream late of seal version v1 in d2 at {address}"))
        .await
        .expect("accepted");
    for entry in &local.entries {
        let callers = entry.listen.callers;
        wait_for("a response of the new upstream", || async move {
            get(callers, "/").await.1.starts_with("late ").then_some(())
        })
        .await;
    }
}

#[tokio::test]
async fn path_withdrawn_domain_gets_no_calls() {
    let local = Local::start(&plan(3, 2)).await.expect("starts");
    wait_until_ready(&local).await;
    local.submit("take out domain d1").await.expect("accepted");
    for entry in &local.entries {
        let operators = entry.listen.operators;
        wait_for("the withdrawal in force", || async move {
            let show = caller::send_statement(operators, TOKEN, "show domains").await.ok()?;
            String::from_utf8_lossy(show.body()).contains(r#"["d1","out""#).then_some(())
        })
        .await;
    }
    let before = local.upstreams[0].stats().await.ran;
    for entry in &local.entries {
        for _ in 0..20 {
            assert_eq!(get(entry.listen.callers, "/").await.0, StatusCode::OK);
        }
    }
    assert_eq!(local.upstreams[0].stats().await.ran, before);
}

/// Outcome of a request as its caller sees it.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Response,
    NotRun,
    Unknown,
    Disconnected,
}

async fn send_marked(entry: SocketAddr, method: Method, mark: &str) -> Outcome {
    let headers = [(MARK, mark), ("nutmegwharf-timeout-ms", "800")];
    let Ok(response) = caller::call(entry, method, "/seal", &headers, "body").await else {
        return Outcome::Disconnected;
    };
    match response.headers()["nutmegwharf-outcome"].to_str() {
        Ok("not-run") => Outcome::NotRun,
        Ok("unknown") => Outcome::Unknown,
        _ => Outcome::Response,
    }
}

/// Under no fault may a non-idempotent request run twice, or a request that ran be reported as not
/// run.
#[tokio::test]
async fn path_faults_never_duplicate_or_misreport() {
    let faults = [
        Fault::None,
        Fault::Fails,
        Fault::ClosesAfter,
        Fault::ClosesBefore,
        Fault::Silent,
        Fault::WrongAttempt,
        Fault::WrongRefusal,
        Fault::Truncated,
    ];
    let mut cases = 0;
    for fault in faults {
        let local = Local::start(&plan(1, 2)).await.expect("starts");
        wait_until_ready(&local).await;
        for upstream in &local.upstreams {
            upstream.change(move |behavior| behavior.fault = fault).await;
        }
        let entry = local.entries[0].listen.callers;
        for (number, method) in [Method::GET, Method::POST, Method::POST].into_iter().enumerate() {
            cases += 1;
            let mark = format!("mark-{number}");
            let once = method == Method::POST;
            let outcome = send_marked(entry, method, &mark).await;
            let mut runs = 0;
            for upstream in &local.upstreams {
                runs += upstream.stats().await.marks.get(&mark).copied().unwrap_or(0);
            }
            assert!(!once || runs <= 1, "{fault:?}: a request that may run once ran {runs} times");
            assert!(
                outcome != Outcome::NotRun || runs == 0,
                "{fault:?}: reported as not run, but ran {runs} times"
            );
            let complete = matches!(fault, Fault::None | Fault::Fails);
            assert_eq!(outcome == Outcome::Response, complete, "{fault:?}: outcome {outcome:?}");
        }
    }
    println!("{cases} cases");
    assert_eq!(cases, 24);
}

#[tokio::test]
async fn path_shed_is_not_run() {
    let local = Local::start(&plan(1, 2)).await.expect("starts");
    wait_until_ready(&local).await;
    local.upstreams[0].change(|behavior| behavior.shed_threshold = 0).await;
    let entry = local.entries[0].listen.callers;
    for number in 0..20 {
        let mark = format!("mark-{number}");
        assert_eq!(send_marked(entry, Method::POST, &mark).await, Outcome::Response);
    }
    assert_eq!(local.upstreams[0].stats().await.marks.len(), 0);
    assert_eq!(local.upstreams[1].stats().await.marks.len(), 20);
    local.upstreams[1].change(|behavior| behavior.shed_threshold = 0).await;
    assert_eq!(send_marked(entry, Method::POST, "last").await, Outcome::NotRun);
}

#[tokio::test]
async fn stop_completes_open_calls() {
    let mut local = Local::start(&plan(1, 1)).await.expect("starts");
    wait_until_ready(&local).await;
    local.upstreams[0]
        .change(|behavior| behavior.service_time = Duration::from_millis(1_200))
        .await;
    let entry = local.entries.remove(0);
    let callers = entry.listen.callers;
    let call = tokio::spawn(async move { get(callers, "/slow").await });
    wait_for("the call at the upstream", || async {
        (local.upstreams[0].stats().await.peak > 0).then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(entry.handle.stop().await, 0);
    assert_eq!(call.await.expect("ends").0, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn path_ends_every_call_under_load() {
    let local = Local::start(&plan(1, 2)).await.expect("starts");
    wait_until_ready(&local).await;
    let entry = local.entries[0].listen.callers;
    let callers = (0..32).map(|_| {
        tokio::spawn(async move {
            for _ in 0..40 {
                assert_eq!(get(entry, "/").await.0, StatusCode::OK);
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.expect("every call is answered");
    }
    let operators = local.entries[0].listen.operators;
    let bearer = format!("Bearer {TOKEN}");
    let stats = wait_for("every call ended", || async {
        let headers = [("authorization", bearer.as_str())];
        let dump = caller::call(operators, Method::GET, "/v1/dump", &headers, "").await.ok()?;
        let dump: serde_json::Value = serde_json::from_slice(dump.body()).ok()?;
        let engine = &dump["state"]["engine"];
        (engine["calls"] == 0).then(|| engine["stats"].clone())
    })
    .await;
    // Reordered events of an attempt would leave the attempt open or uncounted.
    assert_eq!(stats["requests"], stats["complete"], "{stats}");
    assert_eq!(stats["cut"], 0, "{stats}");
}

/// Open connections on which an upstream has stopped responding must not cost any request.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn path_stalled_connections_are_avoided() {
    let local = Local::start(&plan(1, 2)).await.expect("starts");
    wait_until_ready(&local).await;
    let entry = local.entries[0].listen.callers;
    for upstream in &local.upstreams {
        upstream.change(|behavior| behavior.service_time = Duration::from_millis(20)).await;
    }
    let burst = |method: Method| async move {
        let calls = (0..8).map(|_| tokio::spawn(send_marked(entry, method.clone(), "burst")));
        let mut outcomes = Vec::new();
        for call in calls.collect::<Vec<_>>() {
            outcomes.push(call.await.expect("ends"));
        }
        outcomes.iter().filter(|outcome| **outcome == Outcome::Response).count()
    };
    for _ in 0..20 {
        assert_eq!(burst(Method::GET).await, 8);
    }
    for upstream in &local.upstreams {
        upstream.stall_open_connections().await;
    }
    // Idempotent requests are retried on a new connection.
    assert_eq!(burst(Method::GET).await, 8);
    for upstream in &local.upstreams {
        upstream.stall_open_connections().await;
    }
    // Other requests use a new connection unless an open one has responded just before.
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(burst(Method::POST).await, 8);
}

#[tokio::test]
async fn report_is_repeated_during_lag() {
    let report_lag = Duration::from_secs(600);
    let behavior = Behavior { report_lag, ..Behavior::default() };
    let address = ([127, 0, 0, 1], 0).into();
    let upstream = rig::upstream::Upstream::start(address, behavior).await.expect("starts");
    let load = || async {
        let answer = caller::call(upstream.address, Method::GET, "/health", &[], "").await;
        answer.expect("a response").headers()["nutmegwharf-load"].clone()
    };
    let before = load().await;
    upstream.change(|behavior| behavior.draining = true).await;
    assert_eq!(load().await, before);
    upstream.change(|behavior| behavior.report_lag = Duration::ZERO).await;
    assert_ne!(load().await, before);
}
