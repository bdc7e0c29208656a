//! Tracks the policy records that a node is missing. The node compares digests, pulls newer records
//! from the peer that offered them, and reads the platform after a random delay if no peer
//! delivered. Nothing here puts a policy in force; that is done by the policy set, which never
//! returns to a lower revision.

use crate::gossip::policy_digest::{PolicyDigest, RecordVersion};

use lagoonshore_state::{
    ids::{ContentHash, ServiceName},
    policy_set::PolicySet,
};
use rand::{Rng, RngCore};
use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::time::Instant;

/// Time after which a pull without a result may be retried at another peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time over which the nodes of a fleet spread their fallback reads of the platform when peers do
/// not deliver.
const FALLBACK_READ_SPREAD: Duration = Duration::from_secs(4);
/// Upper bound of the interval between two fallback reads of one record.
const FALLBACK_READ_INTERVAL_MAX: Duration = Duration::from_mins(5);

/// `DigestComparison` is the result of comparing the digest of a peer with the records in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DigestComparison {
    /// Services whose records are to be pulled from the peer.
    pub pulls: Vec<ServiceName>,
    /// Versions at the peer that have the same revision as the record in force but different
    /// content.
    pub conflicts: Vec<RecordVersion>,
}

#[derive(Debug)]
struct MissingRecord {
    pull_deadline: Option<Instant>,
    read_at: Option<Instant>,
    read_interval: Duration,
}

/// `PolicyDistribution` tracks the records that a node needs and has not got yet.
#[derive(Debug, Default)]
pub struct PolicyDistribution {
    wanted: BTreeSet<ServiceName>,
    missing: BTreeMap<ServiceName, MissingRecord>,
    refused: BTreeMap<ServiceName, ContentHash>,
}

impl PolicyDistribution {
    /// Sets the services whose records the node needs; drops the state of all others.
    pub fn set_wanted(&mut self, wanted: BTreeSet<ServiceName>) {
        self.missing.retain(|service, _| wanted.contains(service));
        self.wanted = wanted;
    }

    /// Returns the services whose records the node needs.
    #[must_use]
    pub const fn wanted(&self) -> &BTreeSet<ServiceName> {
        &self.wanted
    }

    /// Compares the digest of a peer with the policies in force. A returned pull counts as started
    /// at `now`.
    pub fn compare(
        &mut self,
        now: Instant,
        policies: &PolicySet,
        digest: &PolicyDigest,
    ) -> DigestComparison {
        let mut comparison = DigestComparison::default();
        for version in &digest.records {
            if !self.wanted.contains(&version.service) {
                continue;
            }
            let Some(held) = policies.get(&version.service) else {
                self.schedule_pull(now, version, &mut comparison);
                continue;
            };
            match version.revision.cmp(&held.policy.revision) {
                Ordering::Greater => self.schedule_pull(now, version, &mut comparison),
                Ordering::Equal if version.content != held.content => {
                    comparison.conflicts.push(version.clone());
                }
                Ordering::Equal | Ordering::Less => {}
            }
        }
        comparison
    }

    /// Records that a pull returned nothing newer. A fallback read of the platform is scheduled,
    /// unless a peer delivers first.
    pub fn record_pull_failure(&mut self, now: Instant, service: &str, random: &mut dyn RngCore) {
        if let Some(missing) = self.missing.get_mut(service) {
            missing.pull_deadline = None;
            let delay = missing.read_interval.mul_f64(random.random_range(0.0..1.0));
            missing.read_at.get_or_insert(now + delay);
        }
    }

    /// Records that content pulled from a peer was refused, so that it is not pulled again.
    pub fn mark_refused(&mut self, service: &ServiceName, content: ContentHash) {
        self.missing.remove(service);
        self.refused.insert(service.clone(), content);
    }

    /// Records that a newer record of the service is in force.
    pub fn mark_in_force(&mut self, service: &str) {
        self.missing.remove(service);
        self.refused.remove(service);
    }

    /// Returns the services whose records must be read from the platform at `now` because no peer
    /// delivered them; doubles the interval to their next read.
    pub fn due_reads(&mut self, now: Instant) -> Vec<ServiceName> {
        let mut due = Vec::new();
        for (service, missing) in &mut self.missing {
            if missing.read_at.is_some_and(|at| at <= now) {
                missing.read_interval = (missing.read_interval * 2).min(FALLBACK_READ_INTERVAL_MAX);
                missing.read_at = Some(now + missing.read_interval);
                due.push(service.clone());
            }
        }
        due
    }

    fn schedule_pull(
        &mut self,
        now: Instant,
        version: &RecordVersion,
        comparison: &mut DigestComparison,
    ) {
        if self.refused.get(&version.service) == Some(&version.content) {
            return;
        }
        let missing = self
            .missing
            .entry(version.service.clone())
            .or_insert(MissingRecord {
                pull_deadline: None,
                read_at: None,
                read_interval: FALLBACK_READ_SPREAD,
            });
        if missing.pull_deadline.is_some_and(|deadline| now < deadline) {
            return;
        }
        missing.pull_deadline = Some(now + PULL_TIMEOUT);
        comparison.pulls.push(version.service.clone());
    }
}
