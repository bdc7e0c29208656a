//! An upstream that a request can crash: its listener and all its connections close at once.

// Each test file uses its own part of the fake.
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

/// Body that crashes the upstream which runs it.
pub const POISON: &str = "poison";

/// `CrashingUpstream` runs on a thread of its own, which ends with the crash.
#[derive(Clone)]
pub struct CrashingUpstream {
    /// Its address.
    pub address: SocketAddr,
    state: Arc<UpstreamFacts>,
}

struct UpstreamFacts {
    health: AtomicU16,
    runs: AtomicU32,
    crashes: AtomicU32,
    crash: Notify,
    gate: Semaphore,
}

impl CrashingUpstream {
    /// Starts an upstream on any free port. Paths that end in `held` wait for [`Self::release`].
    pub fn start() -> Self {
        Self::start_at(support::address(support::ANY_PORT))
    }

    fn start_at(address: SocketAddr) -> Self {
        let facts = Arc::new(UpstreamFacts {
            health: AtomicU16::new(200),
            runs: AtomicU32::new(0),
            crashes: AtomicU32::new(0),
            crash: Notify::new(),
            gate: Semaphore::new(0),
        });
        let state = Arc::clone(&facts);
        let (sender, bound) = mpsc::channel();
        thread::spawn(move || {
            // Dropping the system closes every socket of the upstream.
            actix_rt::System::new().block_on(serve(address, facts, sender));
        });
        let address = bound.recv().expect("the upstream listens");
        Self { address, state }
    }

    /// Starts a new upstream at the same address.
    pub fn restart(&self) -> Self {
        Self::start_at(self.address)
    }

    /// Closes the upstream from outside.
    pub fn kill(&self) {
        self.state.crash.notify_one();
    }

    /// Sets the status of the health endpoint.
    pub fn set_health(&self, status: u16) {
        self.state.health.store(status, Ordering::SeqCst);
    }

    /// Lets held requests answer.
    pub fn release(&self, count: usize) {
        self.state.gate.add_permits(count);
    }

    /// Requests that began to run.
    pub fn runs(&self) -> u32 {
        self.state.runs.load(Ordering::SeqCst)
    }

    /// Crashes by a request.
    pub fn crashes(&self) -> u32 {
        self.state.crashes.load(Ordering::SeqCst)
    }
}

async fn serve(address: SocketAddr, facts: Arc<UpstreamFacts>, bound: mpsc::Sender<SocketAddr>) {
    let listener = http_listener::listen("upstream", address)
        .await
        .expect("the address is free");
    let address = listener.local_addr().expect("a bound address");
    bound.send(address).expect("the test waits for the address");
    let shared = Arc::clone(&facts);
    let handler = move |request| answer(Arc::clone(&shared), request);
    tokio::select! {
        () = http_listener::serve(listener, ListenerLimits::default(), handler) => {}
        () = facts.crash.notified() => {}
    }
}

async fn answer(facts: Arc<UpstreamFacts>, request: HttpRequest) -> HttpResponse {
    if request.path == "/health" {
        let mut answer = support::ok("");
        answer.status = facts.health.load(Ordering::SeqCst);
        return answer;
    }
    facts.runs.fetch_add(1, Ordering::SeqCst);
    if request.body.as_deref() == Ok(POISON.as_bytes()) {
        facts.crashes.fetch_add(1, Ordering::SeqCst);
        facts.crash.notify_one();
        std::future::pending::<()>().await;
    }
    if request.path.ends_with("held") {
        let permit = facts.gate.acquire().await.expect("the gate stays open");
        permit.forget();
    }
    support::ok(&request.path)
}
