//! Serves keyed requests: each key runs at most once, and retries get the same result.

use crate::{
    calling::{call_router, routed_call::RoutedCall},
    node::{SharedNode, keyed_executions::RunReceiver},
    protection::suspect_gate,
    serving::request_server,
};

use lagoonshore_coordination::{
    at_most_once::{
        execution_ledger::{KeyClaim, LedgerDecision, RunResult, RunTicket},
        idempotency_key::KeyDigest,
    },
    request::{
        outcome::{CallOutcome, RefusalReason},
        request_lifecycle::CallRefusal,
    },
    retries::SharedTokens,
};
use lagoonshore_protocol::messages::{
    CallReply, CallRequest, CallResult, ExecutionKey, LoadReport,
};
use lagoonshore_state::units::TokenCount;
use std::time::Duration;
use tokio::{sync::watch, time::Instant};

/// Time beyond its deadline for which a request waits for its execution, so that the actual refusal
/// reaches it instead of a timeout.
const RUN_END_GRACE: Duration = Duration::from_millis(50);

/// Serves `request`, which must be answered before `deadline`; a request with a key runs at most
/// once.
pub async fn serve(node: &SharedNode, request: CallRequest, deadline: Instant) -> CallReply {
    let Some(key) = request.key.clone() else {
        return request_server::serve(node, request, deadline).await;
    };
    let fingerprint = suspect_gate::fingerprint(&request);
    let (method, path) = (request.method.clone(), request.path.clone());
    let reply = serve_keyed(node, request, key, deadline).await;
    CallReply {
        load: node.load_for(&method, &path),
        suspect: suspect_gate::report(node, fingerprint),
        ..reply
    }
}

async fn serve_keyed(
    node: &SharedNode,
    request: CallRequest,
    key: ExecutionKey,
    deadline: Instant,
) -> CallReply {
    let claim = match &key {
        ExecutionKey::Home(key) => {
            let members = || node.home_members();
            node.executions.home_claim(&request, key, members)
        }
        ExecutionKey::Bound { key, executor } => {
            node.executions.bound_claim(&request, key, *executor)
        }
    };
    let granted = request.tokens;
    let result = match claim {
        Ok(claim) => return serve_claim(node, request, claim, deadline).await,
        Err(refusal) => CallResult::Refused(refusal),
    };
    reply(result, granted)
}

async fn serve_claim(
    node: &SharedNode,
    request: CallRequest,
    claim: KeyClaim,
    deadline: Instant,
) -> CallReply {
    let granted = request.tokens;
    let decision = node
        .executions
        .ledger
        .borrow_mut()
        .claim(Instant::now(), claim);
    let result = match decision {
        LedgerDecision::Run(ticket) => {
            let receiver = start(node, request, claim.key, ticket, deadline);
            let (result, tokens) = receiver.wait(deadline, granted).await;
            return reply(result, tokens);
        }
        LedgerDecision::Join => join(node, claim.key, deadline).await,
        LedgerDecision::Replay(result) => result,
        LedgerDecision::Refused(refusal) => CallResult::Refused(refusal),
    };
    reply(result, granted)
}

/// Builds a reply; [`serve`] fills in load and suspect.
fn reply(result: CallResult, tokens: TokenCount) -> CallReply {
    CallReply {
        result,
        tokens,
        load: LoadReport::default(),
        suspect: None,
    }
}

/// The first request of a key, which also gets back the retry tokens that the execution did not
/// spend.
struct FirstRequest {
    end: RunReceiver,
    tokens: watch::Receiver<TokenCount>,
}

impl FirstRequest {
    async fn wait(self, deadline: Instant, granted: TokenCount) -> (CallResult, TokenCount) {
        let result = wait(self.end, deadline).await;
        let tokens = *self.tokens.borrow();
        (result, tokens.min(granted))
    }
}

/// Starts the execution in its own task, so that it continues if the caller disconnects or the link
/// to the calling node breaks.
fn start(
    node: &SharedNode,
    request: CallRequest,
    key: KeyDigest,
    ticket: RunTicket,
    deadline: Instant,
) -> FirstRequest {
    let (end_sender, end) = watch::channel(None);
    let (token_sender, tokens) = watch::channel(TokenCount(0));
    node.executions
        .running
        .borrow_mut()
        .insert(key, end.clone());
    let node = node.clone();
    actix_rt::spawn(async move {
        let CallReply { result, tokens, .. } = run(&node, request, deadline).await;
        let end = run_result(&result);
        node.executions
            .ledger
            .borrow_mut()
            .finish(Instant::now(), ticket, end);
        node.executions.running.borrow_mut().remove(&key);
        token_sender.send_replace(tokens);
        end_sender.send_replace(Some(result));
    });
    FirstRequest { end, tokens }
}

/// Runs a request here, or at another instance if the local upstream is proved to have received
/// nothing.
async fn run(node: &SharedNode, request: CallRequest, deadline: Instant) -> CallReply {
    let reply = request_server::serve(node, request.clone(), deadline).await;
    let CallResult::Refused(refusal) = reply.result else {
        return reply;
    };
    let Some(ExecutionKey::Home(key)) = &request.key else {
        return reply;
    };
    let retry_tokens = SharedTokens::new(reply.tokens);
    let elsewhere = refusal.reason == RefusalReason::UpstreamUnreachable;
    if !elsewhere || !refusal.is_not_run() || !retry_tokens.spend() {
        return reply;
    }
    let key = ExecutionKey::Bound {
        key: key.clone(),
        executor: 0,
    };
    let call = RoutedCall {
        request: CallRequest {
            key: Some(key),
            ..request
        },
        deadline,
        idempotent: false,
        parent_class: None,
        tried: Vec::new(),
    };
    let result = call_router::route(node, call, &retry_tokens).await;
    CallReply {
        result,
        tokens: retry_tokens.close(),
        load: reply.load,
        suspect: reply.suspect,
    }
}

fn run_result(result: &CallResult) -> RunResult<CallResult> {
    let bytes = match result {
        CallResult::Refused(refusal) if refusal.is_not_run() => return RunResult::NotRun,
        CallResult::Refused(_) => 0,
        CallResult::Answered(response) => {
            let fields = response.headers.iter();
            let fields = fields.map(|field| field.name.len() + field.value.len());
            response.body.len() + fields.sum::<usize>()
        }
    };
    RunResult::Recorded {
        answer: result.clone(),
        bytes,
    }
}

async fn join(node: &SharedNode, key: KeyDigest, deadline: Instant) -> CallResult {
    let receiver = node.executions.running.borrow().get(&key).cloned();
    match receiver {
        Some(receiver) => wait(receiver, deadline).await,
        None => unknown(RefusalReason::ConnectionLost),
    }
}

async fn wait(mut receiver: RunReceiver, deadline: Instant) -> CallResult {
    let ended = receiver.wait_for(Option::is_some);
    match tokio::time::timeout_at(deadline + RUN_END_GRACE, ended).await {
        Ok(Ok(result)) => result
            .clone()
            .unwrap_or_else(|| unknown(RefusalReason::ConnectionLost)),
        Ok(Err(_)) => unknown(RefusalReason::ConnectionLost),
        Err(_) => unknown(RefusalReason::Timeout),
    }
}

const fn unknown(reason: RefusalReason) -> CallResult {
    CallResult::Refused(CallRefusal {
        outcome: CallOutcome::Unknown,
        reason,
    })
}
