//! The project's own program, started as separate processes with the command of the deploy file.

use crate::{http, record::Record};

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// Command of the deploy file.
const PROGRAM: &str = "target/release/lagoonshore-sidecar";
/// Variable that names the settings file.
const SETTINGS_VARIABLE: &str = "LAGOONSHORE_SETTINGS";
/// Time for a node to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// `Ports` are the ports of all nodes, free on every address used.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub callers: u16,
    pub ready: u16,
    pub peers: u16,
    pub admin: u16,
    pub backend: u16,
}

impl Ports {
    /// Finds five consecutive ports that are free on all of `ips`.
    pub fn find(ips: &[String]) -> Self {
        let seed = std::process::id() % 97;
        let mut first = 21_000 + u16::try_from(seed * 40).unwrap_or(0);
        loop {
            let is_free = (first..first + 5).all(|port| {
                ips.iter()
                    .all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok())
            });
            if is_free {
                return Self {
                    callers: first,
                    ready: first + 1,
                    peers: first + 2,
                    admin: first + 3,
                    backend: first + 4,
                };
            }
            first += 7;
        }
    }
}

/// `Node` is one process of the program, with the machine that it stands for.
pub struct Node {
    pub name: String,
    pub ip: String,
    pub ports: Ports,
    pub child: Child,
    folder: PathBuf,
    record: Record,
    is_killed: bool,
}

/// `NodeSettings` are the settings that differ between the nodes of a case.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    pub name: String,
    pub ip: String,
    pub service: String,
    pub zone: String,
    pub ports: Ports,
    pub store: SocketAddr,
}

impl NodeSettings {
    /// Settings of a small deployment: the template of the repository, filled in with the bounds of
    /// the small sites.
    fn text(&self) -> String {
        let Self {
            name,
            ip,
            service,
            zone,
            ports,
            store,
        } = self;
        format!(
            "node: \"{name}\"\nservice: \"{service}\"\nzone: \"{zone}\"\nregion: \"marmara\"\n\
             listen:\n  callers: \"{ip}:{}\"\n  ready: \"{ip}:{}\"\n  peers: \"{ip}:{}\"\n  admin: \"{ip}:{}\"\n\
             upstream: \"{ip}:{}\"\nstore: \"{store}\"\nsettle_seconds: 3\ndrain_seconds: 2\n\
             repeats:\n  ratio: 0.2\n  slack: 48\n  window_seconds: 10\ngrace_seconds: 6\n\
             address_reuse_seconds: 2\nmemory_mib: 260\nlog: info\ncontrol: enforce\n",
            ports.callers, ports.ready, ports.peers, ports.admin, ports.backend
        )
    }
}

impl Node {
    /// Starts a node; its settings and its log lie in `folder`.
    pub fn start(
        settings: &NodeSettings,
        folder: &std::path::Path,
        record: &Record,
    ) -> std::io::Result<Self> {
        let path = folder.join(format!("{}.yaml", settings.name));
        fs::write(&path, settings.text())?;
        let log = File::create(folder.join(format!("{}.log", settings.name)))?;
        let child = Command::new(PROGRAM)
            .arg("run")
            .env(SETTINGS_VARIABLE, &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record.line(&format!(
            "node {}: started at {}",
            settings.name, settings.ip
        ));
        Ok(Self {
            name: settings.name.clone(),
            ip: settings.ip.clone(),
            ports: settings.ports,
            child,
            folder: folder.to_owned(),
            record: record.clone(),
            is_killed: false,
        })
    }

    /// Address for clients on the machine.
    pub fn callers(&self) -> SocketAddr {
        format!("{}:{}", self.ip, self.ports.callers)
            .parse()
            .expect("address")
    }

    /// Asks the readiness check; `true` for status 200.
    pub fn is_ready(&self) -> bool {
        let address: SocketAddr = format!("{}:{}", self.ip, self.ports.ready)
            .parse()
            .expect("address");
        let mut client = http::Client::new(address);
        let request = http::ClientRequest {
            method: "GET".into(),
            path: "/-/readiness".into(),
            host: address.to_string(),
            id: "ready".into(),
            time_limit: Duration::from_millis(500),
            body: Vec::new(),
        };
        client.send(&request).status() == 200
    }

    /// Waits until the node is ready; `false` if it does not get ready.
    pub fn wait_until_ready(&self) -> bool {
        let latest = Instant::now() + READY_TIMEOUT;
        while Instant::now() < latest {
            if self.is_ready() {
                self.record.line(&format!("node {}: ready", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line(&format!("node {}: not ready", self.name));
        false
    }

    /// Kills the process; `false` if it had been killed before.
    pub fn kill(&mut self) -> bool {
        let is_first = !std::mem::replace(&mut self.is_killed, true);
        // The process may have ended already.
        let _ = self.child.kill();
        is_first
    }

    /// Memory of the process in MiB: resident now.
    pub fn memory_mib(&self) -> Option<f64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kib: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kib / 1024.0)
    }

    /// Copies the events of the log with one of `numbers` to the record.
    pub fn quote_events(&self, numbers: &[u32]) {
        let path = self.folder.join(format!("{}.log", self.name));
        let text = fs::read_to_string(path).unwrap_or_default();
        for line in text.lines() {
            let is_wanted = numbers
                .iter()
                .any(|number| line.contains(&format!("\"event\":{number},")));
            if is_wanted {
                let short: String = line.chars().take(420).collect();
                self.record.line(&format!("log of {}: {short}", self.name));
            }
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Entry of a backend in the store.
pub fn entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    state: &str,
    sequence: u64,
    born: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":87,\"state\":\"{state}\",\"cold_remaining_s\":0,\"sequence\":{sequence},\"born\":{born}}}"
    )
}

/// `Route` is one route of a configuration.
pub struct Route {
    pub name: &'static str,
    pub host: &'static str,
    pub prefix: &'static str,
    pub is_idempotent: bool,
    pub service: &'static str,
    pub timeout_s: f64,
}

/// Text of a configuration.
pub fn configuration(version: u64, services: &[&str], routes: &[Route]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":622,\"protocol\":\"h1\",\"tls\":false}}")
        })
        .collect();
    let hosts: Vec<String> = routes
        .iter()
        .map(|route| {
            let kind = if route.is_idempotent {
                "idempotent"
            } else {
                "non_idempotent"
            };
            format!(
                "{{\"hostname\":\"{}\",\"paths\":[{{\"name\":\"{}\",\"prefix\":\"{}\",\"route_type\":\"{kind}\",\"timeout_s\":{},\"target_latency_s\":1.5,\"priority\":0,\"service\":\"{}\",\"max_attempts\":2}}]}}",
                route.host, route.name, route.prefix, route.timeout_s, route.service
            )
        })
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}},\"virtual_hosts\":[{}]}}",
        services.join(","),
        hosts.join(",")
    )
}

/// Creates a temporary folder of the run.
pub fn temporary_folder(case: &str) -> std::io::Result<PathBuf> {
    let folder =
        std::env::temp_dir().join(format!("lagoonshore-review-{case}-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}
