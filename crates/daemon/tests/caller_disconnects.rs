//! A caller that disconnects cancels its idempotent request in progress, which frees its slot;
//! otherwise the upstream would work on responses that nobody reads.

mod support;

use lagoonshore_transport::http_listener::HttpRequest;
use std::{cell::Cell, rc::Rc};
use tokio::{io::AsyncWriteExt, net::TcpStream};

const MEDICATION: &str = include_str!("../../../examples/kocaeli/records/medication-log.yaml");

/// Increments the count when the handler that holds it is dropped.
struct DropCounter(Rc<Cell<u32>>);

impl Drop for DropCounter {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

#[actix_rt::test]
async fn work_for_a_disconnected_caller_is_cancelled_at_the_upstream() {
    let (started, dropped) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let (starts, drops) = (Rc::clone(&started), Rc::clone(&dropped));
    let upstream = support::start_upstream(move |request: HttpRequest| {
        let counter = request
            .path
            .starts_with("/day")
            .then(|| DropCounter(Rc::clone(&drops)));
        starts.set(starts.get() + u32::from(counter.is_some()));
        async move {
            if counter.is_some() {
                std::future::pending::<()>().await;
            }
            support::ok_response("healthy")
        }
    });
    let record = MEDICATION.replace("timeout: 1s", "timeout: 600s");
    let node = support::start_node("medication-log", "izmit", upstream.await, &[&record]).await;
    let mut caller = TcpStream::connect(node.addresses.inbound)
        .await
        .expect("the inbound listener accepts");
    let request = b"GET /day/held HTTP/1.1\r\nhost: medication-log\r\n\r\n";
    caller
        .write_all(request)
        .await
        .expect("the request is written");
    support::wait_until(|| started.get() == 1).await;
    drop(caller);
    support::wait_until(|| dropped.get() == 1).await;
    support::wait_until(|| node.node.gate.load().in_progress == 0).await;
    assert!(node.node.calls.borrow().is_empty());
}
