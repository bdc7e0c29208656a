//! What a node knows of its peers, and the choice among them.

use super::peer_links::LinkEvent;

use crate::directory::FleetDirectory;

use lagoonshore_coordination::{
    forwarding::zone_health::ZoneHealth,
    request::request_lifecycle::CallRefusal,
    routing::{PeerSelector, PeerSummary, RoutingOrigin, peer_view::ReportedLoad},
};
use lagoonshore_protocol::relay_messages::NodeStatus;
use lagoonshore_settings::RelaySettings;
use lagoonshore_state::{ids::InstanceName, instance_table::InstanceKey};
use rand::rngs::SmallRng;
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::Instant;

/// `PeerTarget` is the instance that a request goes to.
#[derive(Clone, Debug)]
pub struct PeerTarget {
    /// The instance.
    pub key: InstanceKey,
    /// Its name.
    pub name: InstanceName,
    /// Address of the node beside it.
    pub address: SocketAddr,
}

/// `PeerTable` chooses peers by what the node has seen of them.
pub struct PeerTable {
    directory: Rc<FleetDirectory>,
    selector: RefCell<PeerSelector>,
    doubt: RefCell<ZoneHealth>,
    random: RefCell<SmallRng>,
}

impl PeerTable {
    /// Creates a book in which nothing is known.
    #[must_use]
    pub fn new(settings: &RelaySettings, directory: Rc<FleetDirectory>, random: SmallRng) -> Self {
        let origin = RoutingOrigin {
            // The own upstream takes requests like any other.
            instance: InstanceName::default(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        };
        Self {
            directory,
            selector: RefCell::new(PeerSelector::new(origin)),
            doubt: RefCell::default(),
            random: RefCell::new(random),
        }
    }

    /// Chooses an instance of `service` that is not in `tried`, at first in zones that are not in
    /// doubt.
    pub fn choose(&self, service: &str, tried: &[InstanceKey]) -> Option<PeerTarget> {
        if !self.doubt.borrow().is_all_healthy() {
            let mut avoided = self.in_doubt(service);
            avoided.extend_from_slice(tried);
            if let Some(target) = self.choose_from(service, &avoided) {
                return Some(target);
            }
        }
        self.choose_from(service, tried)
    }

    /// Chooses one of the instances `among` that is listed for `service`.
    pub fn choose_among(&self, service: &str, among: &[InstanceKey]) -> Option<PeerTarget> {
        let others: Vec<InstanceKey> = {
            let table = self.directory.instances();
            let listed = table.of_service(service).map(|(key, _)| key);
            listed.filter(|key| !among.contains(key)).collect()
        };
        self.choose_from(service, &others)
    }

    /// Tells whether an instance of `service` is left that is not in `tried`.
    pub fn has_untried(&self, service: &str, tried: &[InstanceKey]) -> bool {
        let table = self.directory.instances();
        let selector = self.selector.borrow();
        selector.has_untried(Instant::now(), &table, service, tried)
    }

    /// Instances of `service` in zones that are in doubt.
    fn in_doubt(&self, service: &str) -> Vec<InstanceKey> {
        let (now, doubt) = (Instant::now(), self.doubt.borrow());
        let table = self.directory.instances();
        let listed = table.of_service(service);
        let doubted = listed.filter(|(_, record)| doubt.is_degraded(now, &record.zone));
        doubted.map(|(key, _)| key).collect()
    }

    fn choose_from(&self, service: &str, tried: &[InstanceKey]) -> Option<PeerTarget> {
        let table = self.directory.instances();
        let mut selector = self.selector.borrow_mut();
        let mut random = self.random.borrow_mut();
        let key = selector.choose(Instant::now(), &table, service, tried, &mut *random)?;
        let record = table.get(key)?;
        Some(PeerTarget {
            key,
            name: record.name.clone(),
            address: record.peer,
        })
    }

    /// Notes that a request goes to an instance.
    pub fn record_start(&self, key: InstanceKey) {
        self.selector.borrow_mut().record_start(key);
    }

    /// Takes the state that a node told.
    pub fn record_status(&self, key: InstanceKey, address: SocketAddr, news: NodeStatus) {
        self.directory
            .record_peer_version(address, news.version, news.revision);
        self.doubt.borrow_mut().record_reply(address);
        let report = reported(news);
        let mut selector = self.selector.borrow_mut();
        selector.record_load(key, Instant::now(), report);
    }

    /// Notes an answer.
    pub fn record_response(&self, key: InstanceKey, elapsed: Duration, typical: Duration) {
        let table = self.directory.instances();
        let mut selector = self.selector.borrow_mut();
        selector.record_response(key, Instant::now(), elapsed, typical, &table);
    }

    /// Notes an answer by which the upstream itself failed the request.
    pub fn record_error_response(&self, key: InstanceKey) {
        let mut selector = self.selector.borrow_mut();
        selector.record_error_response(key, Instant::now());
    }

    /// Notes a refusal that a node sent.
    pub fn record_refusal(&self, key: InstanceKey, refusal: CallRefusal) {
        let table = self.directory.instances();
        let mut selector = self.selector.borrow_mut();
        selector.record_refusal(key, Instant::now(), refusal, &table);
    }

    /// Notes that no reply came.
    pub fn record_failure(&self, key: InstanceKey) {
        let table = self.directory.instances();
        let mut selector = self.selector.borrow_mut();
        selector.record_failure(key, Instant::now(), &table);
    }

    /// Notes that no connection was made.
    pub fn record_unreachable(&self, key: InstanceKey) {
        let mut selector = self.selector.borrow_mut();
        selector.record_unreachable(key, Instant::now());
    }

    /// Notes that the caller left before the reply.
    pub fn record_abandoned(&self, key: InstanceKey, elapsed: Duration, typical: Duration) {
        let mut selector = self.selector.borrow_mut();
        selector.record_abandoned(key, Instant::now(), elapsed, typical);
    }

    /// Takes in what a link tells of the node at `address`.
    pub fn record_link_event(&self, address: SocketAddr, event: LinkEvent) {
        let table = self.directory.instances();
        if event != LinkEvent::Lost {
            self.doubt.borrow_mut().record_reply(address);
        }
        let here = table.iter().filter(|(_, record)| record.peer == address);
        for (key, record) in here {
            let mut selector = self.selector.borrow_mut();
            match event {
                LinkEvent::Lost => {
                    let mut doubt = self.doubt.borrow_mut();
                    doubt.record_silence(Instant::now(), address, record.zone.clone());
                    selector.record_start(key);
                    selector.record_unreachable(key, Instant::now());
                }
                LinkEvent::Reconnected => selector.set_leaving(key, false),
                LinkEvent::Status(news) => {
                    self.directory
                        .record_peer_version(address, news.version, news.revision);
                    selector.record_load(key, Instant::now(), reported(news));
                }
            }
        }
    }

    /// What is known of an instance.
    #[must_use]
    pub fn summary(&self, key: InstanceKey) -> Option<PeerSummary> {
        self.selector.borrow().summary(key, Instant::now())
    }
}

const fn reported(news: NodeStatus) -> ReportedLoad {
    ReportedLoad {
        in_progress: news.in_use,
        limit: news.limit,
        queued: news.queued,
        draining: news.is_leaving,
    }
}
