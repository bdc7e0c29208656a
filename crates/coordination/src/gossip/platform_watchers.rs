//! Which nodes watch a record and a list at the platform: in each availability zone the instance
//! of the service that wins a rendezvous hash (Thaler and Ravishankar, "A Name-Based Mapping
//! Scheme for Rendezvous", 1996) among those that answer and can read the platform. Everyone else learns from digests. Views that differ cost a
//! watcher more or leave a zone to its neighbours, never a wrong policy.

use crate::gossip::membership::MemberTable;

use lagoonshore_state::{ids::InstanceName, instance_table::InstanceTable};
use rand::{Rng, RngCore};
use siphasher::sip::SipHasher13;
use std::{hash::Hasher, time::Duration};

/// Mean pause between two queries of one watch.
const REARM_PAUSE: Duration = Duration::from_millis(100);
/// Mean pause of a watch after a failed query.
const FAILURE_PAUSE: Duration = Duration::from_secs(4);
/// Mean pause of a node that does not watch, after a read that failed or found nothing.
const MISSING_PAUSE: Duration = Duration::from_secs(10);
/// Mean pause between two reads of a node that does not watch.
const SELDOM_PAUSE: Duration = Duration::from_mins(10);

/// Time over which new nodes spread the first reads of their own record and list.
const OWN_SPREAD: Duration = Duration::from_secs(2);
/// Time over which new nodes spread the first reads for the services that they call.
const CALLED_SPREAD: Duration = Duration::from_secs(10);

/// Pause before the first read for a service, so that a fleet that starts at once does not read
/// at once; `is_own` tells whether it is the node's own service.
pub fn initial_read_delay(is_own: bool, random: &mut dyn RngCore) -> Duration {
    let spread = if is_own { OWN_SPREAD } else { CALLED_SPREAD };
    spread.mul_f64(random.random_range(0.0..1.0))
}

/// Pause after a read of the platform, drawn around its mean so that nodes do not act in step;
/// `found` tells whether the read found what it was for.
pub fn next_read_delay(is_watcher: bool, found: bool, random: &mut dyn RngCore) -> Duration {
    let mean = match (is_watcher, found) {
        (true, true) => REARM_PAUSE,
        (true, false) => FAILURE_PAUSE,
        (false, true) => SELDOM_PAUSE,
        (false, false) => MISSING_PAUSE,
    };
    mean.mul_f64(random.random_range(0.5..1.5))
}

/// Tells whether the node `own` of `zone` watches `service`, its own one.
#[must_use]
pub fn is_watcher(
    service: &str,
    own: &InstanceName,
    zone: &str,
    table: &InstanceTable,
    members: &MemberTable,
) -> bool {
    let own_weight = weight(service, own);
    let mut rivals = table
        .of_service(service)
        .filter(|(_, record)| record.zone == zone && record.name != *own)
        .filter(|(_, record)| members.may_watch(&record.name));
    !rivals.any(|(_, record)| weight(service, &record.name) > own_weight)
}

fn weight(service: &str, instance: &str) -> (u64, usize) {
    let mut hasher = SipHasher13::new();
    hasher.write(service.as_bytes());
    hasher.write_u8(0);
    hasher.write(instance.as_bytes());
    (hasher.finish(), instance.len())
}
