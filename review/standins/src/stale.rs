//! Case 2: the machine that decides on a new version stands still for a moment.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{self, Fleet, Node};
use crate::record::Record;
use crate::setup::{self, Clients, SERVICE, ZONES};
use crate::store::Store;
use crate::worker::{Config, Release};

const NODES: usize = 4;
/// Workers of each version.
const WORKERS: usize = 16;
const CLIENTS: usize = 24;
/// Longest pause of a client between two requests, in milliseconds.
const PAUSE_MS: usize = 80;
/// First number of the new version's workers.
const NEW_NUMBER: usize = 50;
/// Requests in 0.4 s from which on the new version fails; that is about six tenths of the traffic.
const LOAD_LIMIT: usize = 50;
/// Time that the operator gives for the roll-out.
const DURATION: Duration = Duration::from_secs(12);
/// Time for which the machine stands still.
const FREEZE_TIME: Duration = Duration::from_millis(1_500);
/// Time after the start of the roll-out for which it is observed.
const OBSERVED_TIME: Duration = Duration::from_secs(24);
/// `exposureShare`, `exposureSlack` and `rollback` of the site.
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;
const ROLLBACK: Duration = Duration::from_secs(5);

/// Plays the case.
pub fn play(trouble: bool) -> Result<Verdict, String> {
    fleet::check()?;
    let record = Record::new(2);
    let store = Store::start().map_err(|error| format!("store: {error}"))?;
    store.put("config", "main", &setup::configuration(), "null");
    let config = Config {
        slots: 4,
        queue: 8,
        work: Duration::from_millis(30),
        tells_load: true,
        ..Config::default()
    };
    let old = setup::workers(WORKERS, &config, &store, &record)?;
    let fleet = Fleet::start(NODES, &ZONES, 260, &store, &record)?;
    thread::sleep(setup::LEAD);
    let clients = Clients::start(CLIENTS, PAUSE_MS, 0.3, &fleet, &record);
    thread::sleep(Duration::from_secs(3));

    let release = Arc::new(Release::new("v2", LOAD_LIMIT));
    let ordered_at = record.now();
    record.line("operator: v2 is to be brought in");
    let order = format!(
        "{{\"service\":\"{SERVICE}\",\"targetVersion\":\"v2\",\"duration\":\"{}s\"}}",
        DURATION.as_secs()
    );
    store.put("rollouts", SERVICE, &order, "null");
    let config = Config { number: NEW_NUMBER, release: Some(Arc::clone(&release)), ..config };
    let new = setup::workers(WORKERS, &config, &store, &record)?;
    // The platform stops the old workers at `completed`.
    let platform = {
        let (store, record) = (store.clone(), record.clone());
        let troubles: Vec<_> = old.iter().map(|worker| Arc::clone(&worker.trouble)).collect();
        thread::spawn(move || {
            while record.now() < ordered_at + OBSERVED_TIME {
                let state = store.state_of("rollouts", SERVICE).unwrap_or_default();
                if state == "completed" || state == "rolled_back" {
                    record.line(format!("store: the roll-out is {state}"));
                    if state == "completed" {
                        troubles.iter().for_each(|trouble| trouble.stop());
                    }
                    return;
                }
                thread::sleep(Duration::from_millis(5));
            }
        })
    };
    // The machine that decides tells in its log how many answers it has weighed; all others say 0.
    let words = ["\"event\":\"trial\"", "\"state\":\"switching\""];
    let number = fleet
        .wait_for_log(&words, "\"samples\":0}", DURATION)
        .ok_or("the version was not switched to")?;
    record.line(format!("{} decides to switch to v2", fleet.nodes[number].name));
    if trouble {
        thread::sleep(Duration::from_millis(100));
        fleet.freeze_node(number, FREEZE_TIME);
    }
    let frozen = fleet.nodes[number].front();
    thread::sleep((ordered_at + OBSERVED_TIME).saturating_sub(record.now()));
    clients.stop();
    let _ = platform.join();
    let state = store.state_of("rollouts", SERVICE).unwrap_or_default();
    let others: Vec<_> = fleet.nodes.iter().map(Node::front).filter(|to| *to != frozen).collect();
    drop(fleet);
    drop((old, new));

    let failures = release.failures();
    let fiftieth = failures.get(49).copied();
    let mut result = vec![format!("the roll-out of the bad version ended as {state:?}")];
    let (mut all, mut exposed, mut late) = (0, 0, 0);
    for (id, _, runs, _) in record.requests() {
        let Some((sent_at, to)) = record.sent_at(&id) else { continue };
        // Only machines that were in touch all the while are counted for the new version.
        let in_touch = others.contains(&to);
        for run in runs {
            let is_new = run.worker >= format!("i-{NEW_NUMBER}");
            let in_time = run.at >= ordered_at && run.at <= ordered_at + DURATION;
            all += usize::from(in_time);
            exposed += usize::from(in_time && is_new && in_touch);
            let is_late = fiftieth.is_some_and(|fiftieth| sent_at > fiftieth + ROLLBACK);
            late += usize::from(is_new && in_touch && is_late);
        }
    }
    let allowed = SHARE * all as f64 + SLACK;
    result.push(format!(
        "until the deadline: {all} requests, {exposed} of them to the bad version from the machines \
         that never stood still (allowed: {allowed:.0})"
    ));
    result.push(format!(
        "bad answers {}; requests to the bad version from these machines, sent more than 5 s after \
         the 50th: {late} (allowed: 0)",
        failures.len()
    ));
    record.finish(&result)?;
    if all < 500 {
        return Err("too few requests were served".to_owned());
    }
    let is_broken = exposed as f64 > allowed || late > 0;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
