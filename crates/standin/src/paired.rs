//! Compares the latency of a call made directly with that of the same call made through a node. The
//! two alternate within one run, so that other load on the machine affects both alike.

use crate::{
    arguments::{self, StandinResult},
    report::LATENCY_MAX_US,
};

use awc::Client;
use hdrhistogram::Histogram;
use pico_args::Arguments;
use serde_json::json;
use std::{
    cell::RefCell, net::SocketAddr, path::PathBuf, process::ExitCode, rc::Rc, time::Duration,
};
use tokio::time::Instant;

/// Quantiles in the report.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

struct PairedCalls {
    client: Client,
    direct: RefCell<Histogram<u64>>,
    through: RefCell<Histogram<u64>>,
    failures: RefCell<u64>,
}

/// Makes the calls and prints both latencies at each quantile; the exit code is a failure if a call
/// failed.
pub async fn run(mut arguments: Arguments) -> StandinResult<ExitCode> {
    let direct: SocketAddr = arguments::parse_required(&mut arguments, "--direct")?;
    let through: SocketAddr = arguments::parse_required(&mut arguments, "--through")?;
    let path: String = arguments::parse_required(&mut arguments, "--path")?;
    let host: String = arguments::parse_optional(&mut arguments, "--host", String::new())?;
    let seconds: f64 = arguments::parse_optional(&mut arguments, "--seconds", 10.0)?;
    let rate: f64 = arguments::parse_optional(&mut arguments, "--rate", 320.0)?;
    let report: Option<PathBuf> = arguments
        .opt_value_from_str("--report")
        .map_err(|error| error.to_string())?;
    let calls = Rc::new(PairedCalls {
        client: Client::builder().finish(),
        direct: RefCell::new(new_histogram()?),
        through: RefCell::new(new_histogram()?),
        failures: RefCell::default(),
    });
    offer_calls(&calls, [direct, through], &host, &path, seconds, rate).await;
    let text = summarize(&calls).to_string();
    println!("{text}");
    if let Some(file) = report {
        arguments::replace_file(&file, &text)?;
    }
    let failed = *calls.failures.borrow() > 0;
    Ok(if failed {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

/// Starts `rate` calls per second to each target; the calls to one target start half a period after
/// those to the other.
async fn offer_calls(
    calls: &Rc<PairedCalls>,
    targets: [SocketAddr; 2],
    host: &str,
    path: &str,
    seconds: f64,
    rate: f64,
) {
    let started_at = Instant::now();
    let period = Duration::from_secs_f64(0.5 / rate);
    let mut due = Duration::ZERO;
    let mut running = Vec::new();
    for index in 0.. {
        if due.as_secs_f64() >= seconds {
            break;
        }
        actix_rt::time::sleep_until(started_at + due).await;
        let uri = format!("http://{}{path}", targets[index % 2]);
        let call = send_call(Rc::clone(calls), uri, host.to_owned(), index % 2 == 1);
        running.push(actix_rt::spawn(call));
        due += period;
    }
    for call in running {
        let _ = call.await;
    }
}

async fn send_call(calls: Rc<PairedCalls>, uri: String, host: String, is_through: bool) {
    let mut request = calls.client.get(uri);
    if is_through && !host.is_empty() {
        request = request.insert_header(("host", host));
    }
    let started_at = Instant::now();
    let is_success = match request.send().await {
        Ok(mut response) => response.status().is_success() && response.body().await.is_ok(),
        Err(_) => false,
    };
    let micros = u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
    if !is_success {
        *calls.failures.borrow_mut() += 1;
        return;
    }
    let histogram = if is_through {
        &calls.through
    } else {
        &calls.direct
    };
    histogram.borrow_mut().saturating_record(micros);
}

fn summarize(calls: &PairedCalls) -> serde_json::Value {
    let (direct, through) = (calls.direct.borrow(), calls.through.borrow());
    let rows = QUANTILES.map(|quantile| {
        let (direct, through) = (
            direct.value_at_quantile(quantile),
            through.value_at_quantile(quantile),
        );
        let added = i128::from(through) - i128::from(direct);
        json!({ "quantile": quantile, "direct_us": direct, "through_us": through,
                "added_us": i64::try_from(added).unwrap_or(i64::MAX) })
    });
    json!({ "calls": direct.len() + through.len(), "failures": *calls.failures.borrow(),
            "quantiles": rows })
}

fn new_histogram() -> StandinResult<Histogram<u64>> {
    Histogram::new_with_bounds(1, LATENCY_MAX_US, 3).map_err(|error| error.to_string())
}
