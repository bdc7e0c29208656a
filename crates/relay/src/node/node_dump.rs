//! The state of a node for operators.

use super::RelayNode;

use crate::{
    quota::quota_view::{self, QuotaDump},
    serving::slot_limiter::SlotUsage,
    state_dump::{self, StateDump},
};

/// Returns a snapshot of the state of `node`.
pub(super) fn of(node: &RelayNode) -> StateDump {
    let status = node.server.node_status();
    StateDump {
        node: node.settings.node.clone(),
        service: node.settings.service.clone(),
        is_ready: node.ready.is_ready(),
        version: node.directory.version(),
        refused_entries: node.directory.refused_count(),
        store: state_dump::store(&node.directory),
        slots: SlotUsage {
            in_use: status.in_use,
            limit: status.limit,
            queued: status.queued,
        },
        calls: node.callers.forwarder().running(),
        served: node.server.running(),
        upstream_connections: node.server.connections_opened(),
        links: node.links.len(),
        caller_connections: node.caller_connections.get(),
        memory: node.budget.report(),
        zone_shares: node.peer_table.zone_shares(),
        instances: state_dump::instances(&node.directory, &node.peer_table),
        quotas: quotas(node),
        routes: node
            .directory
            .routes()
            .routes()
            .into_iter()
            .cloned()
            .collect(),
        accounts: state_dump::accounts(&node.directory),
    }
}

/// Quotas, if the fleet has accounts.
fn quotas(node: &RelayNode) -> Option<QuotaDump> {
    let has_accounts = node.directory.routes().has_accounts();
    has_accounts
        .then(|| quota_view::dump(&node.fleet_counters, &node.quota_gate, &node.quota_counters))
}
