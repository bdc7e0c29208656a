//! Digest exchanges and pulls between the nodes of a fake fleet.

use super::{FakeFleet, FakeNode, FakeRecord};

use lagoonshore_coordination::gossip::policy_digest::PolicyDigest;
use lagoonshore_protocol::messages::NodeDigest;
use lagoonshore_state::{
    ids::ServiceName, instance_table::InstanceRecord, policy_set::PolicySource,
};
use std::pin::Pin;
use tarpc::tokio_serde::{Serializer, formats::Bincode};

/// Overhead of one message in bytes: frame, call context, and TCP/IP headers with an
/// acknowledgement.
const MESSAGE_OVERHEAD_BYTES: u64 = 150;
/// Size of a policy record in bytes.
const RECORD_BYTES: u64 = 1500;

impl FakeFleet {
    pub(super) fn exchange_digests(&mut self, node: usize) {
        let FakeNode {
            schedule,
            table,
            members,
            ..
        } = &mut self.nodes[node];
        let unconfirmed = members.unconfirmed(table);
        let due = schedule.due_peers(self.now, table, &unconfirmed, &mut self.random);
        let addresses: Vec<_> = due
            .into_iter()
            .filter_map(|key| {
                table
                    .get(key)
                    .map(|record| (record.name.clone(), record.peer))
            })
            .collect();
        for (name, address) in addresses {
            let peer = usize::from(address.port()) - 1;
            if self.can_reach(node, peer) {
                self.exchange(node, peer);
                self.nodes[node].members.record_response(self.now, &name);
            } else {
                self.nodes[node].members.record_failure(self.now, &name);
            }
            self.nodes[node].readiness.mark_peer_asked(&name);
        }
    }

    /// Exchanges digests between two nodes that can reach each other.
    pub fn exchange(&mut self, node: usize, peer: usize) {
        let record = self.nodes[node].record.clone();
        let (sent, received) = (self.nodes[node].digest(), self.nodes[peer].digest());
        let size = digest_bytes(&record, &sent) + digest_bytes(&record, &received);
        self.nodes[node].bytes += size;
        self.nodes[peer].bytes += size;
        let other = self.nodes[peer].record.name.clone();
        let (sent_reads, received_reads) = (
            self.nodes[node].reads_platform,
            self.nodes[peer].reads_platform,
        );
        let members = &mut self.nodes[node].members;
        members.record_platform_access(self.now, &other, received_reads);
        let FakeNode { members, table, .. } = &mut self.nodes[peer];
        members.record_platform_access(self.now, &record.name, sent_reads);
        members.merge_self_report(self.now, table, record);
        self.compare(peer, node, &sent);
        self.compare(node, peer, &received);
    }

    fn compare(&mut self, node: usize, peer: usize, digest: &PolicyDigest) {
        let FakeNode {
            distribution,
            policies,
            members,
            readiness,
            errors,
            ..
        } = &mut self.nodes[node];
        let comparison = distribution.compare(self.now, policies, digest);
        let lists = members.newer_lists(distribution.wanted(), &digest.lists);
        for version in &digest.records {
            if distribution.wanted().contains(&version.service) {
                readiness.record_offer(&version.service, version.revision);
            }
        }
        for version in comparison.conflicts {
            let error = format!("a peer has other content of revision {}", version.revision);
            errors.insert(version.service, error);
        }
        for service in comparison.pulls {
            self.pull(node, peer, &service);
        }
        for service in lists {
            let FakeNode { members, table, .. } = &self.nodes[peer];
            if let Some((version, listed)) = members.list(table, &service) {
                let FakeNode { members, table, .. } = &mut self.nodes[node];
                members.apply_list(self.now, table, &version, listed);
            }
        }
    }

    fn pull(&mut self, node: usize, peer: usize, service: &ServiceName) {
        let Some(entry) = self.nodes[peer].policies.get(service) else {
            let node = &mut self.nodes[node];
            node.distribution
                .record_pull_failure(self.now, service, &mut self.random);
            return;
        };
        let text = String::from_utf8_lossy(&entry.bytes).into_owned();
        let (revision, text) = text
            .split_once(' ')
            .expect("a record must have a revision and a text");
        let record = FakeRecord {
            revision: revision.parse().expect("the revision must be a number"),
            text: text.to_owned(),
        };
        for side in [node, peer] {
            self.nodes[side].bytes += RECORD_BYTES + 2 * MESSAGE_OVERHEAD_BYTES;
        }
        let calls = self.calls.get(service).cloned().unwrap_or_default();
        self.nodes[node].offer(
            self.now,
            service,
            &record,
            &calls,
            PolicySource::Peer,
            &mut self.random,
        );
    }
}

/// Returns the size in bytes of a digest message as it is sent on a link, with its overhead.
fn digest_bytes(sender: &InstanceRecord, digest: &PolicyDigest) -> u64 {
    let message = NodeDigest {
        sender: sender.clone(),
        reads_platform: true,
        policy: digest.clone(),
        suspects: Vec::new(),
    };
    let mut codec: Bincode<NodeDigest, NodeDigest> = Bincode::default();
    let bytes = Pin::new(&mut codec).serialize(&message);
    bytes.expect("a digest must be serializable").len() as u64 + MESSAGE_OVERHEAD_BYTES
}
