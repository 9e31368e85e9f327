//! Tests of commands that change a configuration, of its encoding, and of catalogs.

use model::command::{Command, Deadline, Origin, Refusal};
use model::config::SCHEMA;
use model::document::Fault;
use model::object::{Kind, Phase, Standing};
use model::{Catalog, Config};

fn origin(write: u64) -> Origin {
    Origin { who: "op".into(), when_ms: 1_000, write, text: "text".into() }
}

fn apply(config: &Config, command: Command) -> Result<Config, Refusal> {
    config.apply(&command, origin(config.number + 100))
}

fn upstream(name: &str, port: u16) -> Command {
    Command::CreateUpstream {
        name: name.into(),
        service: "seal".into(),
        version: "v1".into(),
        domain: "d1".into(),
        address: ([127, 0, 0, 1], port).into(),
    }
}

fn version(name: &str) -> Command {
    Command::CreateVersion { name: name.into(), service: "seal".into() }
}

fn delete(kind: Kind, name: &str) -> Command {
    Command::Delete { kind, name: name.into() }
}

fn start_move() -> Command {
    Command::StartMove {
        service: "seal".into(),
        from: "v1".into(),
        to: "v2".into(),
        deadline: Deadline::Within(5_000),
    }
}

fn sample_config() -> Config {
    let service =
        Command::CreateService { name: "seal".into(), slots: None, cold: None, timeout_ms: None };
    let domain = Command::CreateDomain { name: "d1".into() };
    [service, domain, version("v1"), version("v2"), upstream("u1", 1), upstream("u2", 2)]
        .into_iter()
        .fold(Config::default(), |config, command| {
            apply(&config, command).expect("the command applies")
        })
}

#[test]
fn apply_counts_changes() {
    let config = sample_config();
    assert_eq!(config.number, 6);
    assert_eq!(config.services["seal"].serving.as_deref(), Some("v1"));
    assert_eq!(config.change(103).map(|change| change.number), Some(4));
    assert!(config.change(999).is_none());
}

#[test]
fn apply_refuses_conflicts() {
    let config = sample_config();
    let refusal = |command| apply(&config, command).unwrap_err();
    assert_eq!(
        refusal(upstream("u1", 9)),
        Refusal::AlreadyExists { kind: Kind::Upstream, name: "u1".into(), rev: 5 }
    );
    assert!(matches!(refusal(delete(Kind::Domain, "d1")), Refusal::InUse { .. }));
    assert!(matches!(refusal(delete(Kind::Version, "seal/v1")), Refusal::InUse { .. }));
    assert!(matches!(refusal(delete(Kind::Service, "seal")), Refusal::InUse { .. }));
    assert!(matches!(refusal(delete(Kind::Upstream, "u9")), Refusal::NotFound { .. }));
    let late = Command::StartMove {
        service: "seal".into(),
        from: "v1".into(),
        to: "v2".into(),
        deadline: Deadline::At(999),
    };
    assert_eq!(refusal(late), Refusal::DeadlinePassed);
    let moving = apply(&config, start_move()).expect("a first move");
    assert!(matches!(apply(&moving, start_move()).unwrap_err(), Refusal::MoveInProgress { .. }));
}

#[test]
fn apply_keeps_final_states() {
    let config = apply(&sample_config(), start_move()).expect("a move");
    let phase = |phase| Command::SetMove { name: "seal-7".into(), phase, reason: String::new() };
    let done = apply(&config, phase(Phase::Done)).expect("done");
    assert_eq!(done.services["seal"].serving.as_deref(), Some("v2"));
    let again = apply(&done, phase(Phase::Running)).unwrap_err();
    assert_eq!(again, Refusal::MoveEnded { name: "seal-7".into(), phase: Phase::Done });
    let standing =
        |standing| Command::SetStanding { service: "seal".into(), version: "v2".into(), standing };
    let bad = apply(&config, standing(Standing::Bad)).expect("bad");
    assert!(matches!(apply(&bad, standing(Standing::Good)), Err(Refusal::Ineligible { .. })));
}

#[test]
fn decode_refuses_newer_schema() {
    let config = sample_config();
    let decoded = Config::decode(&config.encode()).expect("own encoding");
    assert_eq!((decoded.number, decoded.schema), (config.number, SCHEMA));
    let newer = br#"{ "schema": 2, "number": 9, "services": 3 }"#;
    assert_eq!(Config::decode(newer).unwrap_err(), Fault::Schema { found: 2, known: 1 });
    for text in ["", "{}", "[1]", r#"{ "schema": 1, "services": 3 }"#] {
        assert!(matches!(Config::decode(text.as_bytes()), Err(Fault::Syntax { .. })), "{text}");
    }
}

#[test]
fn adopt_never_reverts() {
    let mut catalog = Catalog::default();
    let old = sample_config();
    assert_eq!(catalog.adopt(&old).map(|delta| delta.added.len()), Some(2));
    let kept = catalog.upstream("u1").expect("u1");
    let new = apply(&old, delete(Kind::Upstream, "u2")).expect("delete");
    let delta = catalog.adopt(&new).expect("newer");
    assert_eq!((delta.added.len(), delta.removed.len()), (0, 1));
    assert_eq!(catalog.upstream("u1"), Some(kept));
    assert!(catalog.adopt(&old).is_none());
    assert!(catalog.upstream("u2").is_none());
}

#[test]
fn adopt_longest_route_first() {
    let route = |method: Option<&str>, prefix: &str, idempotent| Command::CreateRoute {
        service: "seal".into(),
        method: method.map(Into::into),
        prefix: prefix.into(),
        idempotent,
    };
    let config = [
        route(None, "/", true),
        route(Some("POST"), "/seal", false),
        route(None, "/seal/search", true),
    ]
    .into_iter()
    .fold(sample_config(), |config, command| apply(&config, command).expect("route"));
    let mut catalog = Catalog::default();
    catalog.adopt(&config);
    let service = catalog.service("seal").expect("seal");
    let prefix = |method: &str, path: &str| {
        let route = catalog.route(service, method, path).expect("a route");
        catalog.routes[route].prefix.clone()
    };
    assert_eq!(prefix("POST", "/seal/1"), "/seal");
    assert_eq!(prefix("POST", "/seal/search"), "/seal/search");
    assert_eq!(prefix("GET", "/seal/1"), "/");
}
