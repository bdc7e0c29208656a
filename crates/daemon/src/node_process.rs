//! Runs one node from its start to the end of a planned stop.

use crate::{
    distribution::{digest_exchange, platform_watch},
    doors::{admin_door, inbound_door, outbound_door, peer_door::PeerDoor},
    error::{Result, SignalsSnafu},
    guards::health_probe,
    life::{life_cycle, planned_stop},
    node::{Node, SharedNode},
    observation::events,
};

use lagoonshore_settings::NodeSettings;
use lagoonshore_transport::{
    http_listener::{self, ListenerLimits},
    metrics_recorder, peer_server,
    platform_reader::ConsulReader,
    signals,
};
use snafu::ResultExt;
use std::{net::SocketAddr, rc::Rc};
use tracing::info;

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
    let stop = signals::wait_for_stop();
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
    actix_rt::spawn(health_probe::run(node.clone()));
    actix_rt::spawn(life_cycle::watch_pauses(node.clone()));
    stop.await.context(SignalsSnafu)?;
    planned_stop::run(&node).await;
    Ok(())
}

/// Opens the doors of `node` and serves them on the current thread.
///
/// # Errors
/// Names the door that cannot be opened.
pub async fn open(node: &SharedNode) -> Result<BoundDoors> {
    let listen = &node.settings.listen;
    let inbound = http_listener::listen("inbound", listen.inbound).await?;
    let outbound = http_listener::listen("outbound", listen.outbound).await?;
    let peer = http_listener::listen("peer", listen.peer).await?;
    let admin = http_listener::listen("admin", listen.admin).await?;
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
    let limits = ListenerLimits {
        connections: Rc::clone(&node.connections),
        close_signal: node.guard.closing.clone(),
        ..ListenerLimits::default()
    };
    let shared = node.clone();
    let handler = move |request| {
        let (node, mark) = (shared.clone(), shared.guard.work.enter());
        async move {
            let answer = inbound_door::answer(node, request).await;
            drop(mark);
            answer
        }
    };
    actix_rt::spawn(http_listener::serve(inbound, limits, handler));
    let shared = node.clone();
    let handler = move |request| outbound_door::answer(shared.clone(), request);
    actix_rt::spawn(http_listener::serve(
        outbound,
        ListenerLimits::default(),
        handler,
    ));
    actix_rt::spawn(peer_server::serve(peer, PeerDoor::new(node.clone())));
    let (shared, metrics) = (node.clone(), metrics_recorder::handle());
    actix_rt::spawn(metrics_recorder::run_upkeep(metrics.clone()));
    let handler = move |request| {
        let answer = admin_door::answer(&shared, &metrics, &request);
        std::future::ready(answer)
    };
    actix_rt::spawn(http_listener::serve(
        admin,
        ListenerLimits::default(),
        handler,
    ));
    life_cycle::open(node);
    Ok(doors)
}
