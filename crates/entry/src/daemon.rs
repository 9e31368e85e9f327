//! Command-line arguments and exit codes that the daemons share.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;

/// Exit code for invalid settings.
const BAD_SETTINGS: u8 = 2;
/// Exit code for a shutdown that aborted calls.
const CALLS_CUT: u8 = 3;

/// Command-line arguments of a daemon.
#[derive(Debug, Args)]
pub struct Arguments {
    /// Settings file in JSON with comments.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Checks the settings, prints every error and exits.
    #[arg(long)]
    pub check: bool,
}

/// How a daemon ended, as its exit code reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It stopped after all calls had ended, or only checked its settings.
    Clean,
    /// It stopped and aborted calls in progress.
    CallsCut,
    /// Its settings are invalid.
    BadSettings,
    /// It could not start or run.
    Failed,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Clean => Self::SUCCESS,
            Exit::CallsCut => Self::from(CALLS_CUT),
            Exit::BadSettings => Self::from(BAD_SETTINGS),
            Exit::Failed => Self::FAILURE,
        }
    }
}
