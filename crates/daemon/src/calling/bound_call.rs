//! Sends a non-idempotent call to one executor. It goes to another instance only when every attempt
//! is proved not to have run.

use crate::{
    calling::{
        call_attempt::{self, AttemptTarget},
        hedged_call, refusals,
        routed_call::{self, RoutedCall},
    },
    node::{SharedNode, keyed_executions::home_unreachable},
    protection::suspect_gate,
};

use compact_str::CompactString;
use lagoonshore_coordination::{
    at_most_once::executor_binding::{AttemptResult, CallExecutor},
    request::{outcome::RefusalReason, request_lifecycle::CallRefusal},
    retries::{RouteKey, SharedTokens},
};
use lagoonshore_protocol::messages::{CallResult, ExecutionKey};
use tokio::time::Instant;

/// Sends `call`, whose request carries a bound key; each retry spends one of `retry_tokens`.
pub async fn route(
    node: &SharedNode,
    mut call: RoutedCall,
    route: &RouteKey,
    retry_tokens: &SharedTokens,
) -> CallResult {
    let mut refusal = refusals::on_arrival(RefusalReason::NoInstance);
    let Some(ExecutionKey::Bound { key, .. }) = call.request.key.clone() else {
        return CallResult::Refused(refusal);
    };
    let fingerprint = suspect_gate::fingerprint(&call.request);
    let mut next = next_executor(node, &mut call, &key);
    loop {
        let target = match next {
            NextExecutor::Found(target) => target,
            NextExecutor::ExecutorUnknown => return CallResult::Refused(home_unreachable()),
            NextExecutor::NoneAvailable => break,
        };
        if let Err(reason) = suspect_gate::attach_report(node, fingerprint, &mut call.request) {
            refusal = refusals::on_arrival(reason);
            break;
        }
        match send(node, &mut call, &key, route, target, retry_tokens).await {
            SendOutcome::Final(result) => return result,
            SendOutcome::RetryElsewhere(latest) => refusal = latest,
        }
        if !routed_call::can_retry(&call, refusal) {
            break;
        }
        next = next_executor(node, &mut call, &key);
        // A token is spent only if there is another instance to try.
        if matches!(next, NextExecutor::Found(_)) {
            if !routed_call::spend_retry(node, retry_tokens) {
                break;
            }
            node.counters.borrow_mut().retries += 1;
        }
    }
    CallResult::Refused(refusal)
}

/// Result of one attempt, as the retry loop sees it.
enum SendOutcome {
    /// The result of the whole call.
    Final(CallResult),
    /// The attempt is proved not to have run, so another instance may be tried.
    RetryElsewhere(CallRefusal),
}

/// Where the next attempt goes.
enum NextExecutor {
    /// The executor that the call is bound to, or a newly chosen instance.
    Found(AttemptTarget),
    /// The call is bound to an executor that has left the instance table; it may have run there.
    ExecutorUnknown,
    /// The call is unbound and no instance is available.
    NoneAvailable,
}

fn next_executor(node: &SharedNode, call: &mut RoutedCall, key: &str) -> NextExecutor {
    let bound = node.executions.bindings.borrow().executor(key);
    let Some(executor) = bound else {
        let chosen = call_attempt::choose_target(node, call);
        return chosen.map_or(NextExecutor::NoneAvailable, NextExecutor::Found);
    };
    let table = node.instances.borrow();
    let record = table.get(executor.instance);
    record.map_or(NextExecutor::ExecutorUnknown, |record| {
        NextExecutor::Found(AttemptTarget {
            key: executor.instance,
            address: record.peer,
        })
    })
}

async fn send(
    node: &SharedNode,
    call: &mut RoutedCall,
    key: &CompactString,
    route: &RouteKey,
    target: AttemptTarget,
    retry_tokens: &SharedTokens,
) -> SendOutcome {
    let AttemptTarget {
        key: instance,
        address,
    } = target;
    let incarnation = match node.links.identify(address).await {
        Ok(incarnation) => incarnation,
        Err(_) if node.executions.bindings.borrow().executor(key).is_some() => {
            return SendOutcome::Final(CallResult::Refused(home_unreachable()));
        }
        Err(_) => {
            let mut selector = node.selector.borrow_mut();
            selector.record_start(instance);
            selector.record_unreachable(instance, Instant::now());
            return SendOutcome::RetryElsewhere(refusals::on_arrival(
                RefusalReason::UpstreamUnreachable,
            ));
        }
    };
    let chosen = CallExecutor {
        instance,
        incarnation,
    };
    let bound = node
        .executions
        .bindings
        .borrow_mut()
        .bind(Instant::now(), key, chosen);
    let Some(executor) = bound else {
        let refusal = refusals::on_arrival(RefusalReason::Overload);
        return SendOutcome::Final(CallResult::Refused(refusal));
    };
    let mut attempt = BoundAttempt {
        node: node.clone(),
        key: key.clone(),
        result: AttemptResult::MayHaveRun,
        is_counted: true,
    };
    if executor != chosen {
        attempt.result = AttemptResult::NotRun;
        return SendOutcome::Final(CallResult::Refused(home_unreachable()));
    }
    call.request.key = Some(ExecutionKey::Bound {
        key: key.clone(),
        executor: executor.incarnation,
    });
    let result = hedged_call::send_once(node, call, route, target, retry_tokens).await;
    let CallResult::Refused(refusal) = result else {
        return SendOutcome::Final(result);
    };
    if !refusal.is_not_run() {
        return SendOutcome::Final(result);
    }
    attempt.result = AttemptResult::NotRun;
    if attempt.finish() {
        SendOutcome::RetryElsewhere(refusal)
    } else {
        SendOutcome::Final(result)
    }
}

/// Reports the end of an attempt to the executor binding. An attempt whose future is dropped counts
/// as one that may have run.
struct BoundAttempt {
    node: SharedNode,
    key: CompactString,
    result: AttemptResult,
    is_counted: bool,
}

impl BoundAttempt {
    /// Ends the attempt; returns `true` if the call may go to another instance.
    fn finish(mut self) -> bool {
        self.is_counted = false;
        let mut bindings = self.node.executions.bindings.borrow_mut();
        bindings.end_attempt(&self.key, self.result)
    }
}

impl Drop for BoundAttempt {
    fn drop(&mut self) {
        if self.is_counted {
            let mut bindings = self.node.executions.bindings.borrow_mut();
            bindings.end_attempt(&self.key, self.result);
        }
    }
}
