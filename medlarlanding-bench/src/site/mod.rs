//! A small installation of the Nile Fossil platform on loopback: stand-ins in process,
//! instances of the forwarding role as processes.

mod client;
mod proxy;
mod server;
mod state;
mod store;

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use crate::cluster::binary;

use anyhow::{Context, bail};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

pub use client::{SiteAnswer, SiteCall};
pub use proxy::{LinkMode, LinkSwitch};
pub use state::{RunRecord, ServerMode, SiteState, StoreMode};

/// Longest time for anything that a test waits for; debug builds share the machine.
pub const WAIT: Duration = Duration::from_secs(20);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(20);
/// Key of the only customer.
pub const KEY: &str = "key-1";
/// Host of all routes.
pub const HOST: &str = "desk.example";

/// Number of the next installation of this process; each has its own addresses.
static NEXT_SITE: AtomicU8 = AtomicU8::new(0);

/// What an installation consists of.
#[derive(Clone, Copy, Debug)]
pub struct SiteParams {
    /// Instances of the forwarding role.
    pub instances: usize,
    /// Servers of the plain service.
    pub plain: usize,
    /// Model engines.
    pub engines: usize,
    /// Time between SIGTERM and the end of a process in seconds.
    pub grace_s: u64,
}

impl Default for SiteParams {
    fn default() -> Self {
        Self { instances: 1, plain: 2, engines: 2, grace_s: 8 }
    }
}

struct SiteInstance {
    address: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A running installation. Ends its processes when it is dropped.
pub struct TestSite {
    /// State that the stand-ins share.
    pub state: Arc<SiteState>,
    network: [u8; 2],
    store: SocketAddr,
    instances: Vec<SiteInstance>,
    links: Vec<LinkSwitch>,
    version: u64,
}

const CALLER_PORT: u16 = 18_740;
const READY_PORT: u16 = 18_749;
const CONTROL_PORT: u16 = 18_748;
const PEER_PORT: u16 = 18_720;
const SERVER_PORT: u16 = 18_800;
const LINK_PORT: u16 = 18_801;

impl TestSite {
    /// Starts stand-ins and instances and waits until all are ready.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken or an instance does not become ready.
    pub fn start(params: SiteParams) -> anyhow::Result<Self> {
        let site = NEXT_SITE.fetch_add(1, Ordering::Relaxed);
        let process = (std::process::id() % 200) as u8;
        let network = [20 + process, site];
        let state = Arc::new(SiteState::default());
        let store = SocketAddr::new(host(network, 250), SERVER_PORT);
        store::start(TcpListener::bind(store)?, Arc::clone(&state))?;
        let mut running =
            Self { state, network, store, instances: Vec::new(), links: Vec::new(), version: 0 };
        for index in 0..params.plain {
            running.add_server("orders", index)?;
        }
        for index in 0..params.engines {
            running.add_server("engines", index)?;
        }
        running.publish_config(|_| {});
        for index in 0..params.instances {
            running.add_instance(index, params)?;
        }
        for index in 0..params.instances {
            running.wait_until("a ready instance", || running.is_ready(index))?;
        }
        Ok(running)
    }

    /// Starts a server and registers it. Returns its id.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken.
    pub fn add_server(&mut self, service: &str, index: usize) -> anyhow::Result<String> {
        let address = self.server_address(service, index as u8);
        let link = SocketAddr::new(address.ip(), LINK_PORT);
        let id = format!("{service}-{index}");
        server::start(TcpListener::bind(address)?, id.clone(), Arc::clone(&self.state))?;
        self.links.push(proxy::start(
            TcpListener::bind(link)?,
            address,
            self.state.stopped.subscribe(),
        )?);
        self.register(&id, service, link, "ready");
        Ok(id)
    }

    fn server_address(&self, service: &str, index: u8) -> SocketAddr {
        let offset = if service == "engines" { 150 } else { 100 };
        SocketAddr::new(host(self.network, offset + index), SERVER_PORT)
    }

    /// Links between the instances and the servers, plain services first.
    pub fn links(&self) -> &[LinkSwitch] {
        &self.links
    }

    fn register(&self, id: &str, service: &str, address: SocketAddr, state: &str) {
        let entry = json!({
            "service": service, "address": address.to_string(), "zone": "z0", "slots": 24,
            "state": state, "born": 1, "sequence": 1,
        });
        self.state.put(&format!("servers/{id}"), entry.to_string().as_bytes());
    }

    /// Makes a server say in the store that it is draining.
    pub fn drain_server(&self, id: &str) {
        self.set_server(id, "draining");
    }

    /// Makes a server say in the store that it takes work again.
    pub fn return_server(&self, id: &str) {
        self.set_server(id, "ready");
    }

    fn set_server(&self, id: &str, state: &str) {
        let (service, index) = id.split_once('-').expect("an id of this installation");
        let number: u8 = index.parse().expect("an id of this installation");
        let address = SocketAddr::new(self.server_address(service, number).ip(), LINK_PORT);
        self.register(id, service, address, state);
    }

    /// Publishes the next configuration, changed by `change`. Returns its version.
    pub fn publish_config(&mut self, change: impl FnOnce(&mut Value)) -> u64 {
        self.version += 3;
        let route = |name: &str, kind: &str, service: &str, servers: u32, timeout: u32| {
            json!({"name": name, "host": HOST, "prefix": format!("/{name}/"), "routeType": kind,
                "timeoutMs": timeout, "goalMs": 1000, "priority": 1, "service": service,
                "maxAttempts": servers, "public": false})
        };
        let mut config = json!({
            "version": self.version,
            "routes": [
                route("lookup", "safe", "orders", 2, 3000),
                route("order", "unsafe", "orders", 1, 3000),
                route("draft", "stream", "engines", 1, 20000),
            ],
            "services": [
                {"name": "orders", "maxConnections": 100},
                {"name": "engines", "maxConnections": 100, "engine": {"slots": 24,
                    "kvCapacity": 30000, "kvBytes": 1, "linkMbps": 1000, "moves": true}},
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100_000,
                "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "museum", "apiKeys": [KEY], "priority": 1}],
        });
        change(&mut config);
        self.state.put("op/config", config.to_string().as_bytes());
        self.version
    }

    fn add_instance(&mut self, index: usize, params: SiteParams) -> anyhow::Result<()> {
        let address = host(self.network, 1 + index as u8);
        let dir = std::env::temp_dir();
        let name = format!("medlarlanding-site-{}-{}", std::process::id(), address);
        let settings = dir.join(format!("{name}.toml"));
        let seeds: Vec<String> = (0..params.instances.min(3))
            .map(|seed| format!("\"{}:{CONTROL_PORT}\"", host(self.network, 1 + seed as u8)))
            .collect();
        std::fs::write(
            &settings,
            format!(
                "nodeName = \"edge-{index}\"\nzone = \"z0\"\nip = \"{address}\"\n\
             internalPorts = [{PEER_PORT}, {}]\nseedNodes = [{}]\n\
             [listen]\nfrontend = \"{address}:{CALLER_PORT}\"\nready = \"{address}:{READY_PORT}\"\n\
             controlPlane = \"{address}:{CONTROL_PORT}\"\n\
             [limits]\ncpuQuota = 0.25\nmemoryMb = 110\nlinkMbps = 1000.0\n\
             [bounds]\ngraceS = {}\nbudgetSlack = 50\n\
             [platform]\naddress = \"{}\"\n",
                PEER_PORT + 10,
                seeds.join(","),
                params.grace_s,
                self.store,
            ),
        )?;
        let log = dir.join(format!("{name}.log"));
        self.instances.push(SiteInstance { address, settings, log, child: None });
        self.spawn_instance(index)
    }

    /// Starts the process of an instance.
    ///
    /// # Errors
    ///
    /// Fails if the binary is missing.
    pub fn spawn_instance(&mut self, index: usize) -> anyhow::Result<()> {
        let instance = &mut self.instances[index];
        let log = File::options().create(true).append(true).open(&instance.log)?;
        let child = Command::new(binary()?)
            .arg("forward")
            .env("MEDLARLANDING_BOOT", &instance.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .context("cannot start the binary")?;
        instance.child = Some(child);
        Ok(())
    }

    /// Address for callers of an instance.
    pub fn callers(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.instances[index].address, CALLER_PORT)
    }

    /// Tells whether an instance says that it is ready.
    pub fn is_ready(&self, index: usize) -> bool {
        let address = SocketAddr::new(self.instances[index].address, READY_PORT);
        SiteCall::get("/-/readyz").send(address).is_ok_and(|answer| answer.status == 200)
    }

    /// Sends a signal to the process of an instance.
    ///
    /// # Errors
    ///
    /// Fails if the process does not run.
    pub fn signal(&self, index: usize, signal: Signal) -> anyhow::Result<()> {
        let child = self.instances[index].child.as_ref().context("no process")?;
        let pid = Pid::from_raw(child.id() as i32).context("no process id")?;
        Ok(kill_process(pid, signal)?)
    }

    /// Waits until the process of an instance has ended.
    ///
    /// # Errors
    ///
    /// Fails if it does not end in time.
    pub fn wait_exit(&mut self, index: usize) -> anyhow::Result<ExitStatus> {
        let mut child = self.instances[index].child.take().context("no process")?;
        let started = Instant::now();
        while started.elapsed() < WAIT {
            if let Some(status) = child.try_wait()? {
                return Ok(status);
            }
            std::thread::sleep(LOOK);
        }
        self.instances[index].child = Some(child);
        bail!("instance {index} did not end within {WAIT:?}")
    }

    /// Waits for an event.
    ///
    /// # Errors
    ///
    /// Fails if it does not happen in time.
    pub fn wait_until(&self, what: &str, mut holds: impl FnMut() -> bool) -> anyhow::Result<()> {
        let started = Instant::now();
        while started.elapsed() < WAIT {
            if holds() {
                return Ok(());
            }
            std::thread::sleep(LOOK);
        }
        bail!("no {what} within {WAIT:?}; log of instance 0:\n{}", self.log(0))
    }

    /// What an instance has logged.
    pub fn log(&self, index: usize) -> String {
        std::fs::read_to_string(&self.instances[index].log).unwrap_or_default()
    }
}

impl Drop for TestSite {
    fn drop(&mut self) {
        self.state.stopped.send_replace(true);
        for instance in &mut self.instances {
            if let Some(mut child) = instance.child.take() {
                // A process that has ended already cannot be killed.
                let _ = child.kill();
                let _ = child.wait();
            }
            let _ = std::fs::remove_file(&instance.settings);
            let _ = std::fs::remove_file(&instance.log);
        }
    }
}

fn host(network: [u8; 2], number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, network[0], network[1], number))
}
