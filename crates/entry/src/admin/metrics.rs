//! Metrics in the Prometheus text format.

use std::sync::Arc;

use base::derive::Symbol;
use metrics::{counter, gauge, with_local_recorder};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusRecorder};
use policy::upstream;

use crate::dispatch::State;
use crate::peers::Traffic;

/// Field of `/proc/self/stat` with the CPU time in user mode, counted after the process name. The
/// next field has the CPU time in kernel mode.
const USER_TIME_FIELD: usize = 12;
/// Field of `/proc/self/stat` with the resident pages, counted after the process name.
const RESIDENT_PAGES_FIELD: usize = 22;
/// Clock ticks per second, the unit of CPU time in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes per memory page.
const PAGE_BYTES: u64 = 4_096;

/// Metrics of one entry, updated from a snapshot of its state whenever they are scraped.
///
/// The request path updates no metric; it counts in its own state.
#[derive(Clone)]
pub struct Metrics {
    recorder: Arc<PrometheusRecorder>,
}

impl Metrics {
    /// Creates the metrics of an entry, labelled with its name.
    #[must_use]
    pub fn new(name: &str) -> Self {
        let builder = PrometheusBuilder::new().add_global_label("entry", name);
        Self { recorder: Arc::new(builder.build_recorder()) }
    }

    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self, state: &State, traffic: &Traffic) -> String {
        with_local_recorder(&*self.recorder, || {
            record_state(state);
            record_traffic(traffic);
            record_process();
        });
        self.recorder.handle().render()
    }
}

fn record_traffic(traffic: &Traffic) {
    counter!("nutmegwharf_peer_frames_sent_total").absolute(traffic.frames_out);
    counter!("nutmegwharf_peer_bytes_sent_total").absolute(traffic.bytes_out);
    counter!("nutmegwharf_peer_frames_received_total").absolute(traffic.frames_in);
    counter!("nutmegwharf_peer_bytes_received_total").absolute(traffic.bytes_in);
    counter!("nutmegwharf_peer_frames_dropped_total").absolute(traffic.dropped);
}

/// Records the CPU time and memory of the process, as the kernel reports them.
fn record_process() {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The process name in parentheses may contain spaces, so fields are counted after it.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
    let field = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
    if let (Some(user), Some(system)) = (field(USER_TIME_FIELD), field(USER_TIME_FIELD + 1)) {
        gauge!("nutmegwharf_process_cpu_seconds").set((user + system) as f64 / TICKS_PER_SECOND);
    }
    if let Some(pages) = field(RESIDENT_PAGES_FIELD) {
        gauge!("nutmegwharf_process_resident_bytes").set((pages * PAGE_BYTES) as f64);
    }
}

fn record_state(state: &State) {
    let stats = &state.engine.stats;
    counter!("nutmegwharf_requests_total").absolute(stats.requests);
    counter!("nutmegwharf_attempts_total").absolute(stats.attempts);
    counter!("nutmegwharf_retries_total").absolute(stats.retries);
    counter!("nutmegwharf_over_budget_total").absolute(stats.over_budget);
    counter!("nutmegwharf_refused_not_run_total").absolute(stats.not_run);
    counter!("nutmegwharf_refused_unknown_total").absolute(stats.unknown);
    counter!("nutmegwharf_complete_total").absolute(stats.complete);
    counter!("nutmegwharf_cut_total").absolute(stats.cut);
    counter!("nutmegwharf_shed_total").absolute(stats.shed);
    counter!("nutmegwharf_grants_asked_total").absolute(stats.asked);
    counter!("nutmegwharf_grants_given_total").absolute(stats.granted);
    counter!("nutmegwharf_cold_starts_total").absolute(stats.cold_starts);
    counter!("nutmegwharf_harmful_total").absolute(stats.harmful);
    counter!("nutmegwharf_probes_total").absolute(stats.probes);
    counter!("nutmegwharf_shifted_total").absolute(stats.shifted);
    counter!("nutmegwharf_hedged_total").absolute(stats.hedged);
    gauge!("nutmegwharf_key_records").set(state.engine.keys as f64);
    gauge!("nutmegwharf_config_number").set(state.engine.number as f64);
    gauge!("nutmegwharf_open_calls").set(state.engine.calls as f64);
    gauge!("nutmegwharf_upstream_connections").set(state.connections as f64);
    gauge!("nutmegwharf_roster_age_seconds").set(state.engine.roster_age_ms as f64 / 1e3);
    for upstream_state in upstream::State::ALL {
        let upstreams = state.engine.upstreams.values();
        let count = upstreams.filter(|upstream| upstream.state == *upstream_state).count();
        gauge!("nutmegwharf_upstreams", "state" => upstream_state.name()).set(count as f64);
    }
    for (name, active_move) in &state.engine.moves {
        gauge!("nutmegwharf_move_share", "move" => name.clone())
            .set(f64::from(active_move.mille) / 1e3);
    }
    for (service, waiting) in &state.engine.waiting {
        gauge!("nutmegwharf_waiting_calls", "service" => service.clone()).set(*waiting as f64);
    }
}
