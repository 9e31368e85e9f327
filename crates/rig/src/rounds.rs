//! Table of the daily reports of the platform's bench, for comparing rounds.
//!
//! The `rounds` command uses it.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use serde::Deserialize;

/// Smallest worth with which a price is listed in the table.
const MIN_SHOWN_WORTH: f64 = 0.005;

/// The report of one day.
#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    /// Worth of the day after deduction of the prices.
    #[serde(rename = "G")]
    pub worth: f64,
    /// Earned share of the possible credit.
    pub served: f64,
    /// Share of the requests that were refused.
    pub refused: f64,
    /// Share of the requests that got no response.
    pub failed: f64,
    /// Components of the worth: name, weight and value.
    parts: Vec<(String, f64, f64)>,
    /// Deductions from the worth: name, amount and worth.
    prices: Vec<(String, f64, f64)>,
    /// Violated rules by name.
    breaks: std::collections::BTreeMap<String, serde_json::Value>,
}

/// Failure to read a report.
#[derive(Debug, Display, Error)]
pub enum Fault {
    /// The file could not be read.
    #[display("{}: {cause}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the file system.
        cause: std::io::Error,
    },
    /// The content of the file is not a report.
    #[display("{}: not a report: {cause}", path.display())]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// Error of the JSON parser.
        cause: serde_json::Error,
    },
}

impl Report {
    /// Reads the report of one day.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or its content is not a report.
    pub fn read(path: &Path) -> Result<Self, Fault> {
        let owned = || path.to_owned();
        let text =
            std::fs::read_to_string(path).map_err(|cause| Fault::Read { path: owned(), cause })?;
        serde_json::from_str(&text).map_err(|cause| Fault::Malformed { path: owned(), cause })
    }

    /// Returns the text of the prices of at least `MIN_SHOWN_WORTH`, in descending order.
    fn prices(&self) -> String {
        let mut shown: Vec<_> =
            self.prices.iter().filter(|price| price.2 >= MIN_SHOWN_WORTH).collect();
        shown.sort_by(|left, right| right.2.total_cmp(&left.2));
        let texts: Vec<String> =
            shown.iter().map(|(name, _, worth)| format!("{name} {worth:.3}")).collect();
        texts.join(", ")
    }

    /// Returns the row of the table, without the line end.
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

/// Returns a Markdown table with one named row for each report, followed by the mean worth.
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
