//! Which nodes watch a record and a list at the platform: in each availability zone the instance
//! of the service that wins a rendezvous hash (Thaler and Ravishankar, "A Name-Based Mapping
//! Scheme for Rendezvous", 1996). Everyone else learns from digests. Views that differ cost a
//! watcher more or leave a zone to its neighbours, never a wrong policy.

use crate::membership::MemberTable;

use lagoonshore_state::{ids::InstanceName, instance_table::InstanceTable};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

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
        .filter(|(_, record)| members.is_answering(&record.name));
    !rivals.any(|(_, record)| weight(service, &record.name) > own_weight)
}

fn weight(service: &str, instance: &str) -> (u64, usize) {
    let mut hasher = SipHasher13::new();
    hasher.write(service.as_bytes());
    hasher.write_u8(0);
    hasher.write(instance.as_bytes());
    (hasher.finish(), instance.len())
}
