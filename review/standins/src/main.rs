//! Stand-ins of clients, workers and the platform for the cases of the review, and the cases.
//!
//! `standins CASE` plays a case and writes `review/N/record.txt`. It exits with 1 if the rule was
//! broken, with 0 if it held and with 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod client;
mod cold;
mod copies;
mod fleet;
mod http;
mod json;
mod memory;
mod poison;
mod record;
mod setup;
mod stale;
mod store;
mod worker;

use std::process::ExitCode;

/// Result of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = match case.as_str() {
        "copies" => copies::play(trouble),
        "cold" => cold::play(trouble),
        "memory" => memory::play(trouble),
        "stale" => stale::play(trouble),
        "poison" => poison::play(trouble),
        _ => Err(format!("no case is named {case:?}")),
    };
    match verdict {
        Ok(Verdict::Held) => {
            println!("held");
            ExitCode::from(0)
        }
        Ok(Verdict::Broken) => {
            println!("BROKEN");
            ExitCode::from(1)
        }
        Err(fault) => {
            println!("could not run: {fault}");
            ExitCode::from(2)
        }
    }
}
