//! The recorder of a process's metrics, for its page in the text format of Prometheus.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::{sync::OnceLock, time::Duration};

/// Upper bounds of the buckets of all histograms, in seconds.
pub const TIME_BUCKETS: [f64; 13] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 30.0,
];

/// Time between two moves of recorded times into their buckets while nobody asks for the page.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder of the process, once; every node of the process shares it.
#[must_use]
pub fn handle() -> PrometheusHandle {
    HANDLE.get_or_init(install).clone()
}

fn install() -> PrometheusHandle {
    let builder = PrometheusBuilder::new();
    let builder = builder
        .set_buckets(&TIME_BUCKETS)
        .unwrap_or_else(|_| PrometheusBuilder::new());
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    // Where another recorder is there already, the page shows nothing.
    let _ = metrics::set_global_recorder(recorder);
    handle
}

/// Moves recorded times into their buckets for as long as the process runs, so that memory stays
/// bounded while nobody asks for the page.
pub async fn run_upkeep(handle: PrometheusHandle) {
    loop {
        actix_rt::time::sleep(UPKEEP_INTERVAL).await;
        handle.run_upkeep();
    }
}
