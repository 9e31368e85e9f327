//! Tests of loading and validating charts, and of their transitions.

use base::symbols;
use chart::{Chart, Error};

symbols! {
    /// States of a lamp.
    enum State { Off = "off", On = "on" }
}
symbols! {
    /// Events of a lamp.
    enum Event { Press = "press", Break = "break" }
}
symbols! {
    /// Actions of a lamp.
    enum Action { Light = "light" }
}

type Lamp = Chart<State, Event, Action>;

fn load(off: &str, on: &str) -> Result<Lamp, Error> {
    Lamp::load(&format!(r#"{{ "initial": "off", "states": {{ "off": {off}, "on": {on} }} }}"#))
}

const OFF: &str = r#"{ "on": { "press": { "to": "on", "do": ["light"] } }, "ignore": ["break"] }"#;
const ON: &str = r#"{ "on": { "press": { "to": "off" } }, "ignore": ["break"] }"#;

#[test]
fn load_valid_chart() {
    let chart = load(OFF, ON).expect("the chart is valid");
    let step = chart.step(chart.initial(), Event::Press);
    assert_eq!((step.next, step.actions), (State::On, &[Action::Light][..]));
    assert_eq!(chart.step(State::On, Event::Break).next, State::On);
}

#[test]
fn load_rejects_errors() {
    let missing = load(r#"{ "on": { "press": { "to": "on" } } }"#, ON);
    assert_eq!(missing.unwrap_err(), Error::MissingEvent { state: "off", event: "break" });
    let unreachable = load(r#"{ "ignore": ["press", "break"] }"#, ON);
    assert_eq!(unreachable.unwrap_err(), Error::Unreachable { state: "on" });
    let twice =
        load(OFF, r#"{ "on": { "press": { "to": "off" } }, "ignore": ["press", "break"] }"#);
    assert_eq!(twice.unwrap_err(), Error::ConflictingEvent { state: "on", event: "press" });
    for (text, part) in [
        (r#"{ "on": { "pull": { "to": "on" } }, "ignore": ["press", "break"] }"#, "event 'pull'"),
        (r#"{ "on": { "press": { "to": "up" } }, "ignore": ["break"] }"#, "state 'up'"),
        (
            r#"{ "on": { "press": { "to": "on", "do": ["sing"] } }, "ignore": ["break"] }"#,
            "action 'sing'",
        ),
    ] {
        let message = load(text, ON).unwrap_err().to_string();
        assert!(message.contains(part), "{message}");
    }
    assert!(matches!(Lamp::load("{").unwrap_err(), Error::Syntax { .. }));
}
