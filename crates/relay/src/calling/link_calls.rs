//! The calls that a node makes on its links to other nodes.

use super::{
    peer_link::InFlightGuard,
    peer_links::{LinkError, PeerLinks, RequestLink},
};

use lagoonshore_coordination::{
    forwarding::store_watchers::FollowSchedule, protection::suspects::SuspectReport,
};
use lagoonshore_protocol::relay_messages::{
    FleetSnapshot, NodeStatus, RelayReply, RelayRequest, StoreView, TokenAsk, TokenGrant,
};
use lagoonshore_state::{route_table::FleetDocument, units::whole_millis};
use lagoonshore_transport::tarpc_link::context;
use std::{net::SocketAddr, rc::Rc};
use tokio::time::Instant;

impl PeerLinks {
    /// Has the node at the other end of `link` run `request`. Dropping the future cancels the request
    /// there. With `may_run_twice` the call fails with [`LinkError::Lost`] as soon as the node is
    /// suspected.
    ///
    /// # Errors
    /// [`LinkError`] if no reply arrives.
    pub async fn relay(
        self: &Rc<Self>,
        link: &RequestLink,
        request: RelayRequest,
        deadline: Instant,
        may_run_twice: bool,
    ) -> Result<RelayReply, LinkError> {
        let RequestLink { address, link } = link;
        let in_flight = InFlightGuard::new(link);
        let mut suspected = link.suspected.subscribe();
        let reply = tokio::select! {
            reply = link.client.relay(context(deadline), request) => reply,
            Ok(_) = suspected.wait_for(|is_suspected| *is_suspected), if may_run_twice => {
                return Err(LinkError::Lost);
            }
        };
        drop(in_flight);
        if reply.is_ok() {
            link.record_reply();
        }
        reply.map_err(|error| self.call_error(*address, link, &error))
    }

    /// Fetches the document that the node at `address` has in force.
    ///
    /// # Errors
    /// [`LinkError`] if no reply arrives.
    pub async fn fetch_document(
        self: &Rc<Self>,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Option<FleetDocument>, LinkError> {
        let link = self.open_link(address).await?;
        let reply = link.client.document(context(deadline)).await;
        reply.map_err(|error| self.call_error(address, &link, &error))
    }

    /// Requests the status of the node at `address`.
    ///
    /// # Errors
    /// [`LinkError`] if no reply arrives.
    pub async fn probe(
        self: &Rc<Self>,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<NodeStatus, LinkError> {
        let link = self.open_link(address).await?;
        let reply = link.client.probe(context(deadline)).await;
        reply.map_err(|error| self.call_error(address, &link, &error))
    }

    /// Waits until the node at `address` knows more of the store than the revision `seen`, for `wait` at
    /// most, and returns what it knows.
    ///
    /// # Errors
    /// [`LinkError`] if no reply arrives.
    pub async fn store_view(
        self: &Rc<Self>,
        address: SocketAddr,
        seen: u64,
        schedule: FollowSchedule,
    ) -> Result<StoreView, LinkError> {
        let deadline = Instant::now() + schedule.timeout;
        let link = self.open_link(address).await?;
        let wait_ms = whole_millis(schedule.wait);
        let call = link.client.store_view(context(deadline), seen, wait_ms);
        let reply = tokio::time::timeout_at(deadline, call).await;
        match reply {
            Ok(Ok(view)) => Ok(view),
            Ok(Err(error)) => Err(self.call_error(address, &link, &error)),
            Err(_) => {
                // The link may have gone silent: a probe decides whether it is used any longer.
                let _ = self.check(address, &link).await;
                Err(LinkError::TimedOut)
            }
        }
    }

    /// Asks the node at `address` for tokens of a quota.
    ///
    /// # Errors
    /// [`LinkError`] if no reply arrives; the tokens may have been taken.
    pub async fn take_tokens(
        self: &Rc<Self>,
        address: SocketAddr,
        ask: TokenAsk,
        deadline: Instant,
    ) -> Result<TokenGrant, LinkError> {
        let asking = async {
            let link = self.open_link(address).await?;
            let in_flight = InFlightGuard::new(&link);
            let reply = link.client.take_tokens(context(deadline), ask).await;
            drop(in_flight);
            if reply.is_ok() {
                link.record_reply();
            }
            reply.map_err(|error| self.call_error(address, &link, &error))
        };
        // A connection attempt may take longer.
        let reply = tokio::time::timeout_at(deadline, asking).await;
        reply.unwrap_or(Err(LinkError::TimedOut))
    }

    /// Sends the document and the upstream list to the node at `address`.
    ///
    /// # Errors
    /// [`LinkError`] if no reply arrives; the node may have received the message.
    pub async fn push_snapshot(
        self: &Rc<Self>,
        address: SocketAddr,
        snapshot: FleetSnapshot,
        deadline: Instant,
    ) -> Result<(), LinkError> {
        let link = self.open_link(address).await?;
        let sent = link.client.teach(context(deadline), snapshot).await;
        sent.map_err(|error| self.call_error(address, &link, &error))
    }

    /// Reports suspect requests to the node at `address`.
    ///
    /// # Errors
    /// [`LinkError`] if no reply arrives; the node may have received the message.
    pub async fn report_suspects(
        self: &Rc<Self>,
        address: SocketAddr,
        reports: Vec<SuspectReport>,
        deadline: Instant,
    ) -> Result<(), LinkError> {
        let link = self.open_link(address).await?;
        let sent = link.client.suspects(context(deadline), reports).await;
        sent.map_err(|error| self.call_error(address, &link, &error))
    }
}
