//! The command-line tool for operators.

mod client;
mod print;

use std::io::IsTerminal;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;

use client::{Answer, Client, Fault};

/// Exit code for a statement that is invalid or was refused.
const EXIT_REFUSED: u8 = 2;
/// Exit code for a change that may have been accepted or is not in force everywhere yet.
const EXIT_UNKNOWN: u8 = 3;
/// Exit code for an entry that is unreachable or gives an invalid answer.
const EXIT_UNREACHABLE: u8 = 4;

/// Queries a deployment and changes its configuration.
#[derive(Debug, Parser)]
#[command(name = "nutmegwharf", version, args_conflicts_with_subcommands = true, after_help = lang::help::SUMMARY)]
struct Arguments {
    /// Address of an entry for operators.
    #[arg(long, env = "NUTMEGWHARF_ENTRY", default_value = "127.0.0.1:7101")]
    entry: std::net::SocketAddr,
    /// Token that identifies the operator.
    #[arg(long, env = "NUTMEGWHARF_TOKEN", default_value = "", hide_env_values = true)]
    token: String,
    /// Prints the output as JSON.
    #[arg(long)]
    json: bool,
    /// Checks whether a command would be accepted, without executing it.
    #[arg(long)]
    dry_run: bool,
    /// Waits until an accepted change is in force at all live entries.
    #[arg(long)]
    wait: bool,
    /// Prints a completion script for a shell and exits.
    #[arg(long, value_name = "SHELL")]
    completion: Option<Shell>,
    /// Statement to send; its words are joined by spaces.
    statement: Vec<String>,
    #[command(subcommand)]
    local: Option<Local>,
}

/// Commands that need no entry.
#[derive(Debug, Subcommand)]
enum Local {
    /// Reads the logs of nodes from standard input and explains why a request failed or was late.
    Explain {
        /// Identity of the request, as the caller sent it.
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
