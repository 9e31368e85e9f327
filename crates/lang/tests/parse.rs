//! Tests of the statement parser.

use expect_test::expect;
use lang::{Statement, parse};
use model::command::{Command, Deadline};
use model::query::{Collection, Query};
use proptest::prelude::*;

fn command(text: &str) -> Command {
    match parse(text) {
        Ok(Statement::Command(command)) => command,
        other => panic!("{text}: {other:?}"),
    }
}

#[test]
fn parse_every_command() {
    for line in [
        "create service seal slots 4 cold 1 timeout 2s",
        "create domain d1",
        "create workspace bma weight 3 limit 100",
        "create version v1 of seal",
        "create upstream u1 of seal version v1 in d1 at 127.0.0.1:9000",
        "create route POST /seal of seal once",
        "create route any / of seal idempotent",
        "set workspace bma limit 9",
        "delete upstream u1",
        "delete version v1 of seal",
        "delete route any /seal of seal",
        "take out domain d1 for 20m",
        "take out domain d1",
        "bring back domain d1",
        "move seal from v1 to v2 in 2h",
        "pause move seal-9",
        "resume move seal-9",
        "take back move seal-9",
        "hold version v2 of seal",
        "release version v2 of seal",
    ] {
        command(line);
    }
}

#[test]
fn parse_fields() {
    let expected = Command::StartMove {
        service: "seal".into(),
        from: "v1".into(),
        to: "v2".into(),
        deadline: Deadline::At(1_801_420_200_000),
    };
    assert_eq!(command("  move seal from v1 to v2 by 2027-01-31T18:30Z "), expected);
    let query = Query::Show {
        collection: Collection::Upstreams,
        service: Some("seal".into()),
        domain: Some("d1".into()),
    };
    assert_eq!(parse("show upstreams of seal in d1"), Ok(Statement::Query(query)));
}

#[test]
fn parse_error_position() {
    let message = |text: &str| parse(text).unwrap_err().to_string();
    expect![[r#"
        create upstream u1 of seal version v1 on d1
                                              ^
        at column 39: expected `in`"#]]
    .assert_eq(&message("create upstream u1 of seal version v1 on d1"));
    expect![[r#"
        take out domain d1 for ever
                               ^
        at column 24: expected a length of time such as 250ms, 30s, 20m, 2h or 1d"#]]
    .assert_eq(&message("take out domain d1 for ever"));
    expect![[r#"
        show upstreams please
                       ^
        at column 16: expected the end of the statement"#]]
    .assert_eq(&message("show upstreams please"));
    for text in ["", "sing", "move seal from v1 to v2 by 2027-02-30T18:30Z", "create domain a/b"] {
        assert!(parse(text).is_err(), "{text}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn parse_any_text(text in "\\PC{0,60}") {
        let _ = parse(&text).map_err(|error| error.to_string());
    }

    #[test]
    fn parse_any_words(words in proptest::collection::vec(
        "show|create|take|out|back|move|domain|of|in|at|for|seal|v1|2h|127.0.0.1:1", 0..9)) {
        let _ = parse(&words.join(" ")).map_err(|error| error.to_string());
    }
}
