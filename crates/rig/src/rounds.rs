//! Turns reports of days that were played into a table, so that rounds can be compared.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use serde::Deserialize;

/// Worth from which on a price has a column of its own words.
const MIN_SHOWN_WORTH: f64 = 0.005;

/// The report of one day.
#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    /// Worth of the day, less prices.
    #[serde(rename = "G")]
    pub worth: f64,
    /// Share of the credit that was earned.
    pub served: f64,
    /// Share of the requests that ended refused.
    pub refused: f64,
    /// Share of the requests that ended without an answer.
    pub failed: f64,
    /// What the worth is made of: name, weight, value.
    parts: Vec<(String, f64, f64)>,
    /// What is taken off: name, amount, worth.
    prices: Vec<(String, f64, f64)>,
    /// Rules that were broken.
    breaks: std::collections::BTreeMap<String, serde_json::Value>,
}

/// A report that cannot be used.
#[derive(Debug, Display, Error)]
pub enum Fault {
    /// The file cannot be read.
    #[display("{}: {cause}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's account.
        cause: std::io::Error,
    },
    /// The file is no report.
    #[display("{}: not a report: {cause}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The library's account.
        cause: serde_json::Error,
    },
}

impl Report {
    /// Reads the report of one day.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is no report.
    pub fn read(path: &Path) -> Result<Self, Fault> {
        let owned = || path.to_owned();
        let text =
            std::fs::read_to_string(path).map_err(|cause| Fault::Read { path: owned(), cause })?;
        serde_json::from_str(&text).map_err(|cause| Fault::Malformed { path: owned(), cause })
    }

    /// Returns the prices that show, the greatest first.
    fn prices(&self) -> String {
        let mut shown: Vec<_> =
            self.prices.iter().filter(|price| price.2 >= MIN_SHOWN_WORTH).collect();
        shown.sort_by(|left, right| right.2.total_cmp(&left.2));
        let texts: Vec<String> =
            shown.iter().map(|(name, _, worth)| format!("{name} {worth:.3}")).collect();
        texts.join(", ")
    }

    fn row(&self, name: &str) -> String {
        let mut row = format!("| {name} | {:.3} | {:.3} ", self.worth, self.served);
        for (_, _, value) in &self.parts {
            let _ = write!(row, "| {value:.3} ");
        }
        let broken: Vec<&str> = self.breaks.keys().map(String::as_str).collect();
        let _ = write!(row, "| {:.3} | {:.3} | {} ", self.refused, self.failed, self.prices());
        let _ = write!(row, "| {} |", broken.join(", "));
        row
    }
}

/// Returns a table of reports, each with its name, and the mean of their worths.
#[must_use]
pub fn table(reports: &[(String, Report)]) -> String {
    let Some((_, first)) = reports.first() else { return String::new() };
    let parts: Vec<&str> = first.parts.iter().map(|part| part.0.as_str()).collect();
    let columns = parts.len() + 7;
    let mut text = format!(
        "| day | worth | served | {} | refused | failed | prices | rules broken |\n",
        parts.join(" | ")
    );
    text.push_str(&format!("|{}\n", "---|".repeat(columns)));
    for (name, report) in reports {
        text.push_str(&report.row(name));
        text.push('\n');
    }
    let sum: f64 = reports.iter().map(|(_, report)| report.worth).sum();
    let _ = writeln!(text, "\nMean worth {:.3}.", sum / reports.len() as f64);
    text
}
