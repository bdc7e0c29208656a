//! The parts of the state dump about suspects and the upstream.

use crate::node::Node;

use lagoonshore_coordination::protection::{
    suspects::{SuspectCounts, SuspectDecision},
    upstream_health::UpstreamState,
};
use serde::Serialize;
use tokio::time::Instant;

/// Maximum number of suspects that a dump lists.
const LISTED_SUSPECTS_MAX: usize = 100;

/// `SuspectsPart` shows the suspects that a node knows.
#[derive(Serialize)]
pub struct SuspectsPart {
    #[serde(flatten)]
    counts: SuspectCounts,
    listed: Vec<SuspectLine>,
}

#[derive(Serialize)]
struct SuspectLine {
    fingerprint: String,
    crashes: u8,
    quarantined: bool,
}

/// `UpstreamPart` shows the address and health of the local upstream.
#[derive(Serialize)]
pub struct UpstreamPart {
    address: String,
    state: UpstreamState,
}

/// Collects the part about suspects.
#[must_use]
pub fn suspects(node: &Node) -> SuspectsPart {
    let now = Instant::now();
    let suspects = node.protection.suspects.borrow();
    let listed = suspects.held(now).into_iter().take(LISTED_SUSPECTS_MAX);
    let listed = listed.map(|(fingerprint, state)| SuspectLine {
        fingerprint: format!("{fingerprint:016x}"),
        crashes: state.crashes,
        quarantined: suspects.decide(now, fingerprint) == SuspectDecision::Quarantined,
    });
    SuspectsPart {
        counts: suspects.counts(now),
        listed: listed.collect(),
    }
}

/// Collects the part about the upstream.
#[must_use]
pub fn upstream(node: &Node) -> UpstreamPart {
    UpstreamPart {
        address: node.settings.upstream.address.to_string(),
        state: node.protection.health.borrow().state(),
    }
}
