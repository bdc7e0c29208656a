//! Documents, from the store and from other nodes.

use super::{DocumentSource, FleetDirectory};

use crate::events;

use lagoonshore_protocol::relay_messages::FleetSnapshot;
use lagoonshore_state::route_table::{FleetDocument, RouteTable};
use std::rc::Rc;
use tracing::{info, warn};

impl FleetDirectory {
    /// Puts a document in force if it is newer than the current one; returns whether it was.
    pub fn apply_document(&self, document: FleetDocument, source: DocumentSource) -> bool {
        let held = self.version();
        if document.version <= held {
            return false;
        }
        info!(
            event = events::DOCUMENT_IN_FORCE,
            version = document.version,
            held,
            routes = document.routes.len(),
            ?source,
            "document: in force"
        );
        let document = Rc::new(document);
        let table = RouteTable::new((*document).clone());
        self.routes.replace(Rc::new(table));
        self.document.replace(Some(document));
        self.notify_change();
        true
    }

    /// Returns the document and the upstream list, for a node that has just started; `None` before
    /// the first document.
    #[must_use]
    pub fn snapshot(&self) -> Option<FleetSnapshot> {
        let document = (*self.document()?).clone();
        let upstreams = self.upstreams.borrow();
        Some(FleetSnapshot {
            document,
            upstreams: upstreams.iter().cloned().collect(),
        })
    }

    /// Merges the document and upstream list of another node if no document is in force yet.
    /// Once the store is read, its data takes precedence.
    pub fn merge_snapshot(&self, snapshot: FleetSnapshot) {
        if self.version() > 0 {
            return;
        }
        for record in snapshot.upstreams {
            self.upsert_upstream(record);
        }
        self.apply_document(snapshot.document, DocumentSource::Peer);
        self.mark_list_read();
    }

    /// Logs and counts an invalid document; the one in force stays. `revision` is that of the store.
    pub fn refuse_document(&self, revision: u64, error: &str) {
        self.refused_count.set(self.refused_count.get() + 1);
        let held = self.version();
        warn!(
            event = events::DOCUMENT_REFUSED,
            revision,
            held,
            fault = error,
            "document: refused"
        );
    }
}
