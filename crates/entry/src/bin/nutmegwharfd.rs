//! The `nutmegwharfd` executable: reads settings, starts an entry and handles signals.

use std::process::ExitCode;

use clap::Parser;
use derive_more::{Display, Error, From};
use entry::daemon::{Arguments, Exit};
use entry::settings::{Faults, Settings};
use tokio::signal::unix::{SignalKind, signal};

/// Serves callers of a deployment and decides with its peers where their requests go.
#[derive(Debug, Parser)]
#[command(name = "nutmegwharfd", version)]
struct Command {
    #[command(flatten)]
    arguments: Arguments,
}

/// Why the daemon cannot run.
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
    let Command { arguments } = Command::parse();
    let exit = run(&arguments).unwrap_or_else(|fault| {
        eprintln!("{fault}");
        if matches!(fault, Fault::Settings(_)) { Exit::BadSettings } else { Exit::Failed }
    });
    exit.into()
}

fn run(arguments: &Arguments) -> Result<Exit, Fault> {
    let settings = Settings::parse(&std::fs::read_to_string(&arguments.settings)?)?;
    if arguments.check {
        println!("settings are good");
        return Ok(Exit::Clean);
    }
    entry::logs::start(settings.log)?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<Exit, Fault> {
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
    let aborted_calls = tokio::select! {
        aborted_calls = handle.stop() => aborted_calls,
        // A second signal ends the daemon at once.
        _ = terminate.recv() => return Ok(Exit::CallsCut),
        _ = interrupt.recv() => return Ok(Exit::CallsCut),
    };
    Ok(if aborted_calls == 0 { Exit::Clean } else { Exit::CallsCut })
}
