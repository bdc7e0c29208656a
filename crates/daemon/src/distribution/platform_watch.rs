//! Reads the platform. A node that is chosen as watcher uses long blocking queries. The others read
//! once at their start, then rarely, and when no peer delivers a change.

use crate::{distribution::policy_offers, events, lifecycle::node_lifecycle, node::SharedNode};

use lagoonshore_coordination::gossip::{platform_watchers, policy_digest::ListVersion};
use lagoonshore_state::{
    ids::ServiceName, instance_table::InstanceRecord, policy_set::PolicySource,
};
use lagoonshore_transport::{TransportError, platform_reader::PlatformReader};
use rand::Rng;
use std::{collections::BTreeSet, rc::Rc, time::Duration};
use tokio::time::Instant;
use tracing::{info, warn};

/// Mean interval between checks of whether the node is a watcher or a read is due.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the node's own record and list, and those of each service that it calls.
pub async fn run<R: PlatformReader + 'static>(node: SharedNode, reader: Rc<R>) {
    let mut known = BTreeSet::new();
    loop {
        for service in policy_offers::wanted_services(&node) {
            if known.insert(service.clone()) {
                let (node, reader) = (node.clone(), Rc::clone(&reader));
                actix_rt::spawn(watch_service(node, reader, service));
            }
        }
        for service in due_reads(&node) {
            let (node, reader) = (node.clone(), Rc::clone(&reader));
            actix_rt::spawn(async move { read_record(&node, &*reader, &service, 0).await });
        }
        sleep_jittered(&node, WATCH_CHECK_INTERVAL).await;
    }
}

/// Offers the bytes of a record read from the platform.
pub fn offer(node: &SharedNode, service: &ServiceName, bytes: &[u8]) {
    // `policy_offers` logs a refused record; the platform expects no reply.
    let _ = policy_offers::offer(node, service, bytes, PolicySource::Platform);
}

fn due_reads(node: &SharedNode) -> Vec<ServiceName> {
    let mut distribution = node.gossip.distribution.borrow_mut();
    distribution.due_reads(Instant::now())
}

async fn watch_service<R: PlatformReader + 'static>(
    node: SharedNode,
    reader: Rc<R>,
    service: ServiceName,
) {
    let is_own = service == node.settings.service;
    let wait = platform_watchers::initial_read_delay(is_own, &mut *node.random.borrow_mut());
    actix_rt::time::sleep(wait).await;
    let (other, lists) = (node.clone(), Rc::clone(&reader));
    let name = service.clone();
    // A node reads its own list before its own record, so that it knows its peers when it decides
    // whether it is ready.
    let index = read_list(&node, &*reader, &service, 0).await.unwrap_or(0);
    actix_rt::spawn(async move {
        let mut outcome = Some(index).filter(|index| *index > 0);
        loop {
            let index = wait_for_next_read(&other, &name, outcome).await;
            outcome = read_list(&other, &*lists, &name, index).await;
        }
    });
    let mut outcome = read_record(&node, &*reader, &service, 0).await;
    if is_own {
        node.gossip.readiness.borrow_mut().mark_platform_asked();
    }
    loop {
        let index = wait_for_next_read(&node, &service, outcome).await;
        outcome = read_record(&node, &*reader, &service, index).await;
    }
}

/// Waits until the next read is due after one that ended with `outcome`, the index it found.
/// Returns the index to wait from; 0 if the node does not watch.
async fn wait_for_next_read(node: &SharedNode, service: &ServiceName, outcome: Option<u64>) -> u64 {
    let watches = is_watcher(node, service);
    let wait = {
        let mut random = node.random.borrow_mut();
        platform_watchers::next_read_delay(watches, outcome.is_some(), &mut *random)
    };
    if watches {
        actix_rt::time::sleep(wait).await;
        return outcome.unwrap_or(0);
    }
    let due = Instant::now() + wait;
    while Instant::now() < due {
        if is_watcher(node, service) {
            return outcome.unwrap_or(0);
        }
        sleep_jittered(node, WATCH_CHECK_INTERVAL).await;
    }
    0
}

fn is_watcher(node: &SharedNode, service: &ServiceName) -> bool {
    let settings = &node.settings;
    let members = node.gossip.members.borrow();
    let table = node.instances.borrow();
    let (own, zone) = (&settings.instance, &settings.zone);
    *service == settings.service
        && platform_watchers::is_watcher(service, own, zone, &table, &members)
}

async fn read_record<R: PlatformReader>(
    node: &SharedNode,
    reader: &R,
    service: &ServiceName,
    index: u64,
) -> Option<u64> {
    let read = reader.record(service, index).await;
    update_platform_state(node, read.as_ref().err());
    let reply = read.ok()?;
    if let Some(bytes) = &reply.value {
        offer(node, service, bytes);
    }
    // A watcher waits for a missing record to appear; other nodes read it again soon.
    let is_found = reply.value.is_some() || is_watcher(node, service);
    is_found.then_some(reply.index)
}

async fn read_list<R: PlatformReader>(
    node: &SharedNode,
    reader: &R,
    service: &ServiceName,
    index: u64,
) -> Option<u64> {
    let read = reader.instances(service, index).await;
    update_platform_state(node, read.as_ref().err());
    let reply = read.ok()?;
    let version = ListVersion {
        service: service.clone(),
        index: reply.index,
    };
    // A watcher waits for an empty list to change; other nodes read it again soon.
    let is_found = !reply.value.is_empty() || is_watcher(node, service);
    apply_instances(node, &version, reply.value);
    is_found.then_some(reply.index)
}

/// Applies a list of instances of one service.
pub fn apply_instances(node: &SharedNode, version: &ListVersion, listed: Vec<InstanceRecord>) {
    for record in &listed {
        node_lifecycle::apply_listed_instance(node, record);
    }
    let mut members = node.gossip.members.borrow_mut();
    let mut table = node.instances.borrow_mut();
    members.apply_list(Instant::now(), &mut table, version, listed);
    drop((members, table));
    node.observe_members();
}

fn update_platform_state(node: &SharedNode, failure: Option<&TransportError>) {
    let mut platform = node.platform.borrow_mut();
    platform.reads += 1;
    platform.failures += u64::from(failure.is_some());
    let before = platform.reachable.replace(failure.is_none());
    drop(platform);
    node.observe_members();
    match failure {
        Some(cause) if before != Some(false) => {
            warn!(event = events::PLATFORM_UNREACHABLE, %cause, "platform: cannot be read");
        }
        None if before == Some(false) => {
            info!(
                event = events::PLATFORM_REACHABLE,
                "platform: can be read again"
            );
        }
        _ => {}
    }
}

/// Sleeps for 0.5 to 1.5 times `mean`, so that nodes do not act in lockstep.
async fn sleep_jittered(node: &SharedNode, mean: Duration) {
    let factor = node.random.borrow_mut().random_range(0.5..1.5);
    actix_rt::time::sleep(mean.mul_f64(factor)).await;
}
