//! HTTP/1.1 for the forwarding path: header fields are relayed byte for byte, pipelined requests
//! are handled concurrently, and a truncated response is told apart from a complete one.

pub mod body;
mod connection_table;
pub mod credentials;
pub mod exchange;
mod field_summary;
pub mod head;
mod input_pool;
pub mod pool;
pub mod request_handler;
mod response_output;
pub mod server;
mod server_connection;
mod staged_close;

pub use lagoonshore_transport::memory_budget;
