//! Case 3: a request that crashes its workers comes again while the machines are restarted in turn.

use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Client, Outcome, Request};
use crate::fleet::{self, Fleet, Node};
use crate::record::Record;
use crate::setup::{self, Clients, HOST, UNSAFE_PREFIX, ZONES};
use crate::store::Store;
use crate::worker::Config;

const NODES: usize = 4;
const WORKERS: usize = 12;
/// `gracePeriod` and `contactWindow` of the site.
const GRACE_PERIOD: Duration = Duration::from_secs(6);
const CONTACT_WINDOW: Duration = Duration::from_secs(3);
/// Crashes after which the rule holds, and retries that it allows.
const CRASHES: usize = 3;
const RETRIES: usize = 3;
/// Sends of the request to each machine in each round, and the pause between them.
const SENDS: usize = 3;
const PAUSE: Duration = Duration::from_millis(1_000);

/// Plays the case.
pub fn play(trouble: bool) -> Result<Verdict, String> {
    fleet::check()?;
    let record = Record::new(3);
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
    let mut fleet = Fleet::start(NODES, &ZONES, 260, &store, &record)?;
    thread::sleep(setup::LEAD);
    let clients = Clients::start(12, 200, 0.3, &fleet, &record);
    let directories: Vec<_> = fleet.nodes.iter().map(Node::directory).collect();
    let mut client = Client::new(99, directories, HOST, ZONES[0], &record);
    let mut sent = 0;
    let mut send = |node: &Node| {
        for _ in 0..SENDS {
            let id = format!("poison{sent:03}");
            sent += 1;
            let path = format!("{UNSAFE_PREFIX}poison");
            let deadline = setup::DEADLINE;
            let request =
                Request { id: &id, method: "POST", path: &path, body: b"the same", deadline };
            client.disconnect();
            if let Outcome::Broken(fault) = client.call(&request, Some(node.front())) {
                record.line(format!("{id}: {fault}"));
            }
            thread::sleep(PAUSE);
        }
    };
    for node in &fleet.nodes {
        send(node);
    }
    for number in 0..NODES {
        if trouble {
            fleet.stop_node(number, GRACE_PERIOD);
            fleet.start_node(number)?;
            fleet.wait_until_ready(number)?;
        }
        // From here on, the machine has been in touch for a second when the request comes again.
        thread::sleep(CONTACT_WINDOW + Duration::from_secs(1));
        send(&fleet.nodes[number]);
    }
    clients.stop();
    drop(fleet);
    drop(workers);
    judge(&record)
}

fn judge(record: &Record) -> Result<Verdict, String> {
    let requests = record.requests();
    let poison = requests.iter().filter(|(id, ..)| id.starts_with("poison"));
    let mut crashes: Vec<_> = poison
        .flat_map(|(id, _, runs, _)| {
            runs.iter().map(move |run| (run.at, id.clone(), run.worker.clone()))
        })
        .collect();
    crashes.sort();
    let others = requests.iter().filter(|(id, ..)| !id.starts_with("poison"));
    let served = others
        .filter(|(_, _, _, answer)| answer.as_ref().is_some_and(|answer| answer.status == 200));
    let served = served.count();
    let third = crashes.get(CRASHES - 1).map(|(at, ..)| *at);
    let late = |at: Duration| third.is_some_and(|third| at > third + CONTACT_WINDOW);
    let retries = crashes.iter().filter(|(at, ..)| late(*at)).count();
    let mut result = vec![format!("other requests served: {served}")];
    for (at, id, worker) in &crashes {
        let note = if late(*at) { ", counted" } else { "" };
        result.push(format!("{id} crashed {worker} at {:.3}{note}", at.as_secs_f64()));
    }
    result.push(format!(
        "crashes {}, of these later than contactWindow after the third: {retries} (allowed: {RETRIES})",
        crashes.len()
    ));
    record.finish(&result)?;
    if served < 100 || crashes.is_empty() {
        return Err("no ordinary request was served, or the request crashed nothing".to_owned());
    }
    Ok(if retries > RETRIES { Verdict::Broken } else { Verdict::Held })
}
