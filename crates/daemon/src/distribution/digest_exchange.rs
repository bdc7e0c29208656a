//! Exchanges digests with peers and pulls the records and lists that a peer holds in a newer
//! version.

use crate::{distribution::policy_offers, events, node::SharedNode, protection::crash_response};

use lagoonshore_coordination::gossip::policy_digest::RecordVersion;
use lagoonshore_protocol::messages::{
    InstanceList, NodeDigest, PullReply, PullRequest, RecordBytes,
};
use lagoonshore_state::{
    ids::ServiceName,
    instance_table::{InstanceKey, InstanceRecord},
    policy_set::PolicySource,
};
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};
use tokio::time::Instant;
use tracing::info;

/// Timeout of a digest exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of records, and of lists, that one pull asks for or returns.
const PULL_ENTRIES_MAX: usize = 64;
/// Maximum total size of the records in one reply to a pull, in bytes.
const PULL_BYTES_MAX: usize = 2 * 1024 * 1024;
/// Maximum number of suspects in one digest; a digest with more is dropped.
const SUSPECTS_MAX: usize = 256;

/// Exchanges digests until the future is dropped.
pub async fn run(node: SharedNode) {
    loop {
        for peer in due_peers(&node) {
            actix_rt::spawn(exchange_with(node.clone(), peer));
        }
        remove_expired_members(&node);
        let next = node.gossip.schedule.borrow().next_round();
        actix_rt::time::sleep_until(next).await;
    }
}

/// Merges the digest of a peer and returns the node's own; `None` if the digest is invalid.
pub fn receive(node: &SharedNode, digest: NodeDigest) -> Option<NodeDigest> {
    if !merge_digest(node, &digest) {
        return None;
    }
    let (table, members) = (&node.instances, &node.gossip.members);
    let mut members = members.borrow_mut();
    members.merge_self_report(Instant::now(), &mut table.borrow_mut(), digest.sender);
    drop(members);
    node.observe_members();
    own_digest(node)
}

/// Returns the requested records and lists, as far as the node holds them and `PULL_BYTES_MAX`
/// allows.
#[must_use]
pub fn serve_pull(node: &SharedNode, request: &PullRequest) -> PullReply {
    let policies = node.policies.borrow();
    let mut size = 0;
    let mut reply = PullReply::default();
    for service in request.records.iter().take(PULL_ENTRIES_MAX) {
        let Some(entry) = policies.get(service) else {
            continue;
        };
        size += entry.bytes.len();
        if size > PULL_BYTES_MAX {
            break;
        }
        reply.records.push(RecordBytes {
            service: service.clone(),
            bytes: bytes::Bytes::copy_from_slice(&entry.bytes),
        });
    }
    let (members, table) = (node.gossip.members.borrow(), node.instances.borrow());
    let lists = request.lists.iter().take(PULL_ENTRIES_MAX);
    let lists = lists.filter_map(|service| members.list(&table, service));
    reply.lists = lists
        .map(|(version, instances)| InstanceList { version, instances })
        .collect();
    reply
}

fn due_peers(node: &SharedNode) -> Vec<InstanceRecord> {
    let table = node.instances.borrow();
    let unconfirmed = node.gossip.members.borrow().unconfirmed(&table);
    let mut schedule = node.gossip.schedule.borrow_mut();
    let mut random = node.random.borrow_mut();
    let due = schedule.due_peers(Instant::now(), &table, &unconfirmed, &mut *random);
    let record = |key: InstanceKey| table.get(key).cloned();
    due.into_iter().filter_map(record).collect()
}

fn remove_expired_members(node: &SharedNode) {
    let mut members = node.gossip.members.borrow_mut();
    let expired = members.remove_expired(Instant::now(), &mut node.instances.borrow_mut());
    drop(members);
    if !expired.is_empty() {
        node.observe_members();
    }
    for instance in expired {
        info!(event = events::MEMBER_EXPIRED, %instance, "membership: instance expired");
    }
}

fn own_digest(node: &SharedNode) -> Option<NodeDigest> {
    let sender = node.gossip.own_record()?;
    let policy = node.gossip.digest(&node.policies.borrow());
    Some(NodeDigest {
        sender,
        reads_platform: node.platform.borrow().reachable != Some(false),
        policy,
        suspects: node.protection.suspects.borrow().reports(Instant::now()),
    })
}

async fn exchange_with(node: SharedNode, peer: InstanceRecord) {
    let Some(digest) = own_digest(&node) else {
        return;
    };
    let gossip = &node.gossip;
    gossip.counters.borrow_mut().exchanges += 1;
    let deadline = Instant::now() + EXCHANGE_TIMEOUT;
    let reply = node.links.exchange(peer.peer, digest, deadline).await;
    let now = Instant::now();
    if let Ok(reply) = reply {
        gossip.members.borrow_mut().record_response(now, &peer.name);
        if let Some(digest) = reply {
            merge_digest(&node, &digest);
        }
    } else {
        gossip.members.borrow_mut().record_failure(now, &peer.name);
        gossip.counters.borrow_mut().exchange_failures += 1;
    }
    gossip.readiness.borrow_mut().mark_peer_asked(&peer.name);
}

/// Compares the digest of a peer with the node's own state and starts to pull what is newer.
/// Returns whether the digest was valid.
fn merge_digest(node: &SharedNode, digest: &NodeDigest) -> bool {
    let gossip = &node.gossip;
    let is_valid = digest.policy.is_within_bounds()
        && digest.suspects.len() <= SUSPECTS_MAX
        && digest.sender.name != node.settings.instance;
    if !is_valid {
        gossip.counters.borrow_mut().digests_dropped += 1;
        return false;
    }
    gossip.counters.borrow_mut().digests += 1;
    crash_response::merge(node, digest.suspects.iter().cloned());
    let sender = &digest.sender.name;
    let mut members = gossip.members.borrow_mut();
    members.record_platform_access(Instant::now(), sender, digest.reads_platform);
    drop(members);
    let mut distribution = gossip.distribution.borrow_mut();
    let policies = node.policies.borrow();
    let comparison = distribution.compare(Instant::now(), &policies, &digest.policy);
    let lists = &digest.policy.lists;
    let lists = gossip
        .members
        .borrow()
        .newer_lists(distribution.wanted(), lists);
    let wanted = distribution.wanted().clone();
    drop((distribution, policies));
    record_offers(node, &wanted, &digest.policy.records);
    for version in &comparison.conflicts {
        policy_offers::report_conflict(node, version);
    }
    let request = PullRequest {
        records: comparison.pulls,
        lists,
    };
    if request != PullRequest::default() {
        actix_rt::spawn(pull(node.clone(), digest.sender.peer, request));
    }
    true
}

fn record_offers(node: &SharedNode, wanted: &BTreeSet<ServiceName>, records: &[RecordVersion]) {
    let mut readiness = node.gossip.readiness.borrow_mut();
    for version in records {
        if wanted.contains(&version.service) {
            readiness.record_offer(&version.service, version.revision);
        }
    }
}

async fn pull(node: SharedNode, peer: SocketAddr, request: PullRequest) {
    node.gossip.counters.borrow_mut().pulls += 1;
    let deadline = Instant::now() + PULL_TIMEOUT;
    let reply = node.links.pull(peer, request.clone(), deadline).await;
    let reply = reply.unwrap_or_default();
    let mut open: BTreeSet<_> = request.records.into_iter().collect();
    for RecordBytes { service, bytes } in reply.records {
        if !open.remove(&service) {
            continue;
        }
        if policy_offers::offer(&node, &service, &bytes, PolicySource::Peer).is_err() {
            // A record that this node refuses must not delay its readiness.
            node.gossip.readiness.borrow_mut().drop_offer(&service);
        }
    }
    record_pull_failures(&node, &open);
    for InstanceList { version, instances } in reply.lists {
        if request.lists.contains(&version.service) {
            let mut members = node.gossip.members.borrow_mut();
            let mut table = node.instances.borrow_mut();
            members.apply_list(Instant::now(), &mut table, &version, instances);
            drop((members, table));
            node.observe_members();
        }
    }
}

fn record_pull_failures(node: &SharedNode, missing: &BTreeSet<ServiceName>) {
    let gossip = &node.gossip;
    gossip.counters.borrow_mut().pull_failures += u64::from(!missing.is_empty());
    let mut random = node.random.borrow_mut();
    for service in missing {
        let mut distribution = gossip.distribution.borrow_mut();
        distribution.record_pull_failure(Instant::now(), service, &mut *random);
    }
}
