//! Tests of parsing settings.

use std::time::Duration;

use entry::Settings;
use entry::settings::Source;
use expect_test::expect;

const VALID: &str = r#"{
    // The instance.
    "name": "entry-1",
    "domain": "d1",
    "listen": {
        "callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3",
    },
    "store": { "address": "127.0.0.1:4", "patience": "750ms" },
    "peers": ["127.0.0.1:5"],
    "keys": {
        "authority": { "file": "ca.pem" }, "certificate": { "pem": "c" }, "key": { "pem": "k" },
    },
    "operators": [{ "name": "op", "token": "secret", "commands": true }],
    "limits": { "stop_time": "10s" },
    "log": "debug",
}"#;

#[test]
fn parse_complete_file() {
    let settings = Settings::parse(VALID).expect("valid settings");
    assert_eq!(settings.store.timeout, Duration::from_millis(750));
    assert_eq!(settings.limits.stop_timeout, Duration::from_secs(10));
    assert_eq!(settings.keys.expect("keys").authority, Source::File("ca.pem".into()));
    assert!(settings.operators[0].commands);
}

#[test]
fn parse_reports_every_fault() {
    let invalid = r#"{
        "name": "",
        "listen": { "callers": "here", "operators": "127.0.0.1:2", "pears": 1 },
        "store": { "address": "127.0.0.1:4", "patience": 3 },
        "operators": [{ "name": "op" }],
        "limits": { "head_bytes": 10 },
        "log": "loud",
        "colour": "red"
    }"#;
    expect![[r#"
        name: must be a text that is not empty
        domain: is missing
        listen.callers: must be an IP address with a port, such as 127.0.0.1:7001
        listen.peers: is missing
        store.patience: must be a length of time, such as "2s" or "250ms"
        operators: must be a list of { "name", "token", "commands" }
        limits.head_bytes: must be from 8192 to 1048576
        log: must be one of off, error, warn, info, debug, trace
        colour: is not a known field
        listen.pears: is not a known field"#]]
    .assert_eq(&Settings::parse(invalid).unwrap_err().to_string());
    expect![[r#"file: must be an object"#]]
        .assert_eq(&Settings::parse("[]").unwrap_err().to_string());
    assert!(Settings::parse("{ nothing").is_err());
}

#[test]
fn parse_documented_example() {
    let settings =
        Settings::parse(include_str!("../../../docs/entry.jsonc")).expect("valid settings");
    assert_eq!(settings.limits, entry::settings::Limits::default());
}
