//! Sends a non-idempotent call to one executor; it goes elsewhere only on proof of not having run.

use crate::{
    calling::{
        call_attempt::{self, AttemptTarget},
        hedged_call, refusals,
        routed_call::{self, RoutedCall},
    },
    node::SharedNode,
    protection::suspect_gate,
    serving::keyed_executions::home_unreachable,
};

use compact_str::CompactString;
use lagoonshore_coordination::{
    at_most_once::executor_binding::{AttemptResult, CallExecutor},
    request::{outcome::RefusalReason, request_lifecycle::CallRefusal},
    retries::{RouteKey, SharedTokens},
};
use lagoonshore_protocol::messages::{CallResult, ExecutionKey};
use tokio::time::Instant;

/// Sends `call`, whose request has a bound key; tokens of `purse` pay for repeats.
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
        // A token is spent only where an instance is left to try.
        if matches!(next, NextExecutor::Found(_)) {
            if !routed_call::spend_retry(node, retry_tokens) {
                break;
            }
            node.counters.borrow_mut().retries += 1;
        }
    }
    CallResult::Refused(refusal)
}

/// What one sending led to.
enum SendOutcome {
    /// The call ended here.
    Final(CallResult),
    /// The call was proved not to have run and may go elsewhere.
    RetryElsewhere(CallRefusal),
}

/// Where a call may go.
enum NextExecutor {
    /// The executor that the call is bound to, or a new choice.
    Found(AttemptTarget),
    /// The call is bound to an executor that is no longer known: it may have run there.
    ExecutorUnknown,
    /// No instance takes the call, and it is bound to none.
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

/// Counts a sending until it ends; one whose future is dropped may have run.
struct BoundAttempt {
    node: SharedNode,
    key: CompactString,
    result: AttemptResult,
    is_counted: bool,
}

impl BoundAttempt {
    /// Ends the sending; `true` if the call may go elsewhere.
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
