//! Case 5: warm workers become cold again at some moment and say so.

use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{self, Fleet};
use crate::record::{Random, Record};
use crate::setup::{self, Clients, ZONES};
use crate::store::Store;
use crate::worker::{COLD_BOUND, COLD_NOTICE, COLD_TIME, Config};

const NODES: usize = 2;
const WORKERS: usize = 6;
const CLIENTS: usize = 40;
/// Longest pause of a client between two requests, in milliseconds.
const PAUSE_MS: usize = 80;
const WINDOW: Duration = Duration::from_secs(1);
/// Shortest pause between two workers that become cold.
const GAP: Duration = Duration::from_millis(2_500);
const ROUNDS: usize = 3;

/// Plays the case.
pub fn play(trouble: bool) -> Result<Verdict, String> {
    fleet::check()?;
    let record = Record::new(5);
    let store = Store::start().map_err(|error| format!("store: {error}"))?;
    store.put("config", "main", &setup::configuration(), "null");
    let config = Config {
        slots: 4,
        queue: 8,
        work: Duration::from_millis(40),
        tells_load: true,
        ..Config::default()
    };
    let workers = setup::workers(WORKERS, &config, &store, &record)?;
    let fleet = Fleet::start(NODES, &ZONES, 260, &store, &record)?;
    thread::sleep(setup::LEAD);
    let clients = Clients::start(CLIENTS, PAUSE_MS, 0.3, &fleet, &record);
    thread::sleep(Duration::from_secs(3));
    let mut random = Random::new(u64::from(std::process::id()));
    let mut periods = Vec::new();
    for _ in 0..ROUNDS {
        for worker in &workers {
            thread::sleep(GAP + Duration::from_millis(random.below(1_500) as u64));
            if trouble {
                periods.push((worker.id(), record.now()));
                record.line(format!("worker {} is cold for {COLD_TIME:?}", worker.id()));
                worker.trouble.become_cold(COLD_TIME);
            }
        }
    }
    thread::sleep(COLD_TIME);
    clients.stop();
    drop(fleet);
    judge(&record, &periods)
}

fn judge(record: &Record, periods: &[(String, Duration)]) -> Result<Verdict, String> {
    let requests = record.requests();
    let served = requests
        .iter()
        .filter(|(_, _, _, answer)| answer.as_ref().is_some_and(|answer| answer.status == 200))
        .count();
    let mut result = vec![format!("requests {}, served {served}", requests.len())];
    let mut broken = 0;
    for (worker, cold_at) in periods {
        let mut times = Vec::new();
        for (id, _, runs, _) in &requests {
            let Some((sent_at, _)) = record.sent_at(id) else { continue };
            let at_worker = runs.iter().filter(|run| run.worker == *worker);
            times.extend(at_worker.map(|run| (sent_at, run.at)));
        }
        let first = *cold_at + COLD_NOTICE;
        let last = *cold_at + COLD_TIME - WINDOW;
        let starts = times.iter().map(|(sent_at, _)| *sent_at);
        let starts = starts.filter(|start| *start >= first && *start <= last);
        let most = starts
            .map(|start| {
                let inside = |(sent_at, at): &&(Duration, Duration)| {
                    *sent_at >= start && *at <= start + WINDOW
                };
                (times.iter().filter(inside).count(), start)
            })
            .max();
        let (most, start) = most.unwrap_or_default();
        let is_broken = most as f64 > COLD_BOUND;
        broken += usize::from(is_broken);
        result.push(format!(
            "{}{worker} cold at {:.3}: {most} requests in the second from {:.3} (bound {COLD_BOUND})",
            if is_broken { "FAILBACK " } else { "" },
            cold_at.as_secs_f64(),
            start.as_secs_f64()
        ));
    }
    result.push(format!("cold workers {}, over the bound: {broken}", periods.len()));
    record.finish(&result)?;
    if served < 1_000 {
        return Err("too few requests were served".to_owned());
    }
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}
