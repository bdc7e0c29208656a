//! Selects the nodes that watch the policy record and the instance list of a service at the
//! platform. In each availability zone this is the instance of the service with the highest weight
//! in a rendezvous hash (Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous",
//! 1996) among those that respond and can read the platform; all others learn from digests. Nodes
//! with differing views may select one watcher too many or leave a zone to the watchers of other
//! zones, but never put a wrong policy in force.

use crate::gossip::membership::MemberTable;

use lagoonshore_state::{ids::InstanceName, instance_table::InstanceTable};
use rand::{Rng, RngCore};
use siphasher::sip::SipHasher13;
use std::{hash::Hasher, time::Duration};

/// Mean delay between two queries of a watch.
const WATCH_DELAY: Duration = Duration::from_millis(100);
/// Mean delay of a watch after a failed query.
const WATCH_RETRY_DELAY: Duration = Duration::from_secs(4);
/// Mean delay of a node that does not watch, after a read that failed or found nothing.
const POLL_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Mean interval between two reads of a node that does not watch.
const POLL_INTERVAL: Duration = Duration::from_mins(10);

/// Time over which starting nodes spread the first reads of their own record and list.
const OWN_SPREAD: Duration = Duration::from_secs(2);
/// Time over which starting nodes spread the first reads for the services that they call.
const CALLED_SPREAD: Duration = Duration::from_secs(10);

/// Returns a random delay before the first read for a service, so that the nodes of a fleet that
/// starts all at once do not read at the same moment. `is_own` is `true` for the node's own
/// service.
pub fn initial_read_delay(is_own: bool, random: &mut dyn RngCore) -> Duration {
    let spread = if is_own { OWN_SPREAD } else { CALLED_SPREAD };
    spread.mul_f64(random.random_range(0.0..1.0))
}

/// Returns the delay after a read of the platform, drawn from 0.5 to 1.5 times its mean to avoid
/// synchronised reads. `found` is `true` if the read returned the requested value.
pub fn next_read_delay(is_watcher: bool, found: bool, random: &mut dyn RngCore) -> Duration {
    let mean = match (is_watcher, found) {
        (true, true) => WATCH_DELAY,
        (true, false) => WATCH_RETRY_DELAY,
        (false, true) => POLL_INTERVAL,
        (false, false) => POLL_RETRY_DELAY,
    };
    mean.mul_f64(random.random_range(0.5..1.5))
}

/// Returns `true` if the node `own` of availability zone `zone` watches `service`, which is its own
/// service.
#[must_use]
pub fn is_watcher(
    service: &str,
    own: &InstanceName,
    zone: &str,
    table: &InstanceTable,
    members: &MemberTable,
) -> bool {
    let own_weight = weight(service, own);
    let mut candidates = table
        .of_service(service)
        .filter(|(_, record)| record.zone == zone && record.name != *own)
        .filter(|(_, record)| members.can_watch(&record.name));
    !candidates.any(|(_, record)| weight(service, &record.name) > own_weight)
}

fn weight(service: &str, instance: &str) -> (u64, usize) {
    let mut hasher = SipHasher13::new();
    hasher.write(service.as_bytes());
    hasher.write_u8(0);
    hasher.write(instance.as_bytes());
    (hasher.finish(), instance.len())
}
