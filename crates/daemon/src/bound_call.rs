//! Sends a non-idempotent call to one executor; it goes elsewhere only on proof of not having run.

use crate::{
    call_router::{self, RoutedCall, RoutedReply},
    keyed_work::home_unreachable,
    node::SharedNode,
    refusals,
};

use compact_str::CompactString;
use lagoonshore_coordination::{
    executor_binding::{CallExecutor, SendEnd},
    outcome::RefusalReason,
    request_life::CallRefusal,
    retries::TokenPurse,
};
use lagoonshore_protocol::messages::{CallResult, WorkKey};
use lagoonshore_state::instance_table::InstanceKey;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Sends `call`, whose request has a bound key; tokens of `purse` pay for repeats.
pub async fn route(node: &SharedNode, mut call: RoutedCall, mut purse: TokenPurse) -> RoutedReply {
    call_router::record_call(node, &call);
    let mut refusal = refusals::on_arrival(RefusalReason::NoInstance);
    let Some(WorkKey::Bound { key, .. }) = call.request.key.clone() else {
        return reply(CallResult::Refused(refusal), purse);
    };
    while let Some((instance, address)) = candidate(node, &call, &key) {
        call.tried.push(instance);
        match send(node, &mut call, &key, instance, address, &mut purse).await {
            SendResult::Ended(result) => return reply(result, purse),
            SendResult::Free(latest) => refusal = latest,
        }
        if !call_router::may_repeat(&call, refusal) || !call_router::spend(node, &mut purse) {
            break;
        }
        node.counters.borrow_mut().retries += 1;
    }
    reply(CallResult::Refused(refusal), purse)
}

fn reply(result: CallResult, purse: TokenPurse) -> RoutedReply {
    let tokens = purse.balance();
    RoutedReply { result, tokens }
}

/// What one sending led to.
enum SendResult {
    /// The call ended here.
    Ended(CallResult),
    /// The call was proved not to have run and may go elsewhere.
    Free(CallRefusal),
}

/// The executor that the call is bound to, or a new choice.
fn candidate(node: &SharedNode, call: &RoutedCall, key: &str) -> Option<(InstanceKey, SocketAddr)> {
    let Some(executor) = node.work.bindings.borrow().executor(key) else {
        return call_router::choose(node, call);
    };
    let table = node.instances.borrow();
    let record = table.get(executor.instance)?;
    Some((executor.instance, record.peer))
}

async fn send(
    node: &SharedNode,
    call: &mut RoutedCall,
    key: &CompactString,
    instance: InstanceKey,
    address: SocketAddr,
    purse: &mut TokenPurse,
) -> SendResult {
    let incarnation = match node.links.identify(address).await {
        Ok(incarnation) => incarnation,
        Err(_) if node.work.bindings.borrow().executor(key).is_some() => {
            return SendResult::Ended(CallResult::Refused(home_unreachable()));
        }
        Err(_) => {
            let mut selector = node.selector.borrow_mut();
            selector.started(instance);
            selector.failed(instance, Instant::now());
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
        end: SendEnd::MayHaveRun,
        is_counted: true,
    };
    if executor != chosen {
        sending.end = SendEnd::NotRun;
        return SendResult::Ended(CallResult::Refused(home_unreachable()));
    }
    call.request.key = Some(WorkKey::Bound {
        key: key.clone(),
        executor: executor.incarnation,
    });
    let result = call_router::try_instance(node, call, instance, address, purse).await;
    let CallResult::Refused(refusal) = result else {
        return SendResult::Ended(result);
    };
    if !refusal.is_not_run() {
        return SendResult::Ended(result);
    }
    sending.end = SendEnd::NotRun;
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
    end: SendEnd,
    is_counted: bool,
}

impl Sending {
    /// Ends the sending; `true` if the call may go elsewhere.
    fn finish(mut self) -> bool {
        self.is_counted = false;
        let mut bindings = self.node.work.bindings.borrow_mut();
        bindings.end(&self.key, self.end)
    }
}

impl Drop for Sending {
    fn drop(&mut self) {
        if self.is_counted {
            let mut bindings = self.node.work.bindings.borrow_mut();
            bindings.end(&self.key, self.end);
        }
    }
}
