//! A small deployment on loopback addresses: the store, upstreams, and the nodes as processes of their own,
//! started with the command and the settings template of the deploy file.

use crate::{
    http,
    proxy::LinkProxy,
    record,
    store::Store,
    upstream::{Runs, Upstream},
};

use std::{
    fs::File,
    io::{Error, Result},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const PROGRAM: &str = "target/release/lagoonshore-sidecar";
const TEMPLATE: &str = "deploy/settings.yaml";
/// Ports, the same on all machines: callers, readiness, upstream, other nodes, operators.
const PORTS: [u16; 5] = [8304, 8302, 8301, 7620, 7635];
const CALLERS_PORT: u16 = PORTS[0];
const READY_PORT: u16 = PORTS[1];
const UPSTREAM_PORT: u16 = PORTS[2];
const PEERS_PORT: u16 = PORTS[3];
const ADMIN_PORT: u16 = PORTS[4];
/// Time that all nodes together have until they are ready.
const START_TIME: Duration = Duration::from_secs(20);
/// Time after which the stand-in gives up a case, and ends all processes.
const CASE_TIME: Duration = Duration::from_secs(112);

/// Option of `prctl`: the signal that a process gets when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Processes that were started and not ended yet.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static IS_OVER: AtomicBool = AtomicBool::new(false);

/// Ends all processes that were started.
pub fn end_processes() {
    IS_OVER.store(true, Ordering::SeqCst);
    for mut child in CHILDREN.lock().unwrap().drain(..) {
        let _ = (child.kill(), child.wait());
    }
}

/// Ends the processes and the case if it takes too long.
pub fn watch_time() {
    thread::spawn(|| {
        thread::sleep(CASE_TIME);
        record::note("the case takes too long");
        end_processes();
        std::process::exit(2);
    });
}

/// One machine.
pub struct Machine {
    pub number: u8,
    pub service: &'static str,
    pub zone: &'static str,
    /// Id of the upstream.
    pub id: String,
    pub memory_mb: u32,
    /// Whether the store may turn it away.
    pub may_be_turned_away: bool,
}

pub struct Fleet {
    folder: PathBuf,
    net: u8,
    pub store: Arc<Store>,
    pub runs: Runs,
}

impl Fleet {
    /// Finds a free range of loopback addresses and starts the store.
    pub fn start(case: &str) -> Result<Self> {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("lagoonshore-review-{case}-{process}"));
        std::fs::create_dir_all(&folder)?;
        let first = process % 100;
        let nets = (0..100).map(|step| 100 + u8::try_from((first + step) % 100).unwrap_or(0));
        let net = nets.into_iter().find(|net| {
            PORTS
                .iter()
                .all(|port| TcpListener::bind(address(*net, 0, 1, *port)).is_ok())
        });
        let net = net.ok_or_else(|| Error::other("no free range of loopback addresses"))?;
        Ok(Self {
            folder,
            net,
            store: Store::start(address(net, 9, 1, 8309), address(net, 9, 2, 8309))?,
            runs: Runs::default(),
        })
    }

    /// Address at which callers reach the node of a machine.
    pub fn callers(&self, machine: &Machine) -> SocketAddr {
        address(self.net, 0, machine.number, CALLERS_PORT)
    }

    /// Starts the upstream of a machine and lists it, at an address of its own for other nodes, so that a
    /// proxy can stand before the node.
    pub fn start_upstream(
        &self,
        machine: &Machine,
        work: Vec<(&'static str, Duration)>,
        slots: u32,
    ) -> Result<()> {
        let at = self.listed(machine, UPSTREAM_PORT);
        let (service, zone) = (machine.service, machine.zone);
        self.store.put(
            &format!("servers/{}", machine.id),
            &format!(
                "{{\"service\":\"{service}\",\"address\":\"{at}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                 \"slots\":{slots},\"state\":\"ready\",\"cold_remaining_s\":0,\"sequence\":1,\
                 \"born\":1790000000000}}"
            ),
        );
        let upstream = Upstream {
            id: machine.id.clone(),
            work,
            runs: Arc::clone(&self.runs),
        };
        upstream.start(at)
    }

    /// Starts the link of a machine.
    pub fn start_link(&self, machine: &Machine, megabits: f64) -> Result<Arc<LinkProxy>> {
        let node = address(self.net, 0, machine.number, PEERS_PORT);
        LinkProxy::start(self.listed(machine, PEERS_PORT), node, megabits * 1e6 / 8.0)
    }

    /// Starts the node of a machine. Called by the main thread, with which the node ends.
    pub fn start_node(&self, machine: &Machine) -> Result<()> {
        let template = std::fs::read_to_string(TEMPLATE)?;
        let number = machine.number;
        let settings = self.folder.join(format!("{number}.yaml"));
        std::fs::write(&settings, self.render(&template, machine))?;
        let log = File::create(self.folder.join(format!("{number}.log")))?;
        let mut command = Command::new(PROGRAM);
        command
            .arg("run")
            .env_clear()
            .env("LAGOONSHORE_SETTINGS", &settings)
            .stderr(log.try_clone()?)
            .stdout(log);
        // SAFETY: the call only sets an attribute of the new process; it allocates nothing and takes no lock.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let mut children = CHILDREN.lock().unwrap();
        if !IS_OVER.load(Ordering::SeqCst) {
            children.push(command.spawn()?);
        }
        Ok(())
    }

    /// Waits until the nodes of `machines` are ready.
    pub fn wait_until_ready(&self, machines: &[Machine]) -> Result<()> {
        let until = Instant::now() + START_TIME;
        for machine in machines {
            while !self.is_ready(machine) {
                if Instant::now() > until {
                    return Err(Error::other("a node did not become ready"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Asks the node of a machine whether it is ready.
    pub fn is_ready(&self, machine: &Machine) -> bool {
        let ready = address(self.net, 0, machine.number, READY_PORT);
        let head =
            format!("GET /-/readiness HTTP/1.1\r\nHost: {ready}\r\nConnection: close\r\n\r\n");
        let answer = http::send(ready, &head, &[], Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Kills the node started as the `index`-th process.
    pub fn kill_node(index: usize) {
        if let Some(child) = CHILDREN.lock().unwrap().get_mut(index) {
            let _ = (child.kill(), child.wait());
        }
    }

    /// Number of open descriptors of the node started as the `index`-th process.
    pub fn descriptors(index: usize) -> usize {
        let children = CHILDREN.lock().unwrap();
        let folder = children
            .get(index)
            .map(|child| format!("/proc/{}/fd", child.id()));
        let entries = folder.and_then(|folder| std::fs::read_dir(folder).ok());
        entries.map_or(0, Iterator::count)
    }

    /// Address at which the list names a machine: other nodes reach it there, through its link.
    fn listed(&self, machine: &Machine, port: u16) -> SocketAddr {
        address(self.net, 1, machine.number, port)
    }

    /// Fills in the settings template of the deploy file.
    fn render(&self, template: &str, machine: &Machine) -> String {
        let number = machine.number;
        let own = |port| address(self.net, 0, number, port).to_string();
        let store = match machine.may_be_turned_away {
            true => self.store.other_address,
            false => self.store.address,
        };
        let values = [
            ("node_name", format!("sidecar-{}-{number}", machine.zone)),
            ("service", machine.service.to_owned()),
            ("zone", machine.zone.to_owned()),
            ("region", "r1".to_owned()),
            ("listen_addrs.outbound", own(CALLERS_PORT)),
            ("listen_addrs.ready", own(READY_PORT)),
            ("ip", address(self.net, 0, number, 0).ip().to_string()),
            ("port_range.0", PEERS_PORT.to_string()),
            ("port_range.1", ADMIN_PORT.to_string()),
            ("app_addr", self.listed(machine, UPSTREAM_PORT).to_string()),
            ("platform.address", store.to_string()),
            ("bounds.contact_s", "3".to_owned()),
            ("bounds.drain_s", "2".to_owned()),
            ("bounds.config_apply_s", "2".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", "48".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.grace_s", "6".to_owned()),
            ("bounds.addr_reuse_s", "2".to_owned()),
            ("heartbeat_s", "1.5".to_owned()),
            ("limits.memory_mb", machine.memory_mb.to_string()),
            ("limits.max_fds", "4100".to_owned()),
        ];
        let mut text = without_quota(template);
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        // Fields without a value are left empty.
        while let (Some(start), Some(end)) = (text.find("{{"), text.find("}}")) {
            text.replace_range(start..end + 2, "");
        }
        text
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        end_processes();
        if std::env::var_os("KEEP_LOGS").is_none() {
            // What is left in the folder for temporary files harms nobody.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Leaves out the section of deployments with quotas.
fn without_quota(template: &str) -> String {
    let (start, end) = ("{{#bounds.quota_window_s}}", "{{/bounds.quota_window_s}}");
    match (template.find(start), template.find(end)) {
        (Some(from), Some(to)) => format!("{}{}", &template[..from], &template[to + end.len()..]),
        _ => template.to_owned(),
    }
}

fn address(net: u8, part: u8, number: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net, part, number)), port)
}

/// A route of the operator's configuration.
pub struct Route {
    pub name: &'static str,
    pub is_idempotent: bool,
    pub timeout_s: u32,
    pub service: &'static str,
}

/// Publishes the operator's configuration, with the limits that the users' bench shows.
pub fn publish(store: &Store, version: u32, services: &[&str], routes: &[Route]) {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":600}}")
        })
        .collect();
    let paths: Vec<String> = routes
        .iter()
        .map(|route| {
            let kind = if route.is_idempotent {
                "idempotent"
            } else {
                "non_idempotent"
            };
            format!(
                "{{\"name\":\"r-{0}\",\"prefix\":\"/{0}/\",\"route_type\":\"{kind}\",\"timeout_s\":{1},\
                 \"target_latency_s\":4,\"priority\":1,\"max_attempts\":2,\"service\":\"{2}\"}}",
                route.name, route.timeout_s, route.service
            )
        })
        .collect();
    store.put(
        "op/config",
        &format!(
            "{{\"version\":\"r{version}\",\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
             \"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}},\
             \"virtual_hosts\":[{{\"hostname\":\"review.example\",\"paths\":[{}]}}]}}",
            services.join(","),
            paths.join(",")
        ),
    );
}
