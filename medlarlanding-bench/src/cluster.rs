//! Deployment on loopback: stand-ins run in this process, each instance in its own.

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

/// Time within which every instance must be ready and must accept orders.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of calls per second that the platform stand-in answers.
const PLATFORM_RATE: u32 = 2_000;
/// First port of the range from which the ports of instances are chosen.
const FIRST_PORT: u16 = 20_000;
/// Number of ports in that range.
const PORT_COUNT: u64 = 12_000;
/// Cluster secret in the settings of every instance.
const CLUSTER_SECRET: &str = "loopback-cluster-secret-0123456789";
/// Customers in the configuration tree. See [`credential`] for their credentials.
pub const CUSTOMERS: &[&str] =
    &["cairo-museum", "luxor-guild", "rome-press", "turin-press", "small-desk"];

/// Maximum number of open requests of the customer `small-desk`.
pub const SMALL_DESK_LIMIT: usize = 6;

/// Size and settings of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterParams {
    /// Number of instances.
    pub instances: usize,
    /// Settings of each engine. Its position in the list is added to the seed.
    pub engines: Vec<EngineSettings>,
    /// Number of plain services that do not recognise repeated orders.
    pub portals: usize,
    /// Number of plain services that recognise repeated orders by their id.
    pub ledgers: usize,
    /// Time for which a replica that starts empty searches other replicas for earlier orders,
    /// in milliseconds. All replicas start empty here, so the cluster refuses orders for that
    /// long.
    pub search_ms: u64,
    /// Entries of the section `limits` in the settings of the instances, separated by commas.
    /// The section is left out if this is empty.
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
    /// TCP listener for callers.
    pub callers: SocketAddr,
    /// TCP listener for operators.
    pub admin: SocketAddr,
    /// UDP socket for datagrams from peers.
    pub udp: SocketAddr,
    /// TCP listener for connections from peers.
    pub tcp: SocketAddr,
}

/// Process of an instance. Dropping it kills the process and waits for its exit.
#[derive(Debug)]
pub struct InstanceProcess {
    /// Name in the published instance list.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Addresses at which the instance listens.
    pub addresses: InstanceAddresses,
    settings_file: PathBuf,
    /// File to which standard error is appended.
    stderr_file: PathBuf,
    child: Option<Child>,
}

impl InstanceProcess {
    /// Starts the process. A process that still runs is killed first.
    ///
    /// # Errors
    ///
    /// Fails if the binary cannot be run.
    pub fn start(&mut self) -> anyhow::Result<()> {
        self.kill();
        // Panics are written to standard error, not to the log.
        let stderr = File::options().create(true).append(true).open(&self.stderr_file)?;
        let child = Command::new(binary()?)
            .arg("serve")
            .arg("--settings")
            .arg(&self.settings_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(stderr)
            .spawn()
            .context("cannot start the instance binary")?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the process id, or `None` before the start and after [`Self::kill`] or
    /// [`Self::wait`].
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends SIGKILL and waits for the exit of the process.
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
    /// Fails if the process is not running.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let child = self.child.as_ref().context("the process has ended")?;
        kill_process(Pid::from_child(child), signal)?;
        Ok(())
    }

    /// Waits for the exit of the process.
    ///
    /// # Errors
    ///
    /// Fails if the process is not running or has not exited within `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> anyhow::Result<ExitStatus> {
        let started = Instant::now();
        let child = self.child.as_mut().context("the process has ended")?;
        loop {
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(status);
            }
            if started.elapsed() > timeout {
                bail!("{} has not exited within {timeout:?}", self.name);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn list_entry(&self, state: &str) -> PublishedInstance {
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

/// A running deployment. Dropping it kills the instances, stops the stand-ins and removes the
/// settings and logs.
#[derive(Debug)]
pub struct Cluster {
    /// Instances of the system.
    pub instances: Vec<InstanceProcess>,
    /// Stand-ins for model engines, `engine-1` and so on in the tree.
    pub engines: Vec<EngineHandle>,
    /// Stand-ins for plain services that do not recognise repeated orders, `portal-1` and so
    /// on in the tree.
    pub portals: Vec<ServiceHandle>,
    /// Stand-ins for plain services that recognise repeated orders, `ledger-1` and so on in the
    /// tree.
    pub ledgers: Vec<ServiceHandle>,
    /// Stand-in for the platform, which publishes the configuration tree and the instance list.
    pub platform: PlatformHandle,
    /// Temporary directory for settings and logs.
    dir: PathBuf,
    params: ClusterParams,
}

impl Cluster {
    /// Starts the stand-ins, publishes the configuration tree and the instance list, and starts
    /// the instances.
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

    /// Returns the addresses at which the instances accept callers.
    pub fn targets(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.addresses.callers).collect()
    }

    /// Returns the addresses of all plain services.
    pub fn service_addresses(&self) -> Vec<SocketAddr> {
        self.portals.iter().chain(&self.ledgers).map(ServiceHandle::address).collect()
    }

    /// Publishes the instance list and returns its revision. `state` maps the name of each
    /// instance to its published state; an instance for which it returns `None` is left out.
    pub fn publish_instances<'a>(&self, state: impl Fn(&str) -> Option<&'a str>) -> u64 {
        let instances = self.instances.iter();
        let list: Vec<_> = instances
            .filter_map(|instance| state(&instance.name).map(|state| instance.list_entry(state)))
            .collect();
        self.platform.set_instances(&list)
    }

    /// Publishes the configuration tree with `changes` and returns its revision.
    pub fn publish_tree(&self, changes: &TreeChanges) -> u64 {
        self.platform.set_value("tree", &self.tree(changes))
    }

    /// Returns the text of the configuration tree, which has the desks of both deployments.
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
            let limit = if *name == "small-desk" { SMALL_DESK_LIMIT } else { 256 };
            let _ = writeln!(
                text,
                "  {name}: {{ credential_digest: {hex}, share: 2, open_limit: {limit} }}"
            );
        }
        let fitment = changes.fitment_max_tokens.unwrap_or(4096);
        let customers = CUSTOMERS.join(", ");
        let _ = writeln!(
            text,
            "desks:\n  nile:\n    objective: fewest_preemptions\n    deadline_ms: 60000\n    \
             customers: [{customers}]\n    children:\n      \
             overnight: {{ generations: writing, delivery: whole, priority: 2, max_tokens: 4096 }}\n      \
             fitment: {{ generations: writing, delivery: stream, priority: 7, max_tokens: {fitment} }}\n      \
             trade: {{ lookups: portals, orders: portals, deadline_ms: 8000 }}\n  \
             consortium:\n    objective: least_stall\n    deadline_ms: 60000\n    \
             customers: [{customers}]\n    children:\n      \
             review: {{ generations: writing, delivery: stream, priority: 6 }}\n      \
             drafts: {{ generations: writing, delivery: whole, priority: 4 }}\n      \
             hurried: {{ generations: writing, delivery: whole, deadline_ms: 400 }}\n      \
             releases: {{ orders: ledgers, deadline_ms: 8000 }}\n      \
             ledgers-brief: {{ orders: ledgers, deadline_ms: 1500 }}",
        );
        text
    }

    /// Waits until every running instance reports that it is ready.
    ///
    /// # Errors
    ///
    /// Fails if an instance is not ready within `READY_TIMEOUT` or its process has exited.
    pub async fn wait_ready(&mut self, client: &CallClient) -> anyhow::Result<()> {
        let started = Instant::now();
        for index in 0..self.instances.len() {
            while !self.is_ready(client, index).await {
                let name = &self.instances[index].name;
                if started.elapsed() > READY_TIMEOUT {
                    bail!("{name} is not ready after {READY_TIMEOUT:?}\n{}", self.logs());
                }
                let child = self.instances[index].child.as_mut();
                if let Some(status) = child.and_then(|child| child.try_wait().ok().flatten()) {
                    let name = &self.instances[index].name;
                    bail!("{name} exited with {status}\n{}", self.logs());
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
        let response = client.call(instance.addresses.admin, &call, Duration::from_secs(1)).await;
        response.is_ok_and(|response| response.status == 200)
    }

    /// Waits until every running instance mints an order key, which means that the cluster has
    /// begun to accept orders after its cold start.
    ///
    /// # Errors
    ///
    /// Fails if an instance mints no key within `READY_TIMEOUT`.
    pub async fn wait_orders_accepted(&self, client: &CallClient) -> anyhow::Result<()> {
        let started = Instant::now();
        let path = "/v1/desks/trade/order-keys";
        let call = Call::new(Method::POST, path).bearer(&credential(CUSTOMERS[0]));
        for instance in self.instances.iter().filter(|instance| instance.child.is_some()) {
            loop {
                let response =
                    client.call(instance.addresses.callers, &call, Duration::from_secs(8)).await;
                if response.as_ref().is_ok_and(|response| response.status == 200) {
                    break;
                }
                if started.elapsed() > READY_TIMEOUT {
                    bail!(
                        "{} minted no order key within {READY_TIMEOUT:?}: {response:?}\n{}",
                        instance.name,
                        self.logs()
                    );
                }
                ntex::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Waits until every running instance is synchronised in all its partitions, so that an order
    /// with any key finds a quorum. A key can be minted as soon as one partition is synchronised.
    ///
    /// # Errors
    ///
    /// Fails if a partition is not synchronised within `READY_TIMEOUT`.
    pub async fn wait_partitions_synchronised(&self, client: &CallClient) -> anyhow::Result<()> {
        let started = Instant::now();
        let call = Call::new(Method::GET, "/dump");
        for instance in self.instances.iter().filter(|instance| instance.child.is_some()) {
            loop {
                let response =
                    client.call(instance.addresses.admin, &call, Duration::from_secs(8)).await;
                let dump = response.map(|response| response.json()).unwrap_or_default();
                let partitions = dump["orders"]["partitions"].as_array();
                let is_synchronised =
                    |partition: &serde_json::Value| partition["synchronised"] == true;
                if partitions.is_some_and(|all| !all.is_empty() && all.iter().all(is_synchronised))
                {
                    break;
                }
                if started.elapsed() > READY_TIMEOUT {
                    bail!(
                        "{} is not synchronised within {READY_TIMEOUT:?}: {}",
                        instance.name,
                        self.logs()
                    );
                }
                ntex::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Returns the last 15 lines of each instance's log and all that it wrote to standard error.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for instance in &self.instances {
            let log = std::fs::read_to_string(self.log_file(&instance.name)).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let tail = lines.len().saturating_sub(15);
            let stderr = std::fs::read_to_string(&instance.stderr_file).unwrap_or_default();
            let _ = writeln!(text, "--- {}\n{}\n{stderr}", instance.name, lines[tail..].join("\n"));
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
                settings_file: self.dir.join(format!("entry-{}.yaml", index + 1)),
                stderr_file: self.dir.join(format!("entry-{}.err", index + 1)),
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
            std::fs::write(&instance.settings_file, text)?;
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

/// Changes that tests make to the configuration tree.
#[derive(Clone, Debug, Default)]
pub struct TreeChanges {
    /// Names of the backend servers that are marked as leaving.
    pub leaving: HashSet<String>,
    /// Maximum number of tokens of a generation at the desk `fitment`, 4096 if absent.
    pub fitment_max_tokens: Option<u32>,
}

/// Returns the credential of a customer: its name and `-credential`.
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

/// Chooses loopback ports that are free. They lie below the range from which the operating
/// system takes the ports of outgoing connections, so that no such connection takes a port
/// before the instance binds it.
fn free_addresses(count: usize) -> anyhow::Result<Vec<InstanceAddresses>> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let mut tries = 0;
    let mut free_address = || -> anyhow::Result<SocketAddr> {
        loop {
            // The offset depends on the process id, so that test processes that run at the same
            // time start at different ports.
            let offset = u64::from(std::process::id()) * 61 + NEXT.fetch_add(1, Ordering::Relaxed);
            let port = FIRST_PORT + (offset % PORT_COUNT) as u16;
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return Ok(address);
            }
            tries += 1;
            if tries > PORT_COUNT {
                bail!("found no free port after {tries} attempts");
            }
        }
    };
    (0..count)
        .map(|_| {
            let (callers, admin) = (free_address()?, free_address()?);
            Ok(InstanceAddresses { callers, admin, udp: free_address()?, tcp: free_address()? })
        })
        .collect()
}

/// Returns the path of the instance binary next to the current executable. Builds the binary if
/// it is missing or older than the executable.
pub(crate) fn binary() -> anyhow::Result<PathBuf> {
    static BUILD: Mutex<()> = Mutex::new(());
    static FOUND: OnceLock<PathBuf> = OnceLock::new();
    let _guard = BUILD.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(path) = FOUND.get() {
        return Ok(path.clone());
    }
    let current = std::env::current_exe()?;
    let dir = current.parent().context("the executable has no directory")?;
    // Test executables lie in the subdirectory `deps`.
    let dir = if dir.ends_with("deps") { dir.parent().unwrap_or(dir) } else { dir };
    let path = dir.join("medlarlanding");
    if is_outdated(&path, &current) {
        let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
        let mut build = Command::new("cargo");
        // With both packages named, cargo chooses the same features of dependencies as for the
        // current executable and does not build the dependencies a second time.
        build.current_dir(manifest).args(["build", "--quiet", "--bin", "medlarlanding"]);
        build.args(["-p", "medlarlanding", "-p", "medlarlanding-bench"]);
        if dir.ends_with("release") {
            build.arg("--release");
        }
        let status = build.status().context("cannot run cargo")?;
        if !status.success() {
            bail!("cargo build failed with {status}");
        }
    }
    if !path.exists() {
        bail!("cargo built no binary at {}", path.display());
    }
    Ok(FOUND.get_or_init(|| path).clone())
}

/// Returns whether the binary at `path` is missing or was modified before the current
/// executable, which may then contain newer code of the same crates.
fn is_outdated(path: &Path, current: &Path) -> bool {
    let modified = |path: &Path| path.metadata().and_then(|metadata| metadata.modified()).ok();
    modified(path).is_none_or(|time| modified(current).is_some_and(|current| time < current))
}
