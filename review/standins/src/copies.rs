//! Case 1: workers send a second copy of some answers late, before the next answer on a connection.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{self, Fleet};
use crate::record::Record;
use crate::setup::{self, Clients, ZONES};
use crate::store::Store;
use crate::worker::{Config, Worker};

const NODES: usize = 4;
const WORKERS: usize = 8;
const CLIENTS: usize = 44;
/// Longest pause of a client between two requests, in milliseconds.
const PAUSE_MS: usize = 200;
/// Share of the workers in trouble, and answers in a thousand: the dose of the site file.
const SHARE: f64 = 0.6;
const PERMILLE: u32 = 30;
/// Length of one trouble, the pause after it, and their number.
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const CALM_TIME: Duration = Duration::from_secs(2);
const TROUBLES: usize = 11;

/// Plays the case.
pub fn play(trouble: bool) -> Result<Verdict, String> {
    fleet::check()?;
    let record = Record::new(1);
    let store = Store::start().map_err(|error| format!("store: {error}"))?;
    store.put("config", "main", &setup::configuration(), "null");
    // The workers tell no load, so that the machines find out by refusals that they are full.
    let config =
        Config { slots: 2, queue: 1, work: Duration::from_millis(80), ..Config::default() };
    let workers = setup::workers(WORKERS, &config, &store, &record)?;
    let fleet = Fleet::start(NODES, &ZONES, 260, &store, &record)?;
    thread::sleep(setup::LEAD);
    let clients = Clients::start(CLIENTS, PAUSE_MS, 0.5, &fleet, &record);
    for _ in 0..TROUBLES {
        thread::sleep(CALM_TIME);
        set(&workers, &record, if trouble { PERMILLE } else { 0 });
        thread::sleep(TROUBLE_TIME);
        set(&workers, &record, 0);
    }
    thread::sleep(CALM_TIME);
    clients.stop();
    drop(fleet);
    judge(&record)
}

fn set(workers: &[Worker], record: &Record, permille: u32) {
    let in_trouble = (workers.len() as f64 * SHARE) as usize;
    record.line(format!("trouble: {permille} in 1000 answers of {in_trouble} workers twice"));
    for worker in &workers[..in_trouble] {
        worker.trouble.late_copies.store(permille, Ordering::Relaxed);
    }
}

fn judge(record: &Record) -> Result<Verdict, String> {
    let requests = record.requests();
    let unsafe_ones = || requests.iter().filter(|(_, method, _, _)| method == "POST");
    let twice: Vec<_> = unsafe_ones().filter(|(_, _, runs, _)| runs.len() > 1).collect();
    let refused: Vec<_> = unsafe_ones()
        .filter(|(_, _, runs, answer)| {
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            !runs.is_empty() && [408, 421, 429, 503].contains(&status)
        })
        .collect();
    let served = requests
        .iter()
        .filter(|(_, _, _, answer)| answer.as_ref().is_some_and(|answer| answer.status == 200));
    let mut result = vec![format!("requests {}, served {}", requests.len(), served.count())];
    for (id, _, runs, _) in &twice {
        let at: Vec<String> = runs
            .iter()
            .map(|run| format!("{} at {:.3}", run.worker, run.at.as_secs_f64()))
            .collect();
        result.push(format!("TWICE {id}: {}", at.join(", ")));
    }
    for (id, _, _, answer) in &refused {
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        result.push(format!("REFUSED {id}: answered {status} and has run"));
    }
    result.push(format!("ran twice: {}, refused and ran: {}", twice.len(), refused.len()));
    record.finish(&result)?;
    if requests.len() < 1_000 {
        return Err("too few requests were sent".to_owned());
    }
    Ok(if twice.is_empty() && refused.is_empty() { Verdict::Held } else { Verdict::Broken })
}
