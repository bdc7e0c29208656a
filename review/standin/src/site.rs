//! A small deployment: one store, and machines with a backend and a node each.

use crate::{
    backend::{Backend, WorkRule},
    fleet::{self, Node, NodeSettings, Ports, Route},
    record::Record,
    store::Store,
};

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Zone of the machines of a deployment in one zone.
pub const ZONE: &str = "izmit";

/// `MachinePlan` describes one machine.
#[derive(Clone, Copy, Debug)]
pub struct MachinePlan {
    pub ip: &'static str,
    pub service: &'static str,
    /// Id of the backend in the store.
    pub backend: &'static str,
    pub zone: &'static str,
}

/// `Site` is a running deployment.
pub struct Site {
    pub store: Store,
    pub backends: Vec<Backend>,
    pub nodes: Vec<Node>,
    pub settings: Vec<NodeSettings>,
    folder: PathBuf,
    born: u64,
}

impl Site {
    /// Starts a deployment and waits until all nodes are ready. The backends are registered and the
    /// configuration `r1` is confirmed before.
    pub fn start(
        case: &str,
        plans: &[MachinePlan],
        routes: &[Route],
        rule: &WorkRule,
        record: &Record,
    ) -> Result<Self, String> {
        let error = |error: std::io::Error| error.to_string();
        let folder = fleet::temporary_folder(case).map_err(error)?;
        let ips: Vec<String> = plans.iter().map(|plan| plan.ip.to_owned()).collect();
        let ports = Ports::find(&ips);
        let store = Store::start("127.0.0.1", record).map_err(error)?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = now.map_or(0, |age| age.as_millis());
        let mut site = Self {
            store,
            backends: Vec::new(),
            nodes: Vec::new(),
            settings: Vec::new(),
            folder,
            born: u64::try_from(born).unwrap_or(0),
        };
        let mut services: Vec<&str> = plans.iter().map(|plan| plan.service).collect();
        services.sort_unstable();
        services.dedup();
        for plan in plans {
            let address: SocketAddr = format!("{}:{}", plan.ip, ports.backend)
                .parse()
                .expect("address");
            let outbound: SocketAddr = format!("{}:{}", plan.ip, ports.callers)
                .parse()
                .expect("address");
            let backend = Backend::start(plan.backend, address, outbound, rule.clone(), record);
            site.backends.push(backend.map_err(error)?);
            site.settings.push(NodeSettings {
                name: format!("sidecar-{}", plan.backend),
                ip: plan.ip.to_owned(),
                service: plan.service.to_owned(),
                zone: plan.zone.to_owned(),
                ports,
                store: site.store.address,
            });
        }
        for index in 0..plans.len() {
            site.register(index, "ready", 1);
        }
        site.store
            .put("op/config", &fleet::configuration(1, &services, routes));
        for settings in &site.settings {
            let node = Node::start(settings, &site.folder, record).map_err(error)?;
            site.nodes.push(node);
        }
        if site.nodes.iter().all(Node::wait_until_ready) {
            Ok(site)
        } else {
            Err("a node did not get ready".to_owned())
        }
    }

    /// Writes the entry of a backend.
    pub fn register(&self, index: usize, state: &str, sequence: u64) {
        let backend = &self.backends[index];
        let NodeSettings { service, zone, .. } = &self.settings[index];
        let entry = fleet::entry(
            service,
            backend.address,
            zone,
            state,
            sequence,
            self.born + sequence,
        );
        self.store.put(&format!("servers/{}", backend.id), &entry);
    }

    /// Ends all processes and removes the temporary folder.
    pub fn end(mut self, events: &[u32]) {
        for node in &self.nodes {
            node.quote_events(events);
        }
        self.nodes.clear();
        for backend in &self.backends {
            backend.end_lifetime("end of the run");
        }
        // What is left of the folder does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Sleeps until `seconds` on the clock of the record.
pub fn sleep_until(record: &Record, seconds: f64) {
    let left = seconds - record.now();
    if left > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(left));
    }
}
