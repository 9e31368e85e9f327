//! Points in time and durations. Callers pass the current time in; nothing here reads a clock.

use std::ops::{Add, Sub};

use crate::value;

value! {
    /// A point in time, in microseconds since an origin chosen by the caller.
    #[derive(Default)]
    pub struct Moment(pub u64);

    /// A duration in microseconds.
    #[derive(Default)]
    pub struct Span(pub u64);
}

impl Moment {
    /// Returns the whole milliseconds since the origin.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// A duration of zero.
    pub const ZERO: Self = Self(0);

    /// Creates a span of `value` milliseconds.
    #[must_use]
    pub const fn millis(value: u64) -> Self {
        Self(value.saturating_mul(1_000))
    }

    /// Creates a span of `value` seconds.
    #[must_use]
    pub const fn seconds(value: u64) -> Self {
        Self(value.saturating_mul(1_000_000))
    }

    /// Returns the duration in whole milliseconds.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the duration in seconds.
    #[must_use]
    pub fn as_seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Multiplies the duration by `factor`, which must not be negative.
    #[must_use]
    pub fn scale(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }
}

impl Add<Span> for Moment {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Moment {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl From<std::time::Duration> for Span {
    fn from(value: std::time::Duration) -> Self {
        Self(u64::try_from(value.as_micros()).unwrap_or(u64::MAX))
    }
}

impl From<Span> for std::time::Duration {
    fn from(value: Span) -> Self {
        Self::from_micros(value.0)
    }
}
