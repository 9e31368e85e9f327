//! Reads fields by their place and collects every fault.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use derive_more::{Display, Error};
use jsonc_parser::ParseOptions;
use log::LevelFilter;
use serde_json::{Map, Value};

use super::{Operator, Source};

/// Every fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{}", join(_0))]
pub struct Faults(#[error(not(source))] pub Vec<Fault>);

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{place}: {cause}")]
pub struct Fault {
    /// The field, as a path.
    pub place: String,
    /// What is wrong with it.
    pub cause: Cause,
}

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Cause {
    /// The file is not JSON with comments.
    #[display("does not parse: {account}")]
    Syntax {
        /// The parser's account.
        account: String,
    },
    /// The field is needed.
    #[display("is missing")]
    Missing,
    /// No such field exists.
    #[display("is not a known field")]
    Unknown,
    /// The field has another shape.
    #[display("must be {wanted}")]
    Shape {
        /// The shape.
        wanted: Shape,
    },
    /// The number is outside its bounds.
    #[display("must be from {low} to {high}")]
    Bounds {
        /// The least value.
        low: u64,
        /// The greatest value.
        high: u64,
    },
}

/// The shape of a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Shape {
    /// A text with at least one character.
    #[display("a text that is not empty")]
    Text,
    /// An IP address with a port.
    #[display("an IP address with a port, such as 127.0.0.1:7001")]
    Address,
    /// A list of addresses.
    #[display("a list of IP addresses with ports")]
    Addresses,
    /// A length of time.
    #[display("a length of time, such as \"2s\" or \"250ms\"")]
    Duration,
    /// A whole number.
    #[display("a whole number")]
    Count,
    /// A number.
    #[display("a number that is not negative")]
    Number,
    /// A level of logs.
    #[display("one of off, error, warn, info, debug, trace")]
    Level,
    /// PEM text or a file of it.
    #[display("{{ \"pem\": TEXT }} or {{ \"file\": PATH }}")]
    Source,
    /// A list of operators.
    #[display("a list of {{ \"name\", \"token\", \"commands\" }}")]
    Operators,
    /// An object.
    #[display("an object")]
    Object,
}

/// A settings file that is being read.
#[derive(Debug)]
pub struct Reader {
    root: Map<String, Value>,
    used: BTreeSet<String>,
    faults: Vec<Fault>,
}

impl Reader {
    /// Parses the text of a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not an object of JSON with comments.
    pub fn new(text: &str) -> Result<Self, Faults> {
        let fault = |cause| Faults(vec![Fault { place: "file".into(), cause }]);
        let parsed: Result<Value, _> =
            jsonc_parser::parse_to_serde_value(text, &ParseOptions::default());
        match parsed {
            Ok(Value::Object(root)) => Ok(Self { root, used: BTreeSet::new(), faults: Vec::new() }),
            Ok(_) => Err(fault(Cause::Shape { wanted: Shape::Object })),
            Err(error) => Err(fault(Cause::Syntax { account: error.to_string() })),
        }
    }

    /// Tells whether a field is present.
    pub fn contains(&self, place: &str) -> bool {
        self.find(place).is_some()
    }

    /// Reads a text that is needed.
    pub fn required_text(&mut self, place: &str) -> String {
        let read =
            |value: &Value| value.as_str().filter(|text| !text.is_empty()).map(str::to_owned);
        self.required(place, Shape::Text, read).unwrap_or_default()
    }

    /// Reads an address that is needed.
    pub fn required_address(&mut self, place: &str) -> SocketAddr {
        let nowhere = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        self.required(place, Shape::Address, address).unwrap_or(nowhere)
    }

    /// Reads a list of addresses, empty if absent.
    pub fn addresses(&mut self, place: &str) -> Vec<SocketAddr> {
        let read = |value: &Value| value.as_array()?.iter().map(address).collect();
        self.optional(place, Shape::Addresses, read).unwrap_or_default()
    }

    /// Reads a length of time.
    pub fn duration(&mut self, place: &str, default: Duration) -> Duration {
        let read = |value: &Value| humantime_serde::deserialize(value).ok();
        self.optional(place, Shape::Duration, read).unwrap_or(default)
    }

    /// Reads a number within bounds.
    pub fn count(&mut self, place: &str, default: u64, low: u64, high: u64) -> u64 {
        let count = self.optional(place, Shape::Count, Value::as_u64).unwrap_or(default);
        if !(low..=high).contains(&count) {
            self.fault(place, Cause::Bounds { low, high });
        }
        count
    }

    /// Reads a number that is not negative, with or without a fraction.
    pub fn number(&mut self, place: &str, default: f64) -> f64 {
        let read = |value: &Value| value.as_f64().filter(|number| *number >= 0.0);
        self.optional(place, Shape::Number, read).unwrap_or(default)
    }

    /// Reads a level of logs.
    pub fn level(&mut self, place: &str, default: LevelFilter) -> LevelFilter {
        let read = |value: &Value| value.as_str()?.parse().ok();
        self.optional(place, Shape::Level, read).unwrap_or(default)
    }

    /// Reads a source of PEM text that is needed.
    pub fn required_source(&mut self, place: &str) -> Source {
        let read = |value: &Value| {
            let object = value.as_object().filter(|object| object.len() == 1)?;
            let text = |name: &str| object.get(name).and_then(Value::as_str);
            let inline = text("pem").map(|pem| Source::Inline(pem.into()));
            inline.or_else(|| text("file").map(|path| Source::File(path.into())))
        };
        self.required(place, Shape::Source, read).unwrap_or(Source::Inline(String::new()))
    }

    /// Reads the operators, none if absent.
    pub fn operators(&mut self, place: &str) -> Vec<Operator> {
        let read = |value: &Value| value.as_array()?.iter().map(operator).collect();
        self.optional(place, Shape::Operators, read).unwrap_or_default()
    }

    /// Returns the settings.
    ///
    /// # Errors
    ///
    /// Returns every fault if there are any.
    pub fn finish<T>(mut self, settings: T) -> Result<T, Faults> {
        let mut unknown = Vec::new();
        unused(&self.root, "", &self.used, &mut unknown);
        let unknown = unknown.into_iter().map(|place| Fault { place, cause: Cause::Unknown });
        self.faults.extend(unknown);
        if self.faults.is_empty() { Ok(settings) } else { Err(Faults(self.faults)) }
    }

    fn required<T>(
        &mut self,
        place: &str,
        wanted: Shape,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        if !self.contains(place) {
            self.used.insert(place.into());
            self.fault(place, Cause::Missing);
            return None;
        }
        self.optional(place, wanted, read)
    }

    fn optional<T>(
        &mut self,
        place: &str,
        wanted: Shape,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        self.used.insert(place.into());
        let value = read(self.find(place)?);
        if value.is_none() {
            self.fault(place, Cause::Shape { wanted });
        }
        value
    }

    fn find(&self, place: &str) -> Option<&Value> {
        let mut parts = place.split('.');
        let first = self.root.get(parts.next()?)?;
        parts.try_fold(first, |value, part| value.get(part))
    }

    fn fault(&mut self, place: &str, cause: Cause) {
        self.faults.push(Fault { place: place.into(), cause });
    }
}

/// Collects the places of fields that nothing has read.
fn unused(
    object: &Map<String, Value>,
    prefix: &str,
    used: &BTreeSet<String>,
    found: &mut Vec<String>,
) {
    for (name, value) in object {
        let place = format!("{prefix}{name}");
        let below = format!("{place}.");
        if used.contains(&place) {
            continue;
        }
        match value.as_object() {
            Some(inner) if used.iter().any(|one| one.starts_with(&below)) => {
                unused(inner, &below, used, found);
            }
            _ => found.push(place),
        }
    }
}

fn address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

fn operator(value: &Value) -> Option<Operator> {
    let object = value.as_object()?;
    let text = |name: &str| {
        let text = object.get(name)?.as_str()?;
        (!text.is_empty()).then(|| text.to_owned())
    };
    let known = ["name", "token", "commands"];
    if object.keys().any(|name| !known.contains(&name.as_str())) {
        return None;
    }
    let commands = object.get("commands").map_or(Some(false), Value::as_bool)?;
    Some(Operator { name: text("name")?, token: text("token")?, commands })
}

fn join(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
