//! A fake upstream that one request can crash: its listener and all its connections close at once.

// Each test binary uses only part of this module.
#![allow(dead_code, unreachable_pub)]

use super::support;

use lagoonshore_transport::http_listener::{self, HttpRequest, HttpResponse, ListenerLimits};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU16, AtomicU32, Ordering},
        mpsc,
    },
    thread,
};
use tokio::sync::{Notify, Semaphore};

/// Request body that crashes the upstream which runs it.
pub const POISON: &str = "poison";

/// `CrashingUpstream` is a fake upstream on its own thread. A crash ends the thread, which closes
/// its sockets as the end of a process does.
#[derive(Clone)]
pub struct CrashingUpstream {
    /// Address of its listener; it stays the same after [`Self::restart`].
    pub address: SocketAddr,
    state: Arc<SharedState>,
}

struct SharedState {
    health: AtomicU16,
    runs: AtomicU32,
    crashes: AtomicU32,
    crash: Notify,
    release_permits: Semaphore,
}

impl CrashingUpstream {
    /// Starts an upstream on a free port. Requests whose path ends in `held` wait for
    /// [`Self::release`].
    pub fn start() -> Self {
        Self::start_at(support::parse_address(support::ANY_PORT))
    }

    fn start_at(address: SocketAddr) -> Self {
        let shared = Arc::new(SharedState {
            health: AtomicU16::new(200),
            runs: AtomicU32::new(0),
            crashes: AtomicU32::new(0),
            crash: Notify::new(),
            release_permits: Semaphore::new(0),
        });
        let state = Arc::clone(&shared);
        let (sender, bound) = mpsc::channel();
        thread::spawn(move || {
            // Dropping the runtime closes every socket of the upstream.
            actix_rt::System::new().block_on(serve(address, shared, sender));
        });
        let address = bound.recv().expect("the upstream listens");
        Self { address, state }
    }

    /// Starts a new upstream at the same address, with its counters at zero.
    pub fn restart(&self) -> Self {
        Self::start_at(self.address)
    }

    /// Ends the upstream without a request that crashes it; [`Self::crashes`] does not count this.
    pub fn kill(&self) {
        self.state.crash.notify_one();
    }

    /// Sets the status code that `/health` responds with (200 at the start).
    pub fn set_health(&self, status: u16) {
        self.state.health.store(status, Ordering::SeqCst);
    }

    /// Lets `count` held requests respond.
    pub fn release(&self, count: usize) {
        self.state.release_permits.add_permits(count);
    }

    /// Requests that started to run, without health probes.
    pub fn runs(&self) -> u32 {
        self.state.runs.load(Ordering::SeqCst)
    }

    /// Requests with the body [`POISON`] that ran.
    pub fn crashes(&self) -> u32 {
        self.state.crashes.load(Ordering::SeqCst)
    }
}

async fn serve(address: SocketAddr, state: Arc<SharedState>, bound: mpsc::Sender<SocketAddr>) {
    let listener = http_listener::listen("upstream", address)
        .await
        .expect("the address is free");
    let address = listener.local_addr().expect("the listener is bound");
    bound.send(address).expect("the test waits for the address");
    let shared = Arc::clone(&state);
    let handler = move |request| respond(Arc::clone(&shared), request);
    tokio::select! {
        () = http_listener::serve(listener, ListenerLimits::default(), handler) => {}
        () = state.crash.notified() => {}
    }
}

async fn respond(state: Arc<SharedState>, request: HttpRequest) -> HttpResponse {
    if request.path == "/health" {
        let mut response = support::ok_response("");
        response.status = state.health.load(Ordering::SeqCst);
        return response;
    }
    state.runs.fetch_add(1, Ordering::SeqCst);
    if request.body.as_deref() == Ok(POISON.as_bytes()) {
        state.crashes.fetch_add(1, Ordering::SeqCst);
        state.crash.notify_one();
        std::future::pending::<()>().await;
    }
    if request.path.ends_with("held") {
        let permit = state
            .release_permits
            .acquire()
            .await
            .expect("the semaphore stays open");
        permit.forget();
    }
    support::ok_response(&request.path)
}
