//! Case 4: clients send long bodies, each within the limits of the configuration, at the same time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Client, Request};
use crate::fleet::{self, Fleet, Node};
use crate::record::Record;
use crate::setup::{self, Clients, HOST, UNSAFE_PREFIX, ZONES};
use crate::store::Store;
use crate::worker::Config;

const NODES: usize = 4;
const WORKERS: usize = 8;
/// Memory of a machine.
const MEMORY_MB: u64 = 260;
/// Clients that send long bodies, and the pause between their requests.
const SENDERS: usize = 12;
const PAUSE: Duration = Duration::from_secs(3);
/// Length of a long body, below `maxBodyBytes` (67,108,864), and of a usual one.
const LONG_BYTES: usize = 60_000_000;
const USUAL_BYTES: usize = 24_000;
/// Time for which long bodies are sent.
const TROUBLE_TIME: Duration = Duration::from_secs(20);
/// Requests that may be lost.
const ALLOWED: usize = 3;

/// Plays the case.
pub fn play(trouble: bool) -> Result<Verdict, String> {
    fleet::check()?;
    let record = Record::new(4);
    let store = Store::start().map_err(|error| format!("store: {error}"))?;
    store.put("config", "main", &setup::configuration(), "null");
    let config = Config {
        slots: 4,
        queue: 8,
        work: Duration::from_millis(80),
        tells_load: true,
        ..Config::default()
    };
    let workers = setup::workers(WORKERS, &config, &store, &record)?;
    let mut fleet = Fleet::start(NODES, &ZONES, MEMORY_MB, &store, &record)?;
    thread::sleep(setup::LEAD);
    let clients = Clients::start(24, 200, 0.3, &fleet, &record);
    thread::sleep(Duration::from_secs(2));
    let done = Arc::new(AtomicBool::new(false));
    let body = Arc::new(vec![b'x'; if trouble { LONG_BYTES } else { USUAL_BYTES }]);
    let directories: Vec<_> = fleet.nodes.iter().map(Node::directory).collect();
    let senders: Vec<_> = (0..SENDERS)
        .map(|number| {
            let zone = ZONES[number % ZONES.len()];
            let client = Client::new(number, directories.clone(), HOST, zone, &record);
            let (done, body) = (Arc::clone(&done), Arc::clone(&body));
            thread::spawn(move || send(number, client, &body, &done))
        })
        .collect();
    let kills = fleet.enforce_memory(MEMORY_MB, TROUBLE_TIME)?;
    done.store(true, Ordering::SeqCst);
    for sender in senders {
        let _ = sender.join();
    }
    let kills = kills + fleet.enforce_memory(MEMORY_MB, Duration::from_secs(3))?;
    clients.stop();
    drop(fleet);
    drop(workers);
    judge(&record, kills)
}

/// Sends a body again and again.
fn send(number: usize, mut client: Client, body: &[u8], done: &AtomicBool) {
    for count in 0.. {
        if done.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("long{number:02}x{count:03}");
        let path = format!("{UNSAFE_PREFIX}long/{number}/{count}");
        let deadline = setup::DEADLINE;
        let request = Request { id: &id, method: "POST", path: &path, body, deadline };
        client.call(&request, None);
        thread::sleep(PAUSE);
    }
}

fn judge(record: &Record, kills: usize) -> Result<Verdict, String> {
    let requests = record.requests();
    let usual = || requests.iter().filter(|(id, ..)| !id.starts_with("long"));
    let status =
        |answer: &Option<crate::record::Answer>| answer.as_ref().map_or(0, |answer| answer.status);
    let served = usual().filter(|(_, _, _, answer)| status(answer) == 200).count();
    let lost: Vec<_> = usual()
        .filter(|(id, _, runs, answer)| {
            !runs.is_empty()
                && answer.as_ref().is_some_and(|answer| answer.status == 0)
                && record.was_on_kept_connection(id)
        })
        .collect();
    let mut result = vec![
        format!("usual requests {}, served {served}", usual().count()),
        format!("processes over {MEMORY_MB} MB, killed by the platform: {kills}"),
    ];
    for (id, method, _, answer) in &lost {
        let note = answer.as_ref().map_or("", |answer| answer.note.as_str());
        result.push(format!("LOST {id} {method}: passed on to a worker, then {note}"));
    }
    result.push(format!(
        "requests from kept connections that were passed on and got no answer: {} (allowed: {ALLOWED})",
        lost.len()
    ));
    record.finish(&result)?;
    if served < 500 {
        return Err("too few requests were served".to_owned());
    }
    Ok(if lost.len() > ALLOWED { Verdict::Broken } else { Verdict::Held })
}
