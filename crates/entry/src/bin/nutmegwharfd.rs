//! The daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use derive_more::{Display, Error, From};
use entry::settings::{Faults, Settings};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for settings that do not fit.
const BAD_SETTINGS: u8 = 2;
/// Exit code for a stop that cut calls.
const CUT: u8 = 3;

/// Serves callers of a deployment and decides with its peers where their requests go.
#[derive(Debug, Parser)]
#[command(name = "nutmegwharfd", version)]
struct Arguments {
    /// Settings file, JSON with comments.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Checks the settings, tells every fault, and exits.
    #[arg(long)]
    check: bool,
}

/// A daemon that cannot run.
#[derive(Debug, Display, Error, From)]
enum Fault {
    #[display("settings cannot be read: {_0}")]
    Read(std::io::Error),
    #[display("{_0}")]
    Settings(Faults),
    #[display("{_0}")]
    Logs(entry::logs::Fault),
    #[display("{_0}")]
    Start(entry::Fault),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(&arguments) {
        Ok(code) => code,
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::from(if matches!(fault, Fault::Settings(_)) { BAD_SETTINGS } else { 1 })
        }
    }
}

fn run(arguments: &Arguments) -> Result<ExitCode, Fault> {
    let settings = Settings::parse(&std::fs::read_to_string(&arguments.settings)?)?;
    if arguments.check {
        println!("settings are good");
        return Ok(ExitCode::SUCCESS);
    }
    entry::logs::start(settings.log)?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<ExitCode, Fault> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let handle = entry::start(settings).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => {
                if let Err(fault) = handle.rotate().await {
                    log::error!("event=keys_not_rotated error=\"{fault}\"");
                }
            }
        }
    }
    log::info!("event=stopping");
    let cut = tokio::select! {
        cut = handle.stop() => cut,
        // A second signal ends the daemon at once.
        _ = terminate.recv() => return Ok(ExitCode::from(CUT)),
        _ = interrupt.recv() => return Ok(ExitCode::from(CUT)),
    };
    Ok(if cut == 0 { ExitCode::SUCCESS } else { ExitCode::from(CUT) })
}
