//! Watches whether the node at the other end of a link is draining.

use crate::tarpc_link;

use lagoonshore_protocol::peer_service::PeerServiceClient;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tarpc::client::RpcError;
use tokio::time::Instant;

/// Timeout of one long poll, after which the next one starts.
const WATCH_TIMEOUT: Duration = Duration::from_mins(10);
/// Time for which a node that was draining still counts as draining after its link ended.
const DISCONNECTED_LEAVING_TIME: Duration = Duration::from_secs(5);

/// `LeavingHook` is called with the address of a node and whether the node is draining.
pub type LeavingHook = Rc<dyn Fn(SocketAddr, bool)>;

/// Watches the node at `address` until the link ends.
pub(crate) async fn watch(client: PeerServiceClient, address: SocketAddr, hook: LeavingHook) {
    let mut seen = false;
    loop {
        let context = tarpc_link::context(Instant::now() + WATCH_TIMEOUT);
        match client.leaving(context, seen).await {
            Ok(is_leaving) => {
                seen = is_leaving;
                hook(address, seen);
            }
            Err(RpcError::DeadlineExceeded) => {}
            Err(_) => break,
        }
    }
    if seen {
        actix_rt::time::sleep(DISCONNECTED_LEAVING_TIME).await;
        hook(address, false);
    }
}
