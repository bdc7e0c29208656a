//! Sends a non-idempotent call to one executor; it goes elsewhere only on proof of not having run.

use crate::{
    calling::{
        call_attempt::{self, AttemptTarget},
        hedged_call, refusals,
        routed_call::{self, RoutedCall},
    },
    guards::suspect_gate,
    node::SharedNode,
    serving::keyed_work::home_unreachable,
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
    purse: &SharedTokens,
) -> CallResult {
    let mut refusal = refusals::on_arrival(RefusalReason::NoInstance);
    let Some(ExecutionKey::Bound { key, .. }) = call.request.key.clone() else {
        return CallResult::Refused(refusal);
    };
    let fingerprint = suspect_gate::fingerprint(&call.request);
    let mut next = candidate(node, &mut call, &key);
    loop {
        let target = match next {
            CallCandidate::Found(target) => target,
            CallCandidate::Gone => return CallResult::Refused(home_unreachable()),
            CallCandidate::Nobody => break,
        };
        if let Err(reason) = suspect_gate::mark(node, fingerprint, &mut call.request) {
            refusal = refusals::on_arrival(reason);
            break;
        }
        match send(node, &mut call, &key, route, target, purse).await {
            SendResult::Ended(result) => return result,
            SendResult::Free(latest) => refusal = latest,
        }
        if !routed_call::may_repeat(&call, refusal) {
            break;
        }
        next = candidate(node, &mut call, &key);
        // A token is spent only where an instance is left to try.
        if matches!(next, CallCandidate::Found(_)) {
            if !routed_call::spend(node, purse) {
                break;
            }
            node.counters.borrow_mut().retries += 1;
        }
    }
    CallResult::Refused(refusal)
}

/// What one sending led to.
enum SendResult {
    /// The call ended here.
    Ended(CallResult),
    /// The call was proved not to have run and may go elsewhere.
    Free(CallRefusal),
}

/// Where a call may go.
enum CallCandidate {
    /// The executor that the call is bound to, or a new choice.
    Found(AttemptTarget),
    /// The call is bound to an executor that is no longer known: it may have run there.
    Gone,
    /// No instance takes the call, and it is bound to none.
    Nobody,
}

fn candidate(node: &SharedNode, call: &mut RoutedCall, key: &str) -> CallCandidate {
    let bound = node.work.bindings.borrow().executor(key);
    let Some(executor) = bound else {
        let chosen = call_attempt::choose(node, call);
        return chosen.map_or(CallCandidate::Nobody, CallCandidate::Found);
    };
    let table = node.instances.borrow();
    let record = table.get(executor.instance);
    record.map_or(CallCandidate::Gone, |record| {
        CallCandidate::Found(AttemptTarget {
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
    purse: &SharedTokens,
) -> SendResult {
    let AttemptTarget {
        key: instance,
        address,
    } = target;
    let incarnation = match node.links.identify(address).await {
        Ok(incarnation) => incarnation,
        Err(_) if node.work.bindings.borrow().executor(key).is_some() => {
            return SendResult::Ended(CallResult::Refused(home_unreachable()));
        }
        Err(_) => {
            let mut selector = node.selector.borrow_mut();
            selector.record_start(instance);
            selector.record_unreachable(instance, Instant::now());
            return SendResult::Free(refusals::on_arrival(RefusalReason::UpstreamUnreachable));
        }
    };
    let chosen = CallExecutor {
        instance,
        incarnation,
    };
    let bound = node
        .work
        .bindings
        .borrow_mut()
        .bind(Instant::now(), key, chosen);
    let Some(executor) = bound else {
        let refusal = refusals::on_arrival(RefusalReason::Overload);
        return SendResult::Ended(CallResult::Refused(refusal));
    };
    let mut sending = Sending {
        node: node.clone(),
        key: key.clone(),
        end: AttemptResult::MayHaveRun,
        is_counted: true,
    };
    if executor != chosen {
        sending.end = AttemptResult::NotRun;
        return SendResult::Ended(CallResult::Refused(home_unreachable()));
    }
    call.request.key = Some(ExecutionKey::Bound {
        key: key.clone(),
        executor: executor.incarnation,
    });
    let result = hedged_call::send_once(node, call, route, target, purse).await;
    let CallResult::Refused(refusal) = result else {
        return SendResult::Ended(result);
    };
    if !refusal.is_not_run() {
        return SendResult::Ended(result);
    }
    sending.end = AttemptResult::NotRun;
    if sending.finish() {
        SendResult::Free(refusal)
    } else {
        SendResult::Ended(result)
    }
}

/// Counts a sending until it ends; one whose future is dropped may have run.
struct Sending {
    node: SharedNode,
    key: CompactString,
    end: AttemptResult,
    is_counted: bool,
}

impl Sending {
    /// Ends the sending; `true` if the call may go elsewhere.
    fn finish(mut self) -> bool {
        self.is_counted = false;
        let mut bindings = self.node.work.bindings.borrow_mut();
        bindings.end_attempt(&self.key, self.end)
    }
}

impl Drop for Sending {
    fn drop(&mut self) {
        if self.is_counted {
            let mut bindings = self.node.work.bindings.borrow_mut();
            bindings.end_attempt(&self.key, self.end);
        }
    }
}
