//! Tests of reading daily reports and of their table.

use std::path::Path;

use expect_test::expect;
use rig::rounds::{self, Fault, Report};

fn report(worth: f64, rule: Option<&str>) -> Report {
    let breaks = rule.map(|rule| (rule.to_owned(), serde_json::json!(1)));
    let breaks: serde_json::Map<String, serde_json::Value> = breaks.into_iter().collect();
    let text = serde_json::json!({
        "G": worth, "served": 0.9, "refused": 0.01, "failed": 0.02, "breaks": breaks,
        "parts": [["whole day", 0.28, 0.9], ["worst windows", 0.4, 0.5]],
        "prices": [["probes", 10.0, 0.001], ["machines", 5.0, 0.04], ["memory", 5.0, 0.06]],
    });
    serde_json::from_value(text).expect("a report")
}

#[test]
fn table_has_a_row_for_each_day_and_their_mean() {
    let reports =
        [("calm".to_owned(), report(0.8, None)), ("storm".to_owned(), report(0.5, Some("DRAIN")))];
    expect![[r#"
        | day | worth | served | whole day | worst windows | refused | failed | prices | rules broken |
        |---|---|---|---|---|---|---|---|---|
        | calm | 0.800 | 0.900 | 0.900 | 0.500 | 0.010 | 0.020 | memory 0.060, machines 0.040 |  |
        | storm | 0.500 | 0.900 | 0.900 | 0.500 | 0.010 | 0.020 | memory 0.060, machines 0.040 | DRAIN |

        Mean worth 0.650.
    "#]].assert_eq(&rounds::table(&reports));
}

#[test]
fn table_without_reports_is_empty() {
    assert_eq!(rounds::table(&[]), "");
}

#[test]
fn read_reports_unusable_files() {
    let missing = Report::read(Path::new("no/such/file.json"));
    assert!(matches!(missing, Err(Fault::Read { .. })));
    let other = Report::read(Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml")));
    assert!(matches!(other, Err(Fault::Malformed { .. })));
}
