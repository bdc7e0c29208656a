//! Asks other nodes for a proof of the document in force when the own one grows old.

use super::document_proofs::{DocumentProofs, read_clocks};

use crate::{calling::peer_links::PeerLinks, directory::FleetDirectory};

use lagoonshore_coordination::forwarding::{
    document_proof::ProofBounds, proof_sources, store_watchers::FollowSchedule,
};
use lagoonshore_state::{ids::ZoneName, instance_table::InstanceState};
use rand::Rng;
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

/// Time for the answer of a node that is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Spread of the pause between two questions around its mean.
const PAUSE_SPREAD: std::ops::Range<f64> = 0.7..1.3;

/// `ProofSeeker` keeps the proof of a node younger than the bound, as long as any other node has one.
pub(crate) struct ProofSeeker {
    directory: Rc<FleetDirectory>,
    links: Rc<PeerLinks>,
    own_address: SocketAddr,
    /// Number of questions so far.
    questions: Cell<usize>,
}

impl ProofSeeker {
    pub(crate) const fn new(
        directory: Rc<FleetDirectory>,
        links: Rc<PeerLinks>,
        own_address: SocketAddr,
    ) -> Self {
        Self {
            directory,
            links,
            own_address,
            questions: Cell::new(0),
        }
    }

    /// Seeks proofs until the future is dropped; does nothing while no document has accounts.
    pub(crate) async fn run(self) {
        let mut changes = self.directory.changes();
        loop {
            let Some(bounds) = self.directory.proof_bounds() else {
                // The directory holds the sender, so the channel stays open.
                let _ = changes.changed().await;
                continue;
            };
            let proofs = self.directory.proofs();
            proofs.log_changes(bounds, self.directory.version());
            if let Some(left) = time_left(proofs, bounds) {
                tokio::time::sleep(left).await;
                continue;
            }
            self.ask().await;
            let factor = rand::rng().random_range(PAUSE_SPREAD);
            tokio::time::sleep(bounds.ask_pause().mul_f64(factor)).await;
        }
    }

    /// Asks one node for its proof.
    async fn ask(&self) {
        let question = self.questions.get();
        self.questions.set(question.wrapping_add(1));
        let Some(address) =
            proof_sources::choose_source(self.peers().into_iter(), question, &mut rand::rng())
        else {
            return;
        };
        let schedule = FollowSchedule {
            wait: Duration::ZERO,
            timeout: ANSWER_TIMEOUT,
            read_age_max: Duration::ZERO,
        };
        let versions = self.directory.versions();
        let called = read_clocks();
        let asking = self
            .links
            .store_view(address, versions.known_revision(), schedule);
        let Ok(Ok(view)) = tokio::time::timeout(ANSWER_TIMEOUT, asking).await else {
            return;
        };
        self.directory.record_view(address, called, &view);
    }

    fn peers(&self) -> Vec<(ZoneName, SocketAddr)> {
        let table = self.directory.instances();
        let others = table.iter().filter(|(_, record)| {
            record.state == InstanceState::Live && record.peer != self.own_address
        });
        others
            .map(|(_, record)| (record.zone.clone(), record.peer))
            .collect()
    }
}

/// Time until the proof is so old that others are asked; `None` if it is.
fn time_left(proofs: &DocumentProofs, bounds: ProofBounds) -> Option<Duration> {
    let left = bounds.ask_age().checked_sub(proofs.age()?)?;
    (!left.is_zero()).then_some(left)
}
