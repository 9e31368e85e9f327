//! The operators' command-line tool.

mod client;
mod print;

use std::io::IsTerminal;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;

use client::{Answer, Client, Fault};

/// Exit code for a statement that does not parse or fit.
const EXIT_REFUSED: u8 = 2;
/// Exit code for a change whose outcome is not known.
const EXIT_UNKNOWN: u8 = 3;
/// Exit code for an entry that cannot be reached.
const EXIT_UNREACHABLE: u8 = 4;

/// Asks a deployment what is serving where, and orders changes.
#[derive(Debug, Parser)]
#[command(name = "nutmegwharf", version, args_conflicts_with_subcommands = true, after_help = lang::help::SUMMARY)]
struct Arguments {
    /// An entry's address for operators.
    #[arg(long, env = "NUTMEGWHARF_ENTRY", default_value = "127.0.0.1:7101")]
    entry: std::net::SocketAddr,
    /// The operator's token.
    #[arg(long, env = "NUTMEGWHARF_TOKEN", default_value = "", hide_env_values = true)]
    token: String,
    /// Prints JSON for programs.
    #[arg(long)]
    json: bool,
    /// Tells whether a command would be accepted, and changes nothing.
    #[arg(long)]
    dry_run: bool,
    /// Waits until an accepted change is in force at every live entry.
    #[arg(long)]
    wait: bool,
    /// Prints a completion script for a shell and exits.
    #[arg(long, value_name = "SHELL")]
    completion: Option<Shell>,
    /// The statement; its words are joined by blanks.
    statement: Vec<String>,
    #[command(subcommand)]
    local: Option<Local>,
}

/// What the tool does by itself, without an entry.
#[derive(Debug, Subcommand)]
enum Local {
    /// Reads nodes' logs from standard input and tells why a request failed or was late.
    Explain {
        /// The request's identity, as the caller sent it.
        id: String,
    },
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Some(shell) = arguments.completion {
        clap_complete::generate(
            shell,
            &mut Arguments::command(),
            "nutmegwharf",
            &mut std::io::stdout(),
        );
        return ExitCode::SUCCESS;
    }
    if let Some(Local::Explain { id }) = &arguments.local {
        return explain(id, arguments.json);
    }
    match run(&arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::from(exit_code(&fault))
        }
    }
}

fn explain(id: &str, json: bool) -> ExitCode {
    match trace::Explanation::read(id, std::io::stdin().lock()) {
        Ok(explanation) => {
            print::explanation(&explanation, json);
            ExitCode::SUCCESS
        }
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::from(EXIT_REFUSED)
        }
    }
}

async fn run(arguments: &Arguments) -> Result<(), Fault> {
    let text = arguments.statement.join(" ");
    lang::parse(&text).map_err(Fault::Syntax)?;
    let client = Client { entry: arguments.entry, token: arguments.token.clone() };
    let answer = client.statement(&text, arguments.dry_run).await?;
    print::answer(&answer, arguments.json, std::io::stdout().is_terminal());
    if let (true, Answer::Accepted { number, .. }) = (arguments.wait, &answer) {
        client.wait(*number).await?;
    }
    Ok(())
}

fn exit_code(fault: &Fault) -> u8 {
    match fault {
        Fault::Syntax(_) | Fault::Refused { .. } => EXIT_REFUSED,
        Fault::Unknown { .. } | Fault::NotInForce { .. } => EXIT_UNKNOWN,
        Fault::Unreachable(_) | Fault::Answer => EXIT_UNREACHABLE,
    }
}
