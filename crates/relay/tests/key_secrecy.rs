//! A key appears in no log line and in no state dump. The test has a process of its own, because it captures
//! the log.

mod support;

use lagoonshore_coordination::forwarding::document_proof::ProofBounds;
use lagoonshore_relay::{directory::DocumentSource, store_view::document_proofs::read_clocks};
use lagoonshore_state::{
    account::{AccountEntry, AccountKey},
    route_table::FleetDocument,
};
use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    time::Duration,
};
use support::{CallerResponse, FleetMember, TestFleet, ask, document, route};

const KEY: &str = "key-of-ann-93";
const HEAD: &str = "Authorization: Bearer key-of-ann-93\r\n";

fn with_key() -> FleetDocument {
    let ann = AccountEntry {
        name: "ann".into(),
        keys: vec![AccountKey::new(KEY.into())],
        importance: None,
        quota: None,
    };
    FleetDocument {
        accounts: Some(vec![ann]),
        ..document(1, &[route("/a/", "a", true)])
    }
}

async fn request(member: &FleetMember, id: &str, more: &str) -> CallerResponse {
    ask(member.listen.callers, "GET", "/a/x", id, more).await
}

/// Log lines of a test.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[actix_rt::test]
async fn no_key_is_logged_or_shown() {
    let buffer = LogBuffer::default();
    let writer = buffer.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(tracing::Level::TRACE)
        .with_writer(move || writer.clone())
        .finish();
    let _guard = tracing::subscriber::set_default(subscriber);
    let fleet = TestFleet::start(&[("a", "z1")]).await;
    let member = &fleet.members[0];
    let directory = &member.node.directory;
    directory.proofs().set_bounds(Some(ProofBounds {
        revocation: Duration::from_secs(30),
        apply: Duration::from_secs(15),
    }));
    directory.apply_document(with_key(), DocumentSource::Store);
    assert_eq!(request(member, "r1", HEAD).await.status, 503);
    directory.proofs().record_read(read_clocks());
    assert_eq!(request(member, "r2", HEAD).await.status, 200);
    let unknown = "Authorization: Bearer unknown-key\r\n";
    assert_eq!(request(member, "r3", unknown).await.status, 401);
    let two = format!("{HEAD}{unknown}");
    assert_eq!(request(member, "r4", &two).await.status, 401);
    let lines = String::from_utf8_lossy(&buffer.0.lock().expect("no panic")).into_owned();
    for event in ["3101", "3211"] {
        assert!(lines.contains(event), "{lines}");
    }
    let state = serde_json::to_string(&member.node.dump()).expect("JSON");
    let fingerprint = AccountKey::new(KEY.into()).fingerprint().to_string();
    assert!(state.contains(&fingerprint), "{state}");
    for text in [&lines, &state] {
        assert!(
            !text.contains(KEY) && !text.contains("unknown-key"),
            "{text}"
        );
    }
}
