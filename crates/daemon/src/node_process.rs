//! Runs one node from its start to the end of a planned stop.

use crate::{
    distribution::{digest_exchange, platform_watch},
    error::{Result, SignalsSnafu},
    events,
    lifecycle::{node_lifecycle, planned_stop},
    listeners::{admin_listener, inbound_listener, outbound_listener, peer_listener::PeerListener},
    node::{Node, SharedNode},
    protection::health_probe,
};

use actix_rt::net::TcpListener;
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

/// `BoundAddresses` holds the addresses of a node's listeners.
#[derive(Clone, Copy, Debug)]
pub struct BoundAddresses {
    /// Listener for callers.
    pub inbound: SocketAddr,
    /// Listener for the calls of the upstream.
    pub outbound: SocketAddr,
    /// Listener for other nodes.
    pub peer: SocketAddr,
    /// Listener for operators.
    pub admin: SocketAddr,
}

/// Runs a node until a planned stop is requested and finished.
///
/// # Errors
/// [`DaemonError`](crate::DaemonError) names the listener that cannot be opened or the missing
/// resource.
pub async fn run(settings: NodeSettings) -> Result<()> {
    let node = Node::new(settings)?;
    let stop = signals::wait_for_stop();
    node.gossip.begin_startup(&node.settings);
    let addresses = open_listeners(&node).await?;
    let BoundAddresses {
        inbound,
        outbound,
        peer,
        admin,
    } = addresses;
    info!(
        event = events::NODE_STARTED,
        instance = %node.settings.instance, %inbound, %outbound, %peer, %admin,
        "node: started"
    );
    let reader = Rc::new(ConsulReader::new(&node.settings.platform));
    actix_rt::spawn(platform_watch::run(node.clone(), reader));
    actix_rt::spawn(digest_exchange::run(node.clone()));
    actix_rt::spawn(health_probe::run(node.clone()));
    actix_rt::spawn(node_lifecycle::watch_pauses(node.clone()));
    stop.await.context(SignalsSnafu)?;
    planned_stop::run(&node).await;
    Ok(())
}

/// Opens the listeners of `node` and serves them on the current thread.
///
/// # Errors
/// [`DaemonError::Transport`](crate::DaemonError::Transport) names the listener that cannot be
/// opened.
pub async fn open_listeners(node: &SharedNode) -> Result<BoundAddresses> {
    let listen = &node.settings.listen;
    let inbound = http_listener::listen("inbound", listen.inbound).await?;
    let outbound = http_listener::listen("outbound", listen.outbound).await?;
    let peer = http_listener::listen("peer", listen.peer).await?;
    let admin = http_listener::listen("admin", listen.admin).await?;
    let address =
        |listener: &TcpListener, requested: SocketAddr| listener.local_addr().unwrap_or(requested);
    let addresses = BoundAddresses {
        inbound: address(&inbound, listen.inbound),
        outbound: address(&outbound, listen.outbound),
        peer: address(&peer, listen.peer),
        admin: address(&admin, listen.admin),
    };
    node.gossip.set_own_address(&node.settings, addresses.peer);
    serve_inbound(node, inbound);
    serve_outbound(node, outbound);
    actix_rt::spawn(peer_server::serve(peer, PeerListener::new(node.clone())));
    serve_admin(node, admin);
    node_lifecycle::start_serving(node);
    Ok(addresses)
}

fn serve_inbound(node: &SharedNode, listener: TcpListener) {
    let limits = ListenerLimits {
        connections: Rc::clone(&node.connections),
        close_signal: node.protection.close_signal.clone(),
        ..ListenerLimits::default()
    };
    let shared = node.clone();
    let handler = move |request| {
        let (node, active) = (shared.clone(), shared.protection.active.start_request());
        async move {
            let response = inbound_listener::handle(node, request).await;
            drop(active);
            response
        }
    };
    actix_rt::spawn(http_listener::serve(listener, limits, handler));
}

fn serve_outbound(node: &SharedNode, listener: TcpListener) {
    let (limits, shared) = (ListenerLimits::default(), node.clone());
    let handler = move |request| outbound_listener::handle(shared.clone(), request);
    actix_rt::spawn(http_listener::serve(listener, limits, handler));
}

fn serve_admin(node: &SharedNode, listener: TcpListener) {
    let (shared, metrics) = (node.clone(), metrics_recorder::handle());
    actix_rt::spawn(metrics_recorder::run_upkeep(metrics.clone()));
    let limits = ListenerLimits::default();
    let handler = move |request| {
        let response = admin_listener::handle(&shared, &metrics, &request);
        std::future::ready(response)
    };
    actix_rt::spawn(http_listener::serve(listener, limits, handler));
}
