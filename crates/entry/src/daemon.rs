//! What the daemons have in common: their arguments and exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;

/// Exit code for settings that do not fit.
const BAD_SETTINGS: u8 = 2;
/// Exit code for a stop that cut calls.
const CUT: u8 = 3;

/// Arguments of a daemon.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Settings file, JSON with comments.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Checks the settings, tells every fault, and exits.
    #[arg(long)]
    pub check: bool,
}

/// How a daemon ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It did all that it was asked for.
    Clean,
    /// It stopped and cut calls.
    CallsCut,
    /// Its settings do not fit.
    BadSettings,
    /// It could not run.
    Failed,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Clean => Self::SUCCESS,
            Exit::CallsCut => Self::from(CUT),
            Exit::BadSettings => Self::from(BAD_SETTINGS),
            Exit::Failed => Self::FAILURE,
        }
    }
}
