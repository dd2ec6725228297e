//! A whole deployment on loopback: stand-ins in process, instances as processes.

use std::collections::HashSet;
use std::fmt::Write;
use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use medlarlanding_core::config::credential_digest;
use medlarlanding_core::handles::hex_text;

use anyhow::{Context, bail};
use hyper::Method;
use rustix::process::{Pid, Signal, kill_process};

use crate::client::{Call, CallClient};
use crate::stand_ins::engine::{EngineHandle, EngineSettings, start_engine};
use crate::stand_ins::platform::{PlatformHandle, PublishedInstance, start_platform};
use crate::stand_ins::service::{ServiceFaults, ServiceHandle, start_service};

/// Longest time until every instance is ready.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Calls per second that the platform answers.
const PLATFORM_RATE: u32 = 2_000;
/// First port for instances.
const FIRST_PORT: u16 = 20_000;
/// Number of ports for instances.
const PORT_COUNT: u64 = 12_000;
/// Secret of every cluster on loopback.
const CLUSTER_SECRET: &str = "loopback-cluster-secret-0123456789";
/// Customers of the tree; the credential of each is its name and `-credential`.
pub const CUSTOMERS: &[&str] =
    &["cairo-museum", "luxor-guild", "rome-press", "turin-press", "small-desk"];

/// Limit of open requests of the customer `small-desk`.
pub const SMALL_LIMIT: usize = 6;

/// What a cluster consists of.
#[derive(Clone, Debug)]
pub struct ClusterParams {
    /// Number of instances.
    pub instances: usize,
    /// Engines.
    pub engines: Vec<EngineSettings>,
    /// Plain services that do not recognise repeated orders.
    pub portals: usize,
    /// Plain services that recognise repeated orders by their id.
    pub ledgers: usize,
    /// Time in which a replica searches for earlier orders, in milliseconds. The cluster
    /// starts cold, so orders are refused for that long.
    pub search_ms: u64,
    /// Lines for the section `limits` of the instances' settings.
    pub limits: String,
}

impl Default for ClusterParams {
    fn default() -> Self {
        Self {
            instances: 3,
            engines: vec![EngineSettings::default().with_speed(4.0); 2],
            portals: 2,
            ledgers: 2,
            search_ms: 1_500,
            limits: String::new(),
        }
    }
}

/// Addresses of one instance.
#[derive(Clone, Copy, Debug)]
pub struct InstanceAddresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub admin: SocketAddr,
    /// Datagrams of peers.
    pub udp: SocketAddr,
    /// Connections of peers.
    pub tcp: SocketAddr,
}

/// An instance's process. Dropping it kills the process and waits for its end.
#[derive(Debug)]
pub struct InstanceProcess {
    /// Name in the published list.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Addresses.
    pub addresses: InstanceAddresses,
    settings: PathBuf,
    errors: PathBuf,
    child: Option<Child>,
}

impl InstanceProcess {
    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Fails if the binary cannot be run.
    pub fn start(&mut self) -> anyhow::Result<()> {
        self.kill();
        // Panics are written to standard error, not to the log.
        let errors = File::options().create(true).append(true).open(&self.errors)?;
        let child = Command::new(binary()?)
            .arg("serve")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(errors)
            .spawn()
            .context("cannot start the binary")?;
        self.child = Some(child);
        Ok(())
    }

    /// Gets the process id while the process has not been waited for.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Ends the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let child = self.child.as_ref().context("the process has ended")?;
        kill_process(Pid::from_child(child), signal)?;
        Ok(())
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Fails if it has not ended within `limit`.
    pub fn wait(&mut self, limit: Duration) -> anyhow::Result<ExitStatus> {
        let started = Instant::now();
        let child = self.child.as_mut().context("the process has ended")?;
        loop {
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(status);
            }
            if started.elapsed() > limit {
                bail!("{} has not ended within {limit:?}", self.name);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn published(&self, state: &str) -> PublishedInstance {
        PublishedInstance {
            name: self.name.clone(),
            zone: self.zone.clone(),
            state: state.to_owned(),
            udp: self.addresses.udp,
            tcp: self.addresses.tcp,
        }
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A running deployment. Dropping it ends every process and server.
#[derive(Debug)]
pub struct Cluster {
    /// Entry instances.
    pub instances: Vec<InstanceProcess>,
    /// Model engines.
    pub engines: Vec<EngineHandle>,
    /// Plain services that do not recognise repeated orders.
    pub portals: Vec<ServiceHandle>,
    /// Plain services that recognise repeated orders.
    pub ledgers: Vec<ServiceHandle>,
    /// Configuration service and instance list.
    pub platform: PlatformHandle,
    /// Directory for settings and logs.
    dir: PathBuf,
    params: ClusterParams,
}

impl Cluster {
    /// Starts the stand-ins, publishes the tree and the list, and starts the instances.
    ///
    /// # Errors
    ///
    /// Fails if a server or a process cannot be started.
    pub fn start(params: ClusterParams) -> anyhow::Result<Self> {
        binary()?;
        let listen = "127.0.0.1:0";
        let platform = start_platform(listen, PLATFORM_RATE)?;
        let engines = params.engines.iter().enumerate().map(|(index, settings)| {
            let seed = settings.seed.wrapping_add(index as u64);
            start_engine(listen, EngineSettings { seed, ..settings.clone() })
        });
        let engines = engines.collect::<anyhow::Result<Vec<_>>>()?;
        let services = |count: usize, check_keys: bool| {
            let faults = ServiceFaults { check_keys: Some(check_keys), ..ServiceFaults::default() };
            (0..count).map(|_| start_service(listen, &faults)).collect::<anyhow::Result<Vec<_>>>()
        };
        let (portals, ledgers) =
            (services(params.portals, false)?, services(params.ledgers, true)?);
        let mut cluster = Self {
            instances: Vec::new(),
            engines,
            portals,
            ledgers,
            platform,
            dir: temporary_dir()?,
            params,
        };
        cluster.write_settings()?;
        cluster.publish_tree(&TreeChanges::default());
        cluster.publish_instances(|_| Some("live"));
        for instance in &mut cluster.instances {
            instance.start()?;
        }
        Ok(cluster)
    }

    /// Gets the addresses for callers.
    pub fn targets(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.addresses.callers).collect()
    }

    /// Gets the addresses of all plain services.
    pub fn services(&self) -> Vec<SocketAddr> {
        self.portals.iter().chain(&self.ledgers).map(ServiceHandle::address).collect()
    }

    /// Publishes the instance list with the state that `state` gives to each name, or
    /// without the instance if it gives none.
    pub fn publish_instances<'a>(&self, state: impl Fn(&str) -> Option<&'a str>) -> u64 {
        let instances = self.instances.iter();
        let list: Vec<_> = instances
            .filter_map(|instance| state(&instance.name).map(|state| instance.published(state)))
            .collect();
        self.platform.set_instances(&list)
    }

    /// Publishes the configuration tree and returns its revision.
    pub fn publish_tree(&self, changes: &TreeChanges) -> u64 {
        self.platform.set_value("tree", &self.tree(changes))
    }

    /// Writes the configuration tree of both deployments.
    pub fn tree(&self, changes: &TreeChanges) -> String {
        let mut text = String::from("models:\n  fossil-writer: { versions: [v3, v4] }\nservers:\n");
        let state = |name: &str| {
            if changes.leaving.contains(name) { ", state: leaving" } else { "" }
        };
        let names = |prefix: &str, count: usize| {
            (1..=count).map(|n| format!("{prefix}-{n}")).collect::<Vec<_>>()
        };
        let engines = names("engine", self.engines.len());
        for (index, (name, engine)) in engines.iter().zip(&self.engines).enumerate() {
            let params = &self.params.engines[index].params;
            let _ = writeln!(
                text,
                "  {name}: {{ kind: engine, address: {}, zone: {}, models: [fossil-writer@v3], \
                 kv_tokens: {}, max_batch: {}, checks_fencing: true{} }}",
                engine.address(),
                zone(index),
                params.kv_tokens,
                params.max_batch,
                state(name),
            );
        }
        let portals = names("portal", self.portals.len());
        let ledgers = names("ledger", self.ledgers.len());
        for (list, handles, checks) in
            [(&portals, &self.portals, false), (&ledgers, &self.ledgers, true)]
        {
            for (index, (name, service)) in list.iter().zip(handles).enumerate() {
                let _ = writeln!(
                    text,
                    "  {name}: {{ kind: service, address: {}, zone: {}, \
                     checks_idempotency_keys: {checks}{} }}",
                    service.address(),
                    zone(index),
                    state(name),
                );
            }
        }
        let _ = writeln!(
            text,
            "routes:\n  writing: {{ model: fossil-writer, version: v3, servers: [{}] }}\n  \
             portals: {{ servers: [{}] }}\n  ledgers: {{ servers: [{}] }}\ncustomers:",
            engines.join(", "),
            portals.join(", "),
            ledgers.join(", "),
        );
        for name in CUSTOMERS {
            let hex = hex_text(&credential_digest(&credential(name)));
            let limit = if *name == "small-desk" { SMALL_LIMIT } else { 256 };
            let _ = writeln!(
                text,
                "  {name}: {{ credential_digest: {hex}, share: 2, open_limit: {limit} }}"
            );
        }
        let fitment = changes.fitment_max_tokens.unwrap_or(4096);
        let everyone = CUSTOMERS.join(", ");
        let _ = writeln!(
            text,
            "desks:\n  nile:\n    objective: fewest_preemptions\n    deadline_ms: 60000\n    \
             customers: [{everyone}]\n    children:\n      \
             overnight: {{ generations: writing, delivery: whole, priority: 2, max_tokens: 4096 }}\n      \
             fitment: {{ generations: writing, delivery: stream, priority: 7, max_tokens: {fitment} }}\n      \
             trade: {{ lookups: portals, orders: portals, deadline_ms: 8000 }}\n  \
             consortium:\n    objective: least_stall\n    deadline_ms: 60000\n    \
             customers: [{everyone}]\n    children:\n      \
             review: {{ generations: writing, delivery: stream, priority: 6 }}\n      \
             drafts: {{ generations: writing, delivery: whole, priority: 4 }}\n      \
             hurried: {{ generations: writing, delivery: whole, deadline_ms: 400 }}\n      \
             releases: {{ orders: ledgers, deadline_ms: 8000 }}\n      \
             ledgers-brief: {{ orders: ledgers, deadline_ms: 1500 }}",
        );
        text
    }

    /// Waits until every instance that runs reports that it is ready.
    ///
    /// # Errors
    ///
    /// Fails if one is not ready in time or its process ended.
    pub async fn wait_ready(&mut self, client: &CallClient) -> anyhow::Result<()> {
        let started = Instant::now();
        for index in 0..self.instances.len() {
            while !self.is_ready(client, index).await {
                let name = &self.instances[index].name;
                if started.elapsed() > READY_LIMIT {
                    bail!("{name} is not ready after {READY_LIMIT:?}\n{}", self.logs());
                }
                let child = self.instances[index].child.as_mut();
                if let Some(status) = child.and_then(|child| child.try_wait().ok().flatten()) {
                    let name = &self.instances[index].name;
                    bail!("{name} ended with {status}\n{}", self.logs());
                }
                ntex::time::sleep(Duration::from_millis(25)).await;
            }
        }
        Ok(())
    }

    async fn is_ready(&self, client: &CallClient, index: usize) -> bool {
        let instance = &self.instances[index];
        if instance.child.is_none() {
            return true;
        }
        let call = Call::new(Method::GET, "/readyz");
        let answer = client.call(instance.addresses.admin, &call, Duration::from_secs(1)).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until a key can be minted at every running instance, which means that a
    /// cluster that started cold has begun to take orders.
    ///
    /// # Errors
    ///
    /// Fails if that takes too long.
    pub async fn wait_orders(&self, client: &CallClient) -> anyhow::Result<()> {
        let started = Instant::now();
        let path = "/v1/desks/trade/order-keys";
        let call = Call::new(Method::POST, path).bearer(&credential(CUSTOMERS[0]));
        for instance in self.instances.iter().filter(|instance| instance.child.is_some()) {
            loop {
                let answer =
                    client.call(instance.addresses.callers, &call, Duration::from_secs(8)).await;
                if answer.as_ref().is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                if started.elapsed() > READY_LIMIT {
                    bail!("{} mints no key: {answer:?}\n{}", instance.name, self.logs());
                }
                ntex::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Gets the last lines of the instances' logs.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for instance in &self.instances {
            let log = std::fs::read_to_string(self.log_file(&instance.name)).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let tail = lines.len().saturating_sub(15);
            let errors = std::fs::read_to_string(&instance.errors).unwrap_or_default();
            let _ = writeln!(text, "--- {}\n{}\n{errors}", instance.name, lines[tail..].join("\n"));
        }
        text
    }

    fn log_file(&self, name: &str) -> PathBuf {
        self.dir.join(format!("{name}.log"))
    }

    fn write_settings(&mut self) -> anyhow::Result<()> {
        let addresses = free_addresses(self.params.instances)?;
        for (index, addresses) in addresses.iter().enumerate() {
            self.instances.push(InstanceProcess {
                name: format!("entry-{}", index + 1),
                zone: zone(index).to_owned(),
                addresses: *addresses,
                settings: self.dir.join(format!("entry-{}.yaml", index + 1)),
                errors: self.dir.join(format!("entry-{}.err", index + 1)),
                child: None,
            });
        }
        for instance in &self.instances {
            let InstanceAddresses { callers, admin, udp, tcp } = instance.addresses;
            let mut text = format!(
                "instance: {}\nzone: {}\ncallers: {callers}\nadmin: {admin}\nudp: {udp}\n\
                 tcp: {tcp}\nplatform: [\"{}\"]\ncluster_secret: {CLUSTER_SECRET}\n\
                 log: {{ level: info, file: \"{}\" }}\norders: {{ search_ms: {} }}\n",
                instance.name,
                instance.zone,
                self.platform.address(),
                self.log_file(&instance.name).display(),
                self.params.search_ms,
            );
            if !self.params.limits.is_empty() {
                let _ = writeln!(text, "limits: {{ {} }}", self.params.limits);
            }
            text.push_str("seeds:\n");
            for seed in self.instances.iter().filter(|seed| seed.name != instance.name) {
                let _ = writeln!(
                    text,
                    "  - {{ name: {}, zone: {}, udp: \"{}\", tcp: \"{}\" }}",
                    seed.name, seed.zone, seed.addresses.udp, seed.addresses.tcp
                );
            }
            std::fs::write(&instance.settings, text)?;
        }
        Ok(())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            instance.kill();
        }
        if std::thread::panicking() {
            eprintln!("{}", self.logs());
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Changes to the tree that tests make.
#[derive(Clone, Debug, Default)]
pub struct TreeChanges {
    /// Servers that are leaving.
    pub leaving: HashSet<String>,
    /// Limit of tokens at the desk `fitment`.
    pub fitment_max_tokens: Option<u32>,
}

/// Gets the credential of a customer.
pub fn credential(customer: &str) -> String {
    format!("{customer}-credential")
}

fn zone(index: usize) -> &'static str {
    ["cairo-a", "cairo-b", "cairo-c"][index % 3]
}

fn temporary_dir() -> anyhow::Result<PathBuf> {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("medlarlanding-{}-{number}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}

/// Chooses ports that are free now. They lie below the range from which the system takes
/// the ports of outgoing connections, so that none is taken before an instance binds it.
fn free_addresses(count: usize) -> anyhow::Result<Vec<InstanceAddresses>> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let mut tries = 0;
    let mut choose = || -> anyhow::Result<SocketAddr> {
        loop {
            // Processes that run at the same time start at different ports.
            let offset = u64::from(std::process::id()) * 61 + NEXT.fetch_add(1, Ordering::Relaxed);
            let port = FIRST_PORT + (offset % PORT_COUNT) as u16;
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return Ok(address);
            }
            tries += 1;
            if tries > PORT_COUNT {
                bail!("no free port");
            }
        }
    };
    (0..count)
        .map(|_| {
            let (callers, admin) = (choose()?, choose()?);
            Ok(InstanceAddresses { callers, admin, udp: choose()?, tcp: choose()? })
        })
        .collect()
}

/// Finds the binary next to the current executable; builds it if it is missing or older.
pub(crate) fn binary() -> anyhow::Result<PathBuf> {
    static BUILD: Mutex<()> = Mutex::new(());
    static FOUND: OnceLock<PathBuf> = OnceLock::new();
    let _guard = BUILD.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(path) = FOUND.get() {
        return Ok(path.clone());
    }
    let current = std::env::current_exe()?;
    let dir = current.parent().context("the executable has no directory")?;
    // Test executables lie one level deeper.
    let dir = if dir.ends_with("deps") { dir.parent().unwrap_or(dir) } else { dir };
    let path = dir.join("medlarlanding");
    if is_older(&path, &current) {
        let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
        let mut build = Command::new("cargo");
        // Both packages are named because cargo then chooses the features of dependencies
        // as for this executable, and need not build them a second time.
        build.current_dir(manifest).args(["build", "--quiet", "--bin", "medlarlanding"]);
        build.args(["-p", "medlarlanding", "-p", "medlarlanding-bench"]);
        if dir.ends_with("release") {
            build.arg("--release");
        }
        let status = build.status().context("cannot run cargo")?;
        if !status.success() {
            bail!("cargo build ended with {status}");
        }
    }
    if !path.exists() {
        bail!("the binary is not next to this executable");
    }
    Ok(FOUND.get_or_init(|| path).clone())
}

/// Returns whether the binary is missing or was linked before the current executable, which
/// then may contain newer code of the same crates.
fn is_older(path: &Path, current: &Path) -> bool {
    let modified = |path: &Path| path.metadata().and_then(|metadata| metadata.modified()).ok();
    modified(path).is_none_or(|time| modified(current).is_some_and(|current| time < current))
}
