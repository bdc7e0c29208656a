//! Metrics recorder of the process; renders metrics in the Prometheus text format.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::{sync::OnceLock, time::Duration};

/// Upper bounds of the histogram buckets, in seconds; the same for all histograms.
pub const TIME_BUCKETS: [f64; 13] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 30.0,
];

/// Interval at which recorded samples are moved into their buckets.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Returns the handle of the recorder, which the first call installs; all nodes in a process share
/// it.
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
    // If another recorder is already installed, this one stays empty.
    let _ = metrics::set_global_recorder(recorder);
    handle
}

/// Moves recorded samples into their buckets at intervals, so that memory stays bounded when
/// metrics are not scraped; runs as long as the process.
pub async fn run_upkeep(handle: PrometheusHandle) {
    loop {
        actix_rt::time::sleep(UPKEEP_INTERVAL).await;
        handle.run_upkeep();
    }
}
