//! HTTP/1.1 as the forwarding path needs it: heads are relayed byte for byte, pipelined requests
//! are served at the same time, and an answer that was cut off is told from a whole one.

pub mod body;
pub mod exchange;
pub mod head;
pub mod pool;
mod response_writer;
pub mod server;
mod server_connection;
