//! Command line of the test rig: local deployments, measurements and comparisons.

use std::process::ExitCode;
use std::time::Duration;

use base::derive::Symbol;
use clap::{Parser, Subcommand};
use derive_more::{Display, Error, From};
use rig::compare::{self, Name, Scenario, Shape, Trace};
use rig::fleet::{self, report};
use rig::local::{Local, Plan, SERVICE, TOKEN};
use rig::rounds::{self, Report};
use rig::upstream::Behavior;
use rig::{bench, load, slopes};

/// Number of caller connections in latency measurements.
const CALLERS: usize = 16;
/// Virtual seconds for each cluster size in the `bench` command.
const BENCH_SECONDS: u64 = 60;
/// Calls per second in the `bench` command: the share of one of 16 entries in 45,000.
const BENCH_RATE: f64 = 2_800.0;
/// Default first port of a local deployment.
const FIRST_PORT: u16 = 17_000;

/// Runs local deployments with simulated upstreams and store, and measurements of them.
#[derive(Debug, Parser)]
#[command(name = "rig", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a store, upstreams and entries on loopback addresses.
    Local {
        /// Stops after this time; without it, on ctrl-C.
        #[arg(long = "for", value_name = "TIME", value_parser = parse_time)]
        time: Option<Duration>,
        /// Number of entries to run.
        #[arg(long, default_value_t = 4)]
        entries: usize,
        /// First port of the deployment.
        #[arg(long, default_value_t = FIRST_PORT)]
        port: u16,
    },
    /// Measures the latency that an entry adds, against direct calls in the same run.
    Latency {
        /// Calls per second.
        #[arg(long, default_value_t = 2_000.0)]
        rate: f64,
        /// Duration of each half of a round.
        #[arg(long = "for", value_name = "TIME", value_parser = parse_time, default_value = "3s")]
        time: Duration,
        /// Number of rounds, each with direct calls and then calls through an entry.
        #[arg(long, default_value_t = 3)]
        rounds: u32,
    },
    /// Runs all measurements and checks them against their bounds.
    Bench {
        /// Writes the results as JSON to this file.
        #[arg(long, value_name = "FILE")]
        out: Option<std::path::PathBuf>,
    },
    /// Measures the control cost of a node for several cluster sizes.
    Slopes {
        /// Virtual seconds for each size.
        #[arg(long, default_value_t = 60)]
        seconds: u64,
        /// Prints the results as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Prints a table of the daily reports that the platform's bench writes.
    Rounds {
        /// Report files, one for each day. The file stems name the rows of the table.
        #[arg(required = true)]
        reports: Vec<std::path::PathBuf>,
    },
    /// Measures how fleets of gateway nodes of several sizes converge and what that costs, in virtual
    /// time.
    Fleet {
        /// Numbers of nodes.
        #[arg(long, value_delimiter = ',', default_values_t = [16, 133, 472, 1_000])]
        nodes: Vec<usize>,
        /// Number of failure domains.
        #[arg(long, default_value_t = 6)]
        domains: usize,
        /// Number of upstreams for each node.
        #[arg(long, default_value_t = 2)]
        upstreams: usize,
        /// Seed of the random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Prints the results as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Compares strategies for choosing upstreams on one seeded trace in virtual time.
    Compare {
        /// Seed of the trace.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of calls in the trace.
        #[arg(long, default_value_t = compare::CALLS)]
        calls: usize,
        /// Runs only this strategy.
        #[arg(long = "way", value_name = "WAY", value_parser = parse_strategy)]
        strategy: Option<Name>,
    },
}

fn parse_time(text: &str) -> Result<Duration, std::num::ParseIntError> {
    text.trim_end_matches('s').parse().map(Duration::from_secs)
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let result = match arguments.command {
        Command::Local { time, entries, port } => local(time, entries, port).await,
        Command::Latency { rate, time, rounds } => latency(rate, time, rounds).await,
        Command::Bench { out } => run_bench(out).await,
        Command::Slopes { seconds, json } => show_slopes(seconds, json),
        Command::Fleet { nodes, domains, upstreams, seed, json } => {
            show_fleet(&nodes, domains, upstreams, seed, json);
            Ok(())
        }
        Command::Rounds { reports } => show_rounds(&reports),
        Command::Compare { seed, calls, strategy } => {
            compare_strategies(seed, calls, strategy);
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::FAILURE
        }
    }
}

fn show_fleet(nodes: &[usize], domains: usize, upstreams: usize, seed: u64, json: bool) {
    let plan = |nodes: usize| {
        let domains = domains.clamp(1, nodes.max(1));
        fleet::Plan { nodes, domains, upstreams: upstreams * nodes, seed }
    };
    let mut rows = Vec::new();
    for scenario in report::Scenario::ALL {
        rows.extend(nodes.iter().map(|nodes| report::run(&plan(*nodes), scenario)));
    }
    match json {
        true => println!("{}", serde_json::to_string(&rows).unwrap_or_default()),
        false => print!("{}", report::table(&rows)),
    }
}

fn show_rounds(paths: &[std::path::PathBuf]) -> Result<(), Fault> {
    let mut reports = Vec::new();
    for path in paths {
        let stem = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        reports.push((stem, Report::read(path)?));
    }
    print!("{}", rounds::table(&reports));
    Ok(())
}

fn compare_strategies(seed: u64, calls: usize, only: Option<Name>) {
    let scenario = Scenario::default();
    let steady = [0.6, 0.85, 1.0, 1.3].map(Shape::Steady);
    let shapes = steady.into_iter().chain([Shape::Step(0.85), Shape::Sudden(0.7)]);
    for shape in shapes {
        let trace = Trace::new(&scenario, shape, calls, seed);
        let selected = Name::ALL.iter().filter(|name| only.is_none_or(|only| only == **name));
        let rows: Vec<_> =
            selected.map(|name| compare::run_strategy(*name, &scenario, &trace, seed)).collect();
        compare::print(&format!("{shape}, two upstreams slow"), &rows);
    }
}

/// Summaries of the direct calls and of the calls through an entry, by round.
type Rounds = Vec<(load::Summary, load::Summary)>;

async fn measure_latency(rate: f64, time: Duration, rounds: u32) -> Result<Rounds, Fault> {
    let behavior = Behavior { service_time: Duration::ZERO, ..Behavior::default() };
    let plan = Plan { entries: 1, upstreams: 4, next_upstreams: 0, behavior, ..Plan::default() };
    let local = Local::start(&plan).await?;
    let direct: Vec<_> = local.upstreams.iter().map(|upstream| upstream.address).collect();
    let entry = [local.entries[0].listen.callers];
    // Warm-up, because every upstream is cold at first.
    load::measure(&entry, CALLERS, rate / 10.0, time).await?;
    let mut summaries = Vec::new();
    for _ in 0..rounds {
        let direct = load::measure(&direct, CALLERS, rate, time).await?;
        let entry = load::measure(&entry, CALLERS, rate, time).await?;
        summaries.push((direct, entry));
    }
    Ok(summaries)
}

async fn latency(rate: f64, time: Duration, rounds: u32) -> Result<(), Fault> {
    let measured = measure_latency(rate, time, rounds).await?;
    println!(
        "{:<8} {:>8} {:>9} {:>8} {:>8} {:>8} {:>9}",
        "path", "calls", "calls/s", "p50 us", "p99 us", "p99.9 us", "cpu us"
    );
    for (direct, entry) in measured {
        for (path, summary) in [("direct", direct), ("entry", entry)] {
            println!(
                "{path:<8} {:>8} {:>9.0} {:>8} {:>8} {:>8} {:>9.1}",
                summary.calls,
                summary.rate,
                summary.p50_us,
                summary.p99_us,
                summary.p999_us,
                summary.cpu_us
            );
        }
    }
    Ok(())
}

async fn run_bench(out: Option<std::path::PathBuf>) -> Result<(), Fault> {
    let mut checks = bench::strategy_checks(compare::CALLS, 1);
    checks.extend(bench::control_checks(BENCH_SECONDS)?);
    let rounds = measure_latency(BENCH_RATE, Duration::from_secs(3), 3).await?;
    // The median round is used, so that one disturbed round does not decide the result.
    let mut rounds = rounds;
    rounds.sort_by_key(|(direct, entry)| entry.p99_us.saturating_sub(direct.p99_us));
    let (direct, entry) = rounds[rounds.len() / 2];
    checks.extend(bench::latency_checks(&direct, &entry));
    let passed = bench::print(&checks);
    if let Some(path) = out {
        std::fs::write(path, serde_json::to_vec(&checks).unwrap_or_default())?;
    }
    if passed { Ok(()) } else { Err(Fault::BoundExceeded) }
}

fn show_slopes(seconds: u64, json: bool) -> Result<(), Fault> {
    let mut costs = Vec::new();
    for entries in [4, 8, 16, 32, 64] {
        costs.push(slopes::measure(entries, 160, seconds)?);
    }
    for upstreams in [10, 80, 320, 620] {
        costs.push(slopes::measure(16, upstreams, seconds)?);
    }
    if json {
        println!("{}", serde_json::to_string(&costs).unwrap_or_default());
        return Ok(());
    }
    println!(
        "{:>7} {:>9} {:>9} {:>9} {:>13} {:>8} {:>13}",
        "entries", "upstreams", "frames/s", "bytes/s", "store calls/s", "cpu %", "config bytes"
    );
    for cost in &costs {
        println!(
            "{:>7} {:>9} {:>9.1} {:>9.0} {:>13.2} {:>8.4} {:>13}",
            cost.entries,
            cost.upstreams,
            cost.frames,
            cost.bytes,
            cost.store_calls,
            cost.cpu_percent,
            cost.config_bytes
        );
    }
    print_fits(&costs);
    for upstreams in [10, 35, 80, 160, 620] {
        let micros = slopes::decision_time_us(upstreams, 20_000)?;
        println!("decisions for a call, {upstreams} upstreams in its service: {micros:.2} us");
    }
    Ok(())
}

fn print_fits(costs: &[slopes::Cost]) {
    let (by_entries, by_upstreams) = costs.split_at(5);
    let fits =
        [("bytes/s by entries", by_entries, true), ("bytes/s by upstreams", by_upstreams, false)];
    for (name, costs, entries) in fits {
        let points: Vec<(f64, f64)> = costs
            .iter()
            .map(|cost| {
                let size = if entries { cost.entries } else { cost.upstreams };
                (size as f64, cost.bytes)
            })
            .collect();
        let (slope, base) = slopes::fit(&points);
        println!("{name}: {base:.0} + {slope:.2} for each");
    }
}

fn parse_strategy(text: &str) -> Result<Name, UnknownStrategy> {
    Name::parse(text).ok_or(UnknownStrategy)
}

/// Failure of a command.
#[derive(Debug, Display, Error, From)]
enum Fault {
    #[display("{_0}")]
    Local(rig::local::Fault),
    #[display("{_0}")]
    Load(load::Fault),
    #[display("at least one measurement exceeds its bound")]
    #[from(skip)]
    BoundExceeded,
    #[display("{_0}")]
    Charts(policy::charts::Fault),
    #[display("{_0}")]
    Report(rounds::Fault),
    #[display("{_0}")]
    System(std::io::Error),
}

/// The name of a strategy that does not exist.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("unknown strategy")]
struct UnknownStrategy;

async fn local(time: Option<Duration>, entries: usize, port: u16) -> Result<(), Fault> {
    // Logs of the entries go to standard output, like those of the daemon.
    let _ = entry::logs::start(log::LevelFilter::Warn);
    let local = Local::start(&Plan { entries, port, ..Plan::default() }).await?;
    print(&local);
    match time {
        Some(time) => tokio::time::sleep(time).await,
        None => tokio::signal::ctrl_c().await?,
    }
    for entry in local.entries {
        entry.handle.stop().await;
    }
    Ok(())
}

fn print(local: &Local) {
    println!("store      {}", local.store.address);
    for (number, upstream) in local.upstreams.iter().enumerate() {
        println!("upstream {number} {}", upstream.address);
    }
    for (number, entry) in local.entries.iter().enumerate() {
        let listen = entry.listen;
        println!(
            "entry {}    callers {}  operators {}",
            number + 1,
            listen.callers,
            listen.operators
        );
    }
    let listen = local.entries[0].listen;
    println!("\nTry:");
    println!("  curl -i -H 'nutmegwharf-service: {SERVICE}' http://{}/permits/7", listen.callers);
    println!(
        "  cargo run -q --release -p cli -- --entry {} --token {TOKEN} show upstreams",
        listen.operators
    );
    println!("  curl -s -H 'authorization: Bearer {TOKEN}' http://{}/v1/dump", listen.operators);
}
