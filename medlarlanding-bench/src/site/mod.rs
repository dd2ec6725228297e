//! Test site: a small deployment of the Nile Fossil platform on loopback. Stand-ins run as threads
//! of the test process, instances of the forwarding role as child processes.

mod client;
mod crashing_engine;
mod ending_server;
mod faulty_server;
mod move_script;
mod proxy;
mod restore;
mod server;
mod state;
mod store;
mod zones;

use std::collections::HashMap;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use self::zones::EvacuationLog;
use crate::cluster::binary;

use anyhow::{Context, bail};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

pub use client::{SiteAnswer, SiteCall};
pub use crashing_engine::{AnswerFraming, CONTACT, CRASH_LIMIT, FATAL_PART, LATE_LIMIT};
pub use ending_server::{
    BodyDelimiter, EndMode, EndingServer, HEALTH_PATH, INTERVAL_HEADER, PART_BYTES_HEADER,
    PARTS_HEADER,
};
pub use faulty_server::{CUT_HEADER, FRAMING_HEADER, FaultyAnswer, STATUS_HEADER};
pub use move_script::{MoveScript, ResumeMode, StopFault, StreamClose};
pub use proxy::{LinkMode, LinkSwitch};
pub use restore::{LostWrites, OldChannels};
pub use state::{RunRecord, ServerCrash, ServerMode, SiteState, StoreMode};
pub use zones::{EvacuationPeriod, LateRun, ZoneLayout};

/// Time limit of waits in tests; generous because debug builds share the machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// API key of the only customer.
pub const API_KEY: &str = "key-1";
/// Host name of all routes.
pub const HOST: &str = "desk.example";

/// Number of the next deployment in this process; each deployment has its own addresses.
static NEXT_SITE: AtomicU8 = AtomicU8::new(0);

/// Size and settings of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct SiteParams {
    /// Instances of the forwarding role.
    pub instances: usize,
    /// Servers of the service `orders`, which runs no model.
    pub plain_servers: usize,
    /// Model engines, the servers of the service `engines`.
    pub engines: usize,
    /// Longest time from SIGTERM to the end of a process, in seconds.
    pub grace_s: u64,
}

impl Default for SiteParams {
    fn default() -> Self {
        Self { instances: 1, plain_servers: 2, engines: 2, grace_s: 8 }
    }
}

struct SiteInstance {
    address: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    /// Lists the peers that the instance is cut off from.
    cut: PathBuf,
    child: Option<Child>,
}

/// A running deployment. Kills its processes when it is dropped.
pub struct TestSite {
    /// State shared by the stand-ins.
    pub state: Arc<SiteState>,
    network: [u8; 2],
    store: SocketAddr,
    instances: Vec<SiteInstance>,
    links: Vec<LinkSwitch>,
    layout: ZoneLayout,
    evacuations: EvacuationLog,
    /// Links from the instances to the store.
    store_links: Vec<LinkSwitch>,
    version: u64,
    /// Until when servers are cold. Their entries state the rest whenever they are written.
    cold_until: Mutex<HashMap<String, Instant>>,
    /// Starts of servers after the first one.
    restarts: Mutex<HashMap<String, u64>>,
}

const CALLER_PORT: u16 = 18_740;
const READY_PORT: u16 = 18_749;
const CONTROL_PORT: u16 = 18_748;
const PEER_PORT: u16 = 18_720;
const METRICS_PORT: u16 = 18_750;
const SERVER_PORT: u16 = 18_800;
const LINK_PORT: u16 = 18_801;
const STORE_LINK_PORT: u16 = 18_802;

impl TestSite {
    /// Starts stand-ins and instances and waits until every instance is ready.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken or an instance does not become ready.
    pub fn start(params: SiteParams) -> anyhow::Result<Self> {
        Self::start_in_zones(params, ZoneLayout::default())
    }

    /// Starts stand-ins and instances in several availability zones, as `start` does.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken or an instance does not become ready.
    pub fn start_in_zones(params: SiteParams, layout: ZoneLayout) -> anyhow::Result<Self> {
        let site = NEXT_SITE.fetch_add(1, Ordering::Relaxed);
        let process = (std::process::id() % 200) as u8;
        let network = [20 + process, site];
        let state = Arc::new(SiteState::default());
        let store = SocketAddr::new(loopback_address(network, 250), SERVER_PORT);
        store::start(TcpListener::bind(store)?, Arc::clone(&state))?;
        let mut running = Self {
            state,
            network,
            store,
            instances: Vec::new(),
            links: Vec::new(),
            layout,
            evacuations: EvacuationLog::default(),
            store_links: Vec::new(),
            version: 0,
            cold_until: Mutex::default(),
            restarts: Mutex::default(),
        };
        for index in 0..params.plain_servers {
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

    /// Starts a server behind a proxy and registers it in the store. Returns its id.
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

    /// Starts a server that gives a faulty answer to every request, and registers it in the store.
    /// `open` counts its open connections.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken.
    pub fn add_faulty_server(
        &mut self,
        service: &str,
        index: usize,
        answer: FaultyAnswer,
        open: &Arc<AtomicUsize>,
    ) -> anyhow::Result<()> {
        let address = self.server_address(service, index as u8);
        let id = format!("{service}-{index}");
        let state = Arc::clone(&self.state);
        let listener = TcpListener::bind(address)?;
        faulty_server::start(listener, id.clone(), answer, state, Arc::clone(open))?;
        self.register(&id, service, address, "ready");
        Ok(())
    }

    /// Starts an engine that ends whenever it begins to write on the fatal part of a prompt, and
    /// registers it in the store.
    ///
    /// # Errors
    ///
    /// Fails if no runtime can be created for the engine.
    pub fn add_crashing_engine(&self, index: usize, framing: AnswerFraming) -> anyhow::Result<()> {
        let address = self.server_address("engines", index as u8);
        crashing_engine::start(address, index, framing, Arc::clone(&self.state))
    }

    /// Starts servers that end as their modes say, each for a service `end-N` of its own, and registers
    /// them in the store as ready.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken.
    pub fn add_ending_servers(
        &self,
        servers: &[(BodyDelimiter, EndMode)],
    ) -> anyhow::Result<Vec<EndingServer>> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let spawned = runtime.block_on(async {
            let spawn = |(index, &(delimiter, end_mode)): (usize, &(BodyDelimiter, EndMode))| {
                let address = SocketAddr::new(
                    loopback_address(self.network, 200),
                    SERVER_PORT + 10 + index as u16,
                );
                let listener = TcpListener::bind(address)?;
                listener.set_nonblocking(true)?;
                let listener = tokio::net::TcpListener::from_std(listener)?;
                let state = Arc::clone(&self.state);
                EndingServer::spawn(listener, format!("end-{index}"), delimiter, end_mode, state)
            };
            servers.iter().enumerate().map(spawn).collect::<anyhow::Result<Vec<_>>>()
        })?;
        let mut stopped = self.state.stopped.subscribe();
        std::thread::spawn(move || {
            runtime.block_on(async move {
                // The sender lives as long as the deployment.
                let _ = stopped.wait_for(|stopped| *stopped).await;
            });
        });
        for server in &spawned {
            self.register_ending_server(server, server.id(), "ready");
        }
        Ok(spawned)
    }

    /// Writes the entry of a server that ends as its mode says.
    pub fn register_ending_server(&self, server: &EndingServer, service: &str, state: &str) {
        self.register(server.id(), service, server.address, state);
    }

    /// Marks a crashing engine as draining in the store. It continues to serve.
    ///
    /// # Errors
    ///
    /// Fails if the id is not that of a crashing engine.
    pub fn drain_crashing_engine(&self, id: &str) -> anyhow::Result<()> {
        let (engine, number) = id.rsplit_once('-').context("an id with the number of the start")?;
        let (service, index) = engine.split_once('-').context("an id with an index")?;
        let address = self.server_address(service, index.parse()?);
        self.state.put(
            &format!("servers/{id}"),
            crashing_engine::entry(address, number.parse()?, "draining").as_bytes(),
        );
        Ok(())
    }

    /// Returns the largest resident memory of an instance's process so far, in bytes; 0 if it is not
    /// running.
    pub fn peak_memory(&self, index: usize) -> u64 {
        let Some(child) = &self.instances[index].child else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
        kilobytes.unwrap_or(0u64) << 10
    }

    fn server_address(&self, service: &str, index: u8) -> SocketAddr {
        let offset = if service == "engines" { 150 } else { 100 };
        SocketAddr::new(loopback_address(self.network, offset + index), SERVER_PORT)
    }

    /// Returns the links from the instances to the servers, those of `orders` first.
    pub fn links(&self) -> &[LinkSwitch] {
        &self.links
    }

    fn register(&self, id: &str, service: &str, address: SocketAddr, state: &str) {
        let cold_until = self.cold_until.lock().unwrap_or_else(PoisonError::into_inner);
        let until = cold_until.get(id);
        let cold = until.map_or(Duration::ZERO, |it| it.saturating_duration_since(Instant::now()));
        self.put_entry(id, service, address, state, cold);
    }

    fn put_entry(&self, id: &str, service: &str, address: SocketAddr, state: &str, cold: Duration) {
        let restarts = self.restarts.lock().unwrap_or_else(PoisonError::into_inner);
        let restarts = restarts.get(id).copied().unwrap_or(0);
        let entry = json!({
            "service": service, "address": address.to_string(),
            "zone": self.layout.zone_of(id), "version": "v1", "slots": 24, "state": state,
            "coldRemainingMs": cold.as_millis() as u64, "sequence": 1, "born": 1 + restarts,
        });
        self.state.put(&format!("servers/{id}"), entry.to_string().as_bytes());
    }

    /// Writes the entry of a ready server that stays cold for `remaining`.
    pub fn mark_server_cold(&self, id: &str, remaining: Duration) {
        let (service, address) = self.link_of(id);
        let mut cold_until = self.cold_until.lock().unwrap_or_else(PoisonError::into_inner);
        cold_until.insert(id.to_owned(), Instant::now() + remaining);
        self.put_entry(id, service, address, "ready", remaining);
    }

    /// Changes the settings file of an instance, which the process reads again within 2 s.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or written.
    pub fn change_settings(
        &self,
        index: usize,
        change: impl FnOnce(String) -> String,
    ) -> anyhow::Result<()> {
        let path = &self.instances[index].settings;
        Ok(std::fs::write(path, change(std::fs::read_to_string(path)?))?)
    }

    /// Cuts two groups of instances off from each other. Takes effect within 0.3 s.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written.
    pub fn cut_groups(&self, groups: [&[usize]; 2]) -> anyhow::Result<()> {
        for (group, others) in [(groups[0], groups[1]), (groups[1], groups[0])] {
            let addresses: Vec<String> =
                others.iter().map(|other| self.instances[*other].address.to_string()).collect();
            for index in group {
                std::fs::write(&self.instances[*index].cut, addresses.join("\n"))?;
            }
        }
        Ok(())
    }

    /// Ends all cuts.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written.
    pub fn heal_cuts(&self) -> anyhow::Result<()> {
        self.instances.iter().try_for_each(|instance| Ok(std::fs::write(&instance.cut, "")?))
    }

    /// Marks a server as draining in the store.
    pub fn drain_server(&self, id: &str) {
        self.set_server_state(id, "draining");
    }

    /// Marks a server as ready in the store.
    pub fn mark_server_ready(&self, id: &str) {
        self.set_server_state(id, "ready");
    }

    /// Registers a further start of a server under the id that it had.
    pub fn restart_server(&self, id: &str) {
        let mut restarts = self.restarts.lock().unwrap_or_else(PoisonError::into_inner);
        *restarts.entry(id.to_owned()).or_default() += 1;
        drop(restarts);
        self.set_server_state(id, "ready");
    }

    /// Returns whether the entry of a server says that it leaves.
    pub fn is_draining(&self, id: &str) -> bool {
        let entry = self.state.value(&format!("servers/{id}")).unwrap_or_default();
        let entry: Value = serde_json::from_slice(&entry).unwrap_or_default();
        entry["state"] == "draining"
    }

    /// Removes the entry of a server, which continues to serve.
    pub fn remove_server(&self, id: &str) {
        self.state.remove(&format!("servers/{id}"));
    }

    fn set_server_state(&self, id: &str, state: &str) {
        let (service, address) = self.link_of(id);
        self.register(id, service, address, state);
    }

    /// Returns the service and the address of a server.
    fn link_of<'a>(&self, id: &'a str) -> (&'a str, SocketAddr) {
        let (service, index) = id.split_once('-').expect("an id of this deployment");
        let number: u8 = index.parse().expect("an id of this deployment");
        (service, SocketAddr::new(self.server_address(service, number).ip(), LINK_PORT))
    }

    /// Publishes the default configuration, modified by `change`, under the next version. Returns
    /// the version.
    pub fn publish_config(&mut self, change: impl FnOnce(&mut Value)) -> u64 {
        let config = self.next_config(change);
        self.state.put("op/config", config.to_string().as_bytes());
        self.version
    }

    /// Publishes the default configuration, whose text `change` modifies, under the next version. Returns
    /// the version.
    pub fn publish_text(&mut self, change: impl FnOnce(String) -> String) -> u64 {
        let config = self.next_config(|_| {});
        self.state.put("op/config", change(config.to_string()).as_bytes());
        self.version
    }

    fn next_config(&mut self, change: impl FnOnce(&mut Value)) -> Value {
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
                route("assess", "safe", "engines", 2, 3000),
                route("note", "unsafe", "engines", 1, 3000),
            ],
            "services": [
                {"name": "orders", "maxConnections": 100},
                {"name": "engines", "maxConnections": 100, "engine": {"slots": 24,
                    "kvCapacity": 30000, "kvBytes": 1, "linkMbps": 1000, "moves": true}},
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100_000,
                "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": "museum", "apiKeys": [API_KEY], "priority": 1}],
        });
        change(&mut config);
        config
    }

    fn add_instance(&mut self, index: usize, params: SiteParams) -> anyhow::Result<()> {
        let address = loopback_address(self.network, 1 + index as u8);
        let dir = std::env::temp_dir();
        let name = format!("medlarlanding-site-{}-{}", std::process::id(), address);
        let settings = dir.join(format!("{name}.toml"));
        let seeds: Vec<String> = (0..params.instances.min(3))
            .map(|seed| {
                format!("\"{}:{CONTROL_PORT}\"", loopback_address(self.network, 1 + seed as u8))
            })
            .collect();
        let store = self.store_address(address)?;
        std::fs::write(
            &settings,
            format!(
                "nodeName = \"edge-{index}\"\n{}ip = \"{address}\"\n\
             internalPorts = [{PEER_PORT}, {}]\nseedNodes = [{}]\n\
             [listen]\nfrontend = \"{address}:{CALLER_PORT}\"\nready = \"{address}:{READY_PORT}\"\n\
             controlPlane = \"{address}:{CONTROL_PORT}\"\n\
             [limits]\ncpuQuota = 0.25\nmemoryMb = 110\nlinkMbps = 1000.0\n\
             [bounds]\ngraceS = {}\nbudgetSlack = 50\n{}\
             [platform]\naddress = \"{store}\"\n{}",
                self.layout.own_settings(index),
                PEER_PORT + 10,
                seeds.join(","),
                params.grace_s,
                self.layout.bounds(),
                self.layout.table(),
            ),
        )?;
        let log = dir.join(format!("{name}.log"));
        let cut = dir.join(format!("{name}.cut"));
        self.instances.push(SiteInstance { address, settings, log, cut, child: None });
        self.spawn_instance(index)
    }

    /// Returns the address at which an instance reaches the store.
    fn store_address(&mut self, instance: IpAddr) -> anyhow::Result<SocketAddr> {
        if !self.layout.is_described {
            return Ok(self.store);
        }
        let link = SocketAddr::new(instance, STORE_LINK_PORT);
        let stopped = self.state.stopped.subscribe();
        self.store_links.push(proxy::start(TcpListener::bind(link)?, self.store, stopped)?);
        Ok(link)
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
            .args(["forward", "--metrics-port", &METRICS_PORT.to_string()])
            .arg("--drill-cut")
            .arg(&instance.cut)
            .env("MEDLARLANDING_BOOT", &instance.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .context("cannot start the binary")?;
        instance.child = Some(child);
        Ok(())
    }

    /// Returns the address on which an instance serves callers.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.instances[index].address, CALLER_PORT)
    }

    /// Returns whether the readiness probe of an instance succeeds.
    pub fn is_ready(&self, index: usize) -> bool {
        let address = SocketAddr::new(self.instances[index].address, READY_PORT);
        SiteCall::get("/-/readyz").send(address).is_ok_and(|answer| answer.status == 200)
    }

    /// Returns the value of a metric of an instance, given with its labels as in the text format; `None`
    /// if the instance does not serve it.
    pub fn metric(&self, index: usize, name: &str) -> Option<f64> {
        let address = SocketAddr::new(self.instances[index].address, METRICS_PORT);
        let answer = SiteCall::get("/metrics").send(address).ok()?;
        let mut values = answer.body.lines().filter_map(|line| line.strip_prefix(name));
        values.next()?.trim().parse().ok()
    }

    /// Sends a signal to the process of an instance.
    ///
    /// # Errors
    ///
    /// Fails if the process is not running.
    pub fn signal(&self, index: usize, signal: Signal) -> anyhow::Result<()> {
        let child = self.instances[index].child.as_ref().context("no process")?;
        let pid = Pid::from_raw(child.id() as i32).context("no process id")?;
        Ok(kill_process(pid, signal)?)
    }

    /// Waits until the process of an instance has ended.
    ///
    /// # Errors
    ///
    /// Fails if the process does not end within `WAIT_TIMEOUT`.
    pub fn wait_exit(&mut self, index: usize) -> anyhow::Result<ExitStatus> {
        let mut child = self.instances[index].child.take().context("no process")?;
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            if let Some(status) = child.try_wait()? {
                return Ok(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.instances[index].child = Some(child);
        bail!("instance {index} did not end within {WAIT_TIMEOUT:?}")
    }

    /// Waits until a condition holds. `what` names the awaited state in the error.
    ///
    /// # Errors
    ///
    /// Fails if the condition does not hold within `WAIT_TIMEOUT`.
    pub fn wait_until(&self, what: &str, mut holds: impl FnMut() -> bool) -> anyhow::Result<()> {
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            if holds() {
                return Ok(());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        bail!(
            "timed out after {WAIT_TIMEOUT:?} waiting for {what}; log of instance 0:\n{}",
            self.log(0)
        )
    }

    /// Returns the log of an instance, of all its processes so far.
    pub fn log(&self, index: usize) -> String {
        std::fs::read_to_string(&self.instances[index].log).unwrap_or_default()
    }
}

impl Drop for TestSite {
    fn drop(&mut self) {
        self.state.stopped.send_replace(true);
        for instance in &mut self.instances {
            if let Some(mut child) = instance.child.take() {
                // Killing fails if the process has ended already.
                let _ = child.kill();
                let _ = child.wait();
            }
            let _ = std::fs::remove_file(&instance.settings);
            let _ = std::fs::remove_file(&instance.log);
            // The file exists only after a cut.
            let _ = std::fs::remove_file(&instance.cut);
        }
    }
}

fn loopback_address(network: [u8; 2], number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, network[0], network[1], number))
}
