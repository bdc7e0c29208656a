//! Follows a watcher of the store; see
//! [`store_watchers`](lagoonshore_coordination::forwarding::store_watchers).

use super::document_proofs::read_clocks;

use crate::{calling::peer_links::PeerLinks, directory::FleetDirectory};

use lagoonshore_coordination::forwarding::{
    read_schedule::ReadSchedule, store_watchers::FollowSchedule,
};
use lagoonshore_settings::relay_settings::StoreSettings;
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Pause after an answer that was missed.
const MISSED_PAUSE: Duration = Duration::from_millis(200);

/// `StoreFollower` keeps one call open to a watcher of the store.
pub(crate) struct StoreFollower {
    directory: Rc<FleetDirectory>,
    links: Rc<PeerLinks>,
    schedule: FollowSchedule,
}

impl StoreFollower {
    pub(crate) fn new(
        settings: &StoreSettings,
        directory: Rc<FleetDirectory>,
        links: Rc<PeerLinks>,
    ) -> Self {
        let watch_wait = ReadSchedule::new(settings.settle_time).short_wait();
        Self {
            directory,
            links,
            schedule: FollowSchedule::new(settings.view_time(), watch_wait),
        }
    }

    /// Follows the watchers until the future is dropped.
    pub(crate) async fn run(self) {
        let mut changes = self.directory.changes();
        let mut missed = 0;
        loop {
            let watchers = self.directory.watchers();
            if watchers.is_empty() {
                self.directory.store().record_no_watcher();
                // The directory holds the sender, so the channel stays open.
                let _ = changes.changed().await;
                continue;
            }
            if !self.follow(watchers[missed % watchers.len()]).await {
                self.directory.store().record_no_watcher();
                missed += 1;
                actix_rt::time::sleep(MISSED_PAUSE).await;
            }
        }
    }

    /// Waits for one answer of the watcher at `address`; returns `false` if it is missed, or if the
    /// watcher has not read the store lately.
    async fn follow(&self, address: SocketAddr) -> bool {
        let versions = self.directory.versions();
        let seen = versions.known_revision();
        let called = read_clocks();
        let Ok(view) = self.links.store_view(address, seen, self.schedule).await else {
            return false;
        };
        self.directory.record_view(address, called, &view);
        let read_age = Duration::from_millis(view.read_age_ms.into());
        if read_age > self.schedule.read_age_max {
            return false;
        }
        self.directory.store().record_watcher(read_age);
        true
    }
}
