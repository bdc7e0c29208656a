//! Tasks that detect lost links, and open them again.

use super::{
    peer_link::PeerLink,
    peer_links::{LinkEvent, PeerLinks},
};

use std::{net::SocketAddr, rc::Weak, time::Duration};

/// Silence on a link with calls in flight after which the node is probed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of a probe, in time in which this process runs. After one missed probe the node is suspected,
/// and idempotent requests in flight are tried at another instance.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Consecutive missed probes after which the link is closed.
const MISSED_PROBES_MAX: u32 = 5;
/// Interval between attempts to reconnect to a lost node.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(400);

/// Probes a node that is silent while calls are in flight.
pub(super) async fn watch(links: Weak<PeerLinks>, link: Weak<PeerLink>, address: SocketAddr) {
    let mut missed = 0;
    loop {
        actix_rt::time::sleep(SILENCE_TIMEOUT).await;
        let (Some(links), Some(link)) = (links.upgrade(), link.upgrade()) else {
            return;
        };
        if !link.is_alive.get() {
            return;
        }
        if link.dispatch.is_finished() {
            link.is_alive.set(false);
            links.mark_lost(address, "link closed");
            return;
        }
        if !link.is_suspected() && !link.is_silent(SILENCE_TIMEOUT) {
            continue;
        }
        if let Some(status) = link.probe_while_running(PROBE_TIMEOUT).await {
            missed = 0;
            link.suspected.send_if_modified(std::mem::take);
            links.notify(address, LinkEvent::Status(status));
            continue;
        }
        missed += 1;
        link.suspected.send_replace(true);
        if missed < MISSED_PROBES_MAX {
            links.notify(address, LinkEvent::Lost);
            continue;
        }
        link.is_alive.set(false);
        link.dispatch.abort();
        links.mark_lost(address, "silent");
        return;
    }
}

/// Reconnects to a lost node for as long as it is listed, so that no request has to test whether it
/// is back.
pub(super) async fn reconnect(links: Weak<PeerLinks>, address: SocketAddr) {
    loop {
        actix_rt::time::sleep(RECONNECT_INTERVAL).await;
        let Some(links) = links.upgrade() else { return };
        if links.try_reconnect(address).await {
            return;
        }
        links.notify(address, LinkEvent::Lost);
    }
}
