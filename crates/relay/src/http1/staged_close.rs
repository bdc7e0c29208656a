//! Close of a connection on which the caller may still be sending.
//!
//! Closing with unread input would reset the connection, and the last response could be lost (RFC 9112,
//! section 9.6). So the write side is closed first, and input is read and discarded for a while.

use actix_rt::net::TcpStream;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Bytes that are discarded at once.
const DISCARD_BYTES: usize = 4 * 1024;

/// Closes the write side and discards input until the caller closes, for `timeout` at most.
pub(crate) async fn close(mut stream: TcpStream, timeout: Duration) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut discarded = vec![0; DISCARD_BYTES];
    let reading = async {
        while stream.read(&mut discarded).await.is_ok_and(|read| read > 0) {
            // A caller that goes on sending must not hold up others.
            tokio::task::yield_now().await;
        }
    };
    // The connection is dropped either way.
    let _ = actix_rt::time::timeout(timeout, reading).await;
}
