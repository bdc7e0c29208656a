//! Learns at once when a node at the other end of a link begins to leave.

use crate::tarpc_link;

use lagoonshore_protocol::peer_service::PeerServiceClient;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tarpc::client::RpcError;
use tokio::time::Instant;

/// Time for which one call waits for a change before it is made again.
const WATCH_TIMEOUT: Duration = Duration::from_mins(10);
/// Time for which a node whose link ended after its notice still counts as leaving.
const DISCONNECTED_LEAVING_TIME: Duration = Duration::from_secs(5);

/// `LeavingHook` is told the address of a node and whether it is leaving.
pub type LeavingHook = Rc<dyn Fn(SocketAddr, bool)>;

/// Follows the node at `address` until the link ends.
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
