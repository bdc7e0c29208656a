//! Log lines of the outcomes of requests.

use super::{
    call_progress::CallProgress,
    routed_request::{ForwardOutcome, RoutedRequest},
};

use crate::decision_log::{DecisionLog, RequestTrace};

/// Logs the outcome of a request.
pub(crate) fn log(
    log: &DecisionLog,
    request: &RoutedRequest,
    progress: &CallProgress,
    outcome: &ForwardOutcome,
) {
    let trace = trace(request, progress);
    match outcome {
        ForwardOutcome::Answered(response) => log.log_answered(&trace, response),
        ForwardOutcome::NotRun(reason, retry_after) => {
            log.log_refused(&trace, reason.as_str(), retry_after.unwrap_or_default());
        }
        ForwardOutcome::Unknown(reason) => log.log_failed(&trace, reason.as_str()),
    }
}

/// What log lines say of a request.
pub(crate) fn trace<'a>(
    request: &'a RoutedRequest,
    progress: &'a CallProgress,
) -> RequestTrace<'a> {
    RequestTrace {
        id: &request.id,
        route: &request.route.name,
        version: request.version,
        elapsed: request.received.elapsed(),
        spent: request.spent,
        instance: &progress.last_instance,
        load: progress.load,
    }
}
