//! The listener for operators: metrics, the state of the node, accounts, and where requests would go.

use crate::{
    admin_query,
    http1::request_handler::{
        self, RequestHandler, ServerPhase, ServerRequest, ServerResponse, UnreadRequest,
    },
    node_pages::{NodePages, PageProblem},
};

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use lagoonshore_state::route_table::CallerLimits;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use std::rc::Rc;
use tokio::sync::watch;

/// Start of the path of an explanation.
const EXPLAIN_PREFIX: &str = "/explain/";
/// Start of the path of an account.
const ACCOUNT_PREFIX: &str = "/accounts/";
/// Body of the response to an unknown path.
const UNKNOWN_PAGE: &str =
    "ask for /metrics, /state, /accounts, /accounts/NAME or /explain/HOST/PATH\n";

/// `AdminListener` answers `GET /metrics`, `GET /state`, `GET /accounts?after=NAME`, `GET /accounts/NAME` and
/// `GET /explain/HOST/PATH?account=NAME`. Names are percent-encoded.
pub struct AdminListener {
    metrics: PrometheusHandle,
    pages: NodePages,
    phase: watch::Sender<ServerPhase>,
}

impl AdminListener {
    /// Creates the listener of a node.
    #[must_use]
    pub fn new(metrics: PrometheusHandle, pages: NodePages) -> Self {
        Self {
            metrics,
            pages,
            phase: watch::channel(ServerPhase::Open).0,
        }
    }

    fn page(&self, target: &str) -> ServerResponse {
        let path = target.split('?').next().unwrap_or_default();
        if let Some(request) = path.strip_prefix(EXPLAIN_PREFIX) {
            let account = admin_query::parameter(target, "account");
            return self.explain_page(request, account.as_deref());
        }
        if let Some(name) = path.strip_prefix(ACCOUNT_PREFIX) {
            let name = admin_query::percent_decoded(name);
            return page_response(self.pages.account(&name));
        }
        match path {
            "/metrics" => text_response(200, "text/plain; version=0.0.4", self.metrics.render()),
            "/state" => json_response(&self.pages.state()),
            "/accounts" => {
                let after = admin_query::parameter(target, "after");
                page_response(self.pages.accounts(&after.unwrap_or_default()))
            }
            _ => text_response(404, "text/plain", UNKNOWN_PAGE.to_owned()),
        }
    }

    /// Explains where the request `HOST/PATH` would go.
    fn explain_page(&self, request: &str, account: Option<&str>) -> ServerResponse {
        let path_start = request.find('/').unwrap_or(request.len());
        let (host, target) = request.split_at(path_start);
        page_response(self.pages.explain(host, target, account))
    }
}

impl RequestHandler for AdminListener {
    fn respond(self: Rc<Self>, request: ServerRequest) -> LocalBoxFuture<'static, ServerResponse> {
        request_handler::ready_response(self.page(&request.head.target))
    }

    fn refuse_unread(&self, request: UnreadRequest<'_>) -> ServerResponse {
        text_response(
            request.status,
            "text/plain",
            "unreadable request\n".to_owned(),
        )
    }

    fn limits(&self) -> CallerLimits {
        CallerLimits::default()
    }

    fn phase(&self) -> watch::Receiver<ServerPhase> {
        self.phase.subscribe()
    }
}

fn page_response(page: Result<impl Serialize, PageProblem>) -> ServerResponse {
    match page {
        Ok(page) => json_response(&page),
        Err(problem) => text_response(
            404,
            "application/json",
            format!("{{\"problem\":\"{}\"}}\n", problem.as_str()),
        ),
    }
}

fn json_response(page: &impl Serialize) -> ServerResponse {
    match serde_json::to_string_pretty(page) {
        Ok(text) => text_response(200, "application/json", text),
        Err(error) => text_response(500, "text/plain", error.to_string()),
    }
}

fn text_response(status: u16, content_type: &str, text: String) -> ServerResponse {
    ServerResponse {
        status,
        fields: Bytes::from(format!("Content-Type: {content_type}\r\n")),
        body: Bytes::from(text),
    }
}
