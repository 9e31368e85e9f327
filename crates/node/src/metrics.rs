//! Metrics of a node in the Prometheus text format.

use std::sync::Arc;
use std::time::Duration;

use gateway::engine::Stats;
use hyper::StatusCode;
use metrics::{Counter, Histogram, counter, gauge, histogram, with_local_recorder};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusRecorder};

use crate::message::State;

/// Upper bounds of the latency histogram's buckets, in seconds.
const BUCKETS: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0];

/// The metrics of one node.
#[derive(Clone)]
pub struct Metrics {
    recorder: Arc<PrometheusRecorder>,
    latency: Histogram,
    responses: [Counter; 5],
    oversized: Counter,
}

impl std::fmt::Debug for Metrics {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Creates the metrics of the named node.
    ///
    /// # Errors
    ///
    /// Returns an error if the library rejects the buckets.
    pub fn new(name: &str) -> Result<Self, BuildError> {
        let builder = PrometheusBuilder::new().add_global_label("node", name);
        let recorder = Arc::new(builder.set_buckets(&BUCKETS)?.build_recorder());
        let (latency, responses, oversized) = with_local_recorder(&*recorder, || {
            let classes = ["1xx", "2xx", "3xx", "4xx", "5xx"];
            let responses =
                classes.map(|class| counter!("nutmegwharf_answers_total", "class" => class));
            let oversized = counter!("nutmegwharf_oversized_responses_total");
            (histogram!("nutmegwharf_request_seconds"), responses, oversized)
        });
        Ok(Self { recorder, latency, responses, oversized })
    }

    /// Records a response to a caller and the time that the request took.
    pub fn record_response(&self, status: StatusCode, elapsed: Duration) {
        self.latency.record(elapsed.as_secs_f64());
        let class = usize::from(status.as_u16() / 100).clamp(1, self.responses.len()) - 1;
        self.responses[class].increment(1);
    }

    /// Records a response of an upstream that was cut because it was too large.
    pub fn record_oversized(&self) {
        self.oversized.increment(1);
    }

    /// Returns the metrics as text, with the counters and gauges taken from `state`.
    #[must_use]
    pub fn render(&self, state: &State) -> String {
        with_local_recorder(&*self.recorder, || record_state(state));
        let handle = self.recorder.handle();
        handle.run_upkeep();
        handle.render()
    }
}

fn record_state(state: &State) {
    let Stats {
        requests,
        sends,
        cold_sends,
        retries,
        hedged,
        over_budget,
        passed,
        refused,
        unknown,
        left,
        harmful,
        probes,
        pauses,
    } = state.engine.stats;
    counter!("nutmegwharf_requests_total").absolute(requests);
    counter!("nutmegwharf_sends_total").absolute(sends);
    counter!("nutmegwharf_cold_sends_total").absolute(cold_sends);
    counter!("nutmegwharf_retries_total").absolute(retries);
    counter!("nutmegwharf_hedged_total").absolute(hedged);
    counter!("nutmegwharf_over_budget_total").absolute(over_budget);
    counter!("nutmegwharf_passed_total").absolute(passed);
    counter!("nutmegwharf_refused_not_run_total").absolute(refused);
    counter!("nutmegwharf_refused_unknown_total").absolute(unknown);
    counter!("nutmegwharf_left_total").absolute(left);
    counter!("nutmegwharf_harmful_total").absolute(harmful);
    counter!("nutmegwharf_probes_total").absolute(probes);
    counter!("nutmegwharf_pauses_total").absolute(pauses);
    gauge!("nutmegwharf_table_version").set(state.engine.table as f64);
    gauge!("nutmegwharf_open_calls").set(state.engine.calls as f64);
    gauge!("nutmegwharf_idle_connections").set(state.idle as f64);
    for (kind, age) in &state.engine.proof_ms {
        gauge!("nutmegwharf_proof_age_seconds", "kind" => kind.clone()).set(*age as f64 / 1e3);
    }
}
