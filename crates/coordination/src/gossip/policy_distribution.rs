//! How a node gets the newest policy records: it compares digests, pulls what it is behind on
//! from the peer that offered it, and reads the platform after a random delay only if no peer
//! delivered. Nothing here puts a policy in force; the policy set does, and it never goes back.

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

/// Time after which a pull that brought nothing may be tried at another peer.
const PULL_TIME: Duration = Duration::from_secs(1);
/// Time over which the reads of a fleet are spread when peers do not deliver.
const READ_SPREAD: Duration = Duration::from_secs(4);
/// Longest time between two such reads of one record.
const READ_PAUSE_MAX: Duration = Duration::from_mins(5);

/// `DigestComparison` says what follows from the digest of a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DigestComparison {
    /// Records to pull from the peer.
    pub pulls: Vec<ServiceName>,
    /// Versions of the peer whose revision is in force here with other content.
    pub conflicts: Vec<RecordVersion>,
}

#[derive(Debug)]
struct MissingRecord {
    pull_until: Option<Instant>,
    read_at: Option<Instant>,
    read_pause: Duration,
}

/// `PolicyDistribution` follows the records that a node is behind on.
#[derive(Debug, Default)]
pub struct PolicyDistribution {
    wanted: BTreeSet<ServiceName>,
    missing: BTreeMap<ServiceName, MissingRecord>,
    refused: BTreeMap<ServiceName, ContentHash>,
}

impl PolicyDistribution {
    /// Sets the services whose records the node needs.
    pub fn set_wanted(&mut self, wanted: BTreeSet<ServiceName>) {
        self.missing.retain(|service, _| wanted.contains(service));
        self.wanted = wanted;
    }

    /// Services whose records the node needs.
    #[must_use]
    pub const fn wanted(&self) -> &BTreeSet<ServiceName> {
        &self.wanted
    }

    /// Compares the digest of a peer with what is in force.
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
                self.plan_pull(now, version, &mut comparison);
                continue;
            };
            match version.revision.cmp(&held.policy.revision) {
                Ordering::Greater => self.plan_pull(now, version, &mut comparison),
                Ordering::Equal if version.content != held.content => {
                    comparison.conflicts.push(version.clone());
                }
                Ordering::Equal | Ordering::Less => {}
            }
        }
        comparison
    }

    /// Notes that a pull of the record brought nothing newer; the platform is read later unless
    /// a peer delivers before.
    pub fn record_pull_failure(&mut self, now: Instant, service: &str, random: &mut dyn RngCore) {
        if let Some(missing) = self.missing.get_mut(service) {
            missing.pull_until = None;
            let delay = missing.read_pause.mul_f64(random.random_range(0.0..1.0));
            missing.read_at.get_or_insert(now + delay);
        }
    }

    /// Notes that content pulled from a peer was refused here, so that it is not pulled again.
    pub fn mark_refused(&mut self, service: &ServiceName, content: ContentHash) {
        self.missing.remove(service);
        self.refused.insert(service.clone(), content);
    }

    /// Notes that a newer record of the service is in force.
    pub fn mark_in_force(&mut self, service: &str) {
        self.missing.remove(service);
        self.refused.remove(service);
    }

    /// Records to read from the platform now, since no peer delivered them.
    pub fn due_reads(&mut self, now: Instant) -> Vec<ServiceName> {
        let mut due = Vec::new();
        for (service, missing) in &mut self.missing {
            if missing.read_at.is_some_and(|at| at <= now) {
                missing.read_pause = (missing.read_pause * 2).min(READ_PAUSE_MAX);
                missing.read_at = Some(now + missing.read_pause);
                due.push(service.clone());
            }
        }
        due
    }

    fn plan_pull(
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
                pull_until: None,
                read_at: None,
                read_pause: READ_SPREAD,
            });
        if missing.pull_until.is_some_and(|until| now < until) {
            return;
        }
        missing.pull_until = Some(now + PULL_TIME);
        comparison.pulls.push(version.service.clone());
    }
}
