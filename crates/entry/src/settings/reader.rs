//! Reads fields of a settings file by path and collects every fault.
//!
//! The settings of other daemons use it, too.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use derive_more::{Display, Error};
use jsonc_parser::ParseOptions;
use log::LevelFilter;
use serde_json::{Map, Value};

use super::{Operator, Source};

/// All faults of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{}", join_lines(_0))]
pub struct Faults(#[error(not(source))] pub Vec<Fault>);

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{path}: {cause}")]
pub struct Fault {
    /// Path of the field, with dots between names.
    pub path: String,
    /// What is wrong with it.
    pub cause: Cause,
}

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Cause {
    /// The file is not JSON with comments.
    #[display("does not parse: {message}")]
    Syntax {
        /// The parser's message.
        message: String,
    },
    /// The field is required but absent.
    #[display("is missing")]
    Missing,
    /// The file has a field that is not a setting.
    #[display("is not a known field")]
    Unknown,
    /// The value has the wrong shape.
    #[display("must be {expected}")]
    Shape {
        /// The expected shape.
        expected: Shape,
    },
    /// The number is out of range.
    #[display("must be from {min} to {max}")]
    Bounds {
        /// Smallest valid value.
        min: u64,
        /// Largest valid value.
        max: u64,
    },
}

/// The expected shape of a value, worded for error messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Shape {
    /// A string that is not empty.
    #[display("a text that is not empty")]
    Text,
    /// An IP address with a port.
    #[display("an IP address with a port, such as 127.0.0.1:7001")]
    Address,
    /// A list of addresses.
    #[display("a list of IP addresses with ports")]
    Addresses,
    /// A duration.
    #[display("a length of time, such as \"2s\" or \"250ms\"")]
    Duration,
    /// An integer that is not negative.
    #[display("a whole number")]
    Count,
    /// A number.
    #[display("a number that is not negative")]
    Number,
    /// A log level.
    #[display("one of off, error, warn, info, debug, trace")]
    Level,
    /// PEM text, or the path of a file that contains it.
    #[display("{{ \"pem\": TEXT }} or {{ \"file\": PATH }}")]
    Source,
    /// A list of operators.
    #[display("a list of {{ \"name\", \"token\", \"commands\" }}")]
    Operators,
    /// An object.
    #[display("an object")]
    Object,
}

/// A settings file that is being read, with the paths read so far and the faults found.
#[derive(Debug)]
pub struct Reader {
    root: Map<String, Value>,
    known: BTreeSet<String>,
    faults: Vec<Fault>,
}

impl Reader {
    /// Parses the text of a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not an object of JSON with comments.
    pub fn new(text: &str) -> Result<Self, Faults> {
        let fault = |cause| Faults(vec![Fault { path: "file".into(), cause }]);
        let parsed: Result<Value, _> =
            jsonc_parser::parse_to_serde_value(text, &ParseOptions::default());
        match parsed {
            Ok(Value::Object(root)) => {
                Ok(Self { root, known: BTreeSet::new(), faults: Vec::new() })
            }
            Ok(_) => Err(fault(Cause::Shape { expected: Shape::Object })),
            Err(error) => Err(fault(Cause::Syntax { message: error.to_string() })),
        }
    }

    /// Returns whether a field is present.
    pub fn contains(&self, path: &str) -> bool {
        self.find(path).is_some()
    }

    /// Reads a required string.
    pub fn required_text(&mut self, path: &str) -> String {
        let read =
            |value: &Value| value.as_str().filter(|text| !text.is_empty()).map(str::to_owned);
        self.required(path, Shape::Text, read).unwrap_or_default()
    }

    /// Reads a required address.
    pub fn required_address(&mut self, path: &str) -> SocketAddr {
        let placeholder = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        self.required(path, Shape::Address, address).unwrap_or(placeholder)
    }

    /// Reads a list of addresses; an absent field gives an empty list.
    pub fn addresses(&mut self, path: &str) -> Vec<SocketAddr> {
        let read = |value: &Value| value.as_array()?.iter().map(address).collect();
        self.optional(path, Shape::Addresses, read).unwrap_or_default()
    }

    /// Reads a duration.
    pub fn duration(&mut self, path: &str, default: Duration) -> Duration {
        let read = |value: &Value| humantime_serde::deserialize(value).ok();
        self.optional(path, Shape::Duration, read).unwrap_or(default)
    }

    /// Reads an integer from `min` to `max`.
    pub fn count(&mut self, path: &str, default: u64, min: u64, max: u64) -> u64 {
        let count = self.optional(path, Shape::Count, Value::as_u64).unwrap_or(default);
        if !(min..=max).contains(&count) {
            self.record(path, Cause::Bounds { min, max });
        }
        count
    }

    /// Reads a number that is not negative, with or without a fraction.
    pub fn number(&mut self, path: &str, default: f64) -> f64 {
        let read = |value: &Value| value.as_f64().filter(|number| *number >= 0.0);
        self.optional(path, Shape::Number, read).unwrap_or(default)
    }

    /// Reads a log level.
    pub fn level(&mut self, path: &str, default: LevelFilter) -> LevelFilter {
        let read = |value: &Value| value.as_str()?.parse().ok();
        self.optional(path, Shape::Level, read).unwrap_or(default)
    }

    /// Reads a required source of PEM text.
    pub fn required_source(&mut self, path: &str) -> Source {
        let read = |value: &Value| {
            let object = value.as_object().filter(|object| object.len() == 1)?;
            let text = |name: &str| object.get(name).and_then(Value::as_str);
            let inline = text("pem").map(|pem| Source::Inline(pem.into()));
            inline.or_else(|| text("file").map(|path| Source::File(path.into())))
        };
        self.required(path, Shape::Source, read).unwrap_or(Source::Inline(String::new()))
    }

    /// Reads the list of operators; an absent field gives an empty list.
    pub fn operators(&mut self, path: &str) -> Vec<Operator> {
        let read = |value: &Value| value.as_array()?.iter().map(operator).collect();
        self.optional(path, Shape::Operators, read).unwrap_or_default()
    }

    /// Returns the settings if the file has no faults; fields that were never read are faults.
    ///
    /// # Errors
    ///
    /// Returns all faults, including unknown fields.
    pub fn finish<T>(mut self, settings: T) -> Result<T, Faults> {
        let mut unknown = Vec::new();
        collect_unknown(&self.root, "", &self.known, &mut unknown);
        let unknown = unknown.into_iter().map(|path| Fault { path, cause: Cause::Unknown });
        self.faults.extend(unknown);
        if self.faults.is_empty() { Ok(settings) } else { Err(Faults(self.faults)) }
    }

    fn required<T>(
        &mut self,
        path: &str,
        expected: Shape,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        if !self.contains(path) {
            self.known.insert(path.into());
            self.record(path, Cause::Missing);
            return None;
        }
        self.optional(path, expected, read)
    }

    fn optional<T>(
        &mut self,
        path: &str,
        expected: Shape,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        self.known.insert(path.into());
        let value = read(self.find(path)?);
        if value.is_none() {
            self.record(path, Cause::Shape { expected });
        }
        value
    }

    fn find(&self, path: &str) -> Option<&Value> {
        let mut parts = path.split('.');
        let first = self.root.get(parts.next()?)?;
        parts.try_fold(first, |value, part| value.get(part))
    }

    fn record(&mut self, path: &str, cause: Cause) {
        self.faults.push(Fault { path: path.into(), cause });
    }
}

/// Collects the paths of fields that were not read.
fn collect_unknown(
    object: &Map<String, Value>,
    prefix: &str,
    known: &BTreeSet<String>,
    unknown: &mut Vec<String>,
) {
    for (name, value) in object {
        let path = format!("{prefix}{name}");
        let nested_prefix = format!("{path}.");
        if known.contains(&path) {
            continue;
        }
        match value.as_object() {
            Some(inner) if known.iter().any(|path| path.starts_with(&nested_prefix)) => {
                collect_unknown(inner, &nested_prefix, known, unknown);
            }
            _ => unknown.push(path),
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
    let fields = ["name", "token", "commands"];
    if object.keys().any(|name| !fields.contains(&name.as_str())) {
        return None;
    }
    let commands = object.get("commands").map_or(Some(false), Value::as_bool)?;
    Some(Operator { name: text("name")?, token: text("token")?, commands })
}

fn join_lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
