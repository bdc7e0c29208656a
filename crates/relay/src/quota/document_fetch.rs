//! Fetches the newer document of a node that asks for tokens.

use crate::{
    calling::peer_links::PeerLinks,
    directory::{DocumentSource, FleetDirectory},
};

use lagoonshore_protocol::relay_messages::TokenAsk;
use std::{rc::Rc, time::Duration};
use tokio::{sync::Mutex, time::Instant};

/// Time that a fetch may take; an ask for tokens waits for it.
const FETCH_TIMEOUT: Duration = Duration::from_millis(60);

/// `DocumentFetch` brings the document of a counter up to date when it does not know the quota of an
/// account and the node that asks has a newer document.
pub(super) struct DocumentFetch {
    directory: Rc<FleetDirectory>,
    links: Rc<PeerLinks>,
    fetching: Mutex<()>,
}

impl DocumentFetch {
    pub(super) fn new(directory: Rc<FleetDirectory>, links: Rc<PeerLinks>) -> Self {
        Self {
            directory,
            links,
            fetching: Mutex::default(),
        }
    }

    /// Records the version of the node that asks. A newer one that the store does not deliver soon is
    /// fetched in any case.
    pub(super) fn record(&self, ask: &TokenAsk) {
        let versions = self.directory.versions();
        versions.record_document(ask.asker, ask.version);
    }

    /// Fetches the newest document that other nodes have told of, if it is newer; one fetch at a time.
    pub(super) async fn wait(&self) {
        let deadline = Instant::now() + FETCH_TIMEOUT;
        let fetch = async {
            let _fetching = self.fetching.lock().await;
            let known = *self.directory.versions().peers().borrow();
            let peer = known
                .peer
                .filter(|_| known.version > self.directory.version());
            let Some(peer) = peer else { return };
            let fetched = self.links.fetch_document(peer, deadline).await;
            if let Ok(Some(document)) = fetched {
                self.directory
                    .apply_document(document, DocumentSource::Peer);
            }
        };
        // Without the document the node answers that it does not count.
        let _ = tokio::time::timeout_at(deadline, fetch).await;
    }
}
