//! Runs one node from its start to the end of a planned stop.

use crate::{
    admin_door, digest_exchange,
    error::{Result, SignalsSnafu},
    events, inbound_door,
    node::{Node, SharedNode},
    outbound_door,
    peer_door::PeerDoor,
    platform_watch,
};

use lagoonshore_settings::NodeSettings;
use lagoonshore_transport::{
    http_door::{self, DoorLimits},
    peer_server,
    platform_reader::ConsulReader,
    signals,
};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use snafu::ResultExt;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tracing::info;

/// Longest time that a planned stop waits for requests in progress.
const DRAIN_TIME_MAX: Duration = Duration::from_secs(90);
/// Pause between two looks at the requests in progress during a planned stop.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time after the last answer for its bytes to leave.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// `BoundDoors` holds the addresses that the doors of a node listen on.
#[derive(Clone, Copy, Debug)]
pub struct BoundDoors {
    /// Door for callers.
    pub inbound: SocketAddr,
    /// Door for the calls of the upstream.
    pub outbound: SocketAddr,
    /// Door for other nodes.
    pub peer: SocketAddr,
    /// Door for operators.
    pub admin: SocketAddr,
}

/// Runs a node until a planned stop is asked for and finished.
///
/// # Errors
/// Names the door that cannot be opened, or the resource that is missing.
pub async fn run(settings: NodeSettings) -> Result<()> {
    let node = Node::new(settings)?;
    let stop = signals::stop_requested();
    node.policy_link.begin_start(&node.settings);
    let doors = open(&node).await?;
    let BoundDoors {
        inbound,
        outbound,
        peer,
        admin,
    } = doors;
    info!(
        event = events::NODE_STARTED,
        instance = %node.settings.instance, %inbound, %outbound, %peer, %admin,
        "node: started"
    );
    let reader = Rc::new(ConsulReader::new(&node.settings.platform));
    actix_rt::spawn(platform_watch::run(node.clone(), reader));
    actix_rt::spawn(digest_exchange::run(node.clone()));
    stop.await.context(SignalsSnafu)?;
    drain(&node).await;
    Ok(())
}

/// Opens the doors of `node` and serves them on the current thread.
///
/// # Errors
/// Names the door that cannot be opened.
pub async fn open(node: &SharedNode) -> Result<BoundDoors> {
    let listen = &node.settings.listen;
    let inbound = http_door::listen("inbound", listen.inbound).await?;
    let outbound = http_door::listen("outbound", listen.outbound).await?;
    let peer = http_door::listen("peer", listen.peer).await?;
    let admin = http_door::listen("admin", listen.admin).await?;
    let address = |listener: &actix_rt::net::TcpListener, asked: SocketAddr| {
        listener.local_addr().unwrap_or(asked)
    };
    let doors = BoundDoors {
        inbound: address(&inbound, listen.inbound),
        outbound: address(&outbound, listen.outbound),
        peer: address(&peer, listen.peer),
        admin: address(&admin, listen.admin),
    };
    node.policy_link.announce(&node.settings, doors.peer);
    let limits = DoorLimits {
        connections: Rc::clone(&node.connections),
        ..DoorLimits::default()
    };
    let shared = node.clone();
    let handler = move |request| inbound_door::answer(shared.clone(), request);
    actix_rt::spawn(http_door::serve(inbound, limits, handler));
    let shared = node.clone();
    let handler = move |request| outbound_door::answer(shared.clone(), request);
    actix_rt::spawn(http_door::serve(outbound, DoorLimits::default(), handler));
    actix_rt::spawn(peer_server::serve(peer, PeerDoor::new(node.clone())));
    let (shared, metrics) = (node.clone(), metrics_handle());
    let handler = move |request| {
        let answer = admin_door::answer(&shared, &metrics, &request);
        std::future::ready(answer)
    };
    actix_rt::spawn(http_door::serve(admin, DoorLimits::default(), handler));
    Ok(doors)
}

/// Installs the recorder of metrics; in a process that has one already, the handle shows nothing.
fn metrics_handle() -> PrometheusHandle {
    let builder = PrometheusBuilder::new();
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    let _ = metrics::set_global_recorder(recorder);
    handle
}

/// Refuses new work and waits until what is in progress has ended.
pub async fn drain(node: &SharedNode) {
    node.drain.borrow_mut().begin();
    let in_progress = node.gate.load().in_progress;
    info!(event = events::DRAIN_STARTED, in_progress, "drain: started");
    let waiting = async {
        while !is_idle(node) {
            actix_rt::time::sleep(DRAIN_POLL).await;
        }
    };
    let finished = actix_rt::time::timeout(DRAIN_TIME_MAX, waiting)
        .await
        .is_ok();
    actix_rt::time::sleep(FLUSH_TIME).await;
    info!(event = events::DRAIN_FINISHED, finished, "drain: finished");
}

fn is_idle(node: &SharedNode) -> bool {
    let load = node.gate.load();
    load.in_progress == 0 && load.queued == 0 && node.calls.borrow().is_empty()
}
