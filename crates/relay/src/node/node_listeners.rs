//! The listeners of a node, from their sockets to the tasks that serve them.

use super::RelayNode;

use crate::{
    active_count::ActiveCount,
    admin_listener::AdminListener,
    error::Result,
    http1::server::{self, ServerLimits},
    node_pages::NodePages,
    peer_listener::PeerListener,
    process_limits,
};

use actix_rt::net::TcpListener;
use lagoonshore_settings::relay_settings::RelayListenSettings;
use lagoonshore_transport::{http_listener, metrics_recorder};
use std::{net::SocketAddr, rc::Rc};

/// Concurrent connections of operators, and of readiness checks.
const ADMIN_CONNECTIONS_MAX: usize = 32;

/// `BoundListeners` are the sockets of a node, which are bound and not served yet.
pub(super) struct BoundListeners {
    callers: TcpListener,
    ready: TcpListener,
    peers: TcpListener,
    admin: TcpListener,
    addresses: RelayListenSettings,
}

impl BoundListeners {
    /// Binds the sockets.
    ///
    /// # Errors
    /// [`crate::RelayError::Listener`] if a listener cannot be opened.
    pub(super) async fn bind(listen: RelayListenSettings) -> Result<Self> {
        let callers = http_listener::listen("callers", listen.callers).await?;
        let ready = http_listener::listen("ready", listen.ready).await?;
        let peers = http_listener::listen("peers", listen.peers).await?;
        let admin = http_listener::listen("admin", listen.admin).await?;
        let addresses = RelayListenSettings {
            callers: bound_address(&callers, listen.callers),
            ready: bound_address(&ready, listen.ready),
            peers: bound_address(&peers, listen.peers),
            admin: bound_address(&admin, listen.admin),
        };
        Ok(Self {
            callers,
            ready,
            peers,
            admin,
            addresses,
        })
    }

    /// Addresses that the sockets are bound to.
    pub(super) const fn addresses(&self) -> RelayListenSettings {
        self.addresses
    }

    /// Serves the listeners on the current thread.
    pub(super) fn serve(self, node: &Rc<RelayNode>) {
        serve_callers(node, self.callers);
        serve_ready(node, self.ready);
        serve_peers(node, self.peers);
        serve_admin(node, self.admin);
    }
}

fn serve_callers(node: &RelayNode, listener: TcpListener) {
    let serving = server::serve(
        listener,
        Rc::clone(&node.callers),
        node.scheme,
        Rc::clone(&node.caller_connections),
        caller_limits(node),
    );
    actix_rt::spawn(serving);
}

fn serve_ready(node: &RelayNode, listener: TcpListener) {
    let serving = server::serve(
        listener,
        Rc::clone(&node.ready),
        node.scheme,
        ActiveCount::default(),
        limits(node, ADMIN_CONNECTIONS_MAX),
    );
    actix_rt::spawn(serving);
}

fn serve_peers(node: &RelayNode, listener: TcpListener) {
    let (server, directory) = (Rc::clone(&node.server), Rc::clone(&node.directory));
    let counters = Rc::clone(&node.quota_counters);
    let peer_listener = PeerListener::new(server, directory, counters, node.budget.clone());
    actix_rt::spawn(peer_listener.serve_links(listener));
}

fn serve_admin(node: &Rc<RelayNode>, listener: TcpListener) {
    let pages = NodePages::new(Rc::clone(node));
    let admin_listener = AdminListener::new(metrics_recorder::handle(), pages);
    let serving = server::serve(
        listener,
        Rc::new(admin_listener),
        node.scheme,
        ActiveCount::default(),
        limits(node, ADMIN_CONNECTIONS_MAX),
    );
    actix_rt::spawn(serving);
}

/// Limits of the listener for callers, whose connections have to fit the descriptors and the
/// memory of the process.
fn caller_limits(node: &RelayNode) -> ServerLimits {
    let process = process_limits::of_process(&node.settings);
    let connections = process.caller_connections(node.settings.callers.connections);
    limits(node, usize::try_from(connections).unwrap_or(usize::MAX))
}

/// Limits of a listener with `connections` connections at most.
fn limits(node: &RelayNode, connections: usize) -> ServerLimits {
    let callers = node.settings.callers;
    ServerLimits {
        connections,
        body_time: callers.body_time,
        body_bytes_per_second: callers.body_bytes_per_second,
        response_time: callers.response_time,
        response_bytes_per_second: callers.response_bytes_per_second,
        budget: node.budget.clone(),
    }
}

fn bound_address(listener: &TcpListener, asked: SocketAddr) -> SocketAddr {
    // If the bound address is unavailable, the requested one is reported.
    listener.local_addr().unwrap_or(asked)
}
