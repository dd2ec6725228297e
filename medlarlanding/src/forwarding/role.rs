//! Starts the forwarding role, applies changed settings, and stops the role on SIGTERM.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::log_output::LogWriter;
use super::peer_cut::PeerCut;
use super::peer_link::{self, PeerLink};
use super::shared::{ForwardState, SharedState};
use super::store_watch::{self, WatchedPart};
use super::telemetry::Telemetry;
use super::{engine_probe, evacuations, ledger, listener, peer_fetch};
use crate::clock::wall_millis;
use crate::listener::bind;
use crate::logging::{self, event};
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{PeerTable, PeerTableParams, ZoneKey};
use medlarlanding_platform::settings::PlatformSettings;

use anyhow::Context;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

/// Interval at which the settings file is read again, because it may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(2);
/// Time until the load balancer sends no new connections to a stopping instance: it checks once a
/// second and removes an instance after two failed checks.
const BALANCER_REMOVAL_TIME: Duration = Duration::from_millis(2500);
/// The process stops this long before it would be killed, so that its last log lines are written.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Requests that still have no answer are answered this long before the process ends, so that the
/// answers are written.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which a stopping process checks for open connections.
const DRAIN_PERIOD: Duration = Duration::from_millis(50);
/// Checks in a row without an open or a new connection after which a stopping process ends. The load
/// balancer still sends connections to it while fewer than half of the instances of a zone are ready.
const QUIET_CHECKS: u32 = 6;
/// Pause before the process ends, in which the log thread writes the last lines.
const LOG_FLUSH: Duration = Duration::from_millis(30);

/// Command-line options of the role.
#[derive(Clone, Debug)]
pub struct RoleOptions {
    /// Port of the metrics endpoint on the address for peers; 0 disables the endpoint.
    pub metrics_port: u16,
    /// File with addresses of peers whose messages are dropped, for drills.
    pub drill_cut: Option<PathBuf>,
}

/// Runs the role until it is stopped.
///
/// # Errors
///
/// Fails if the settings are invalid, an address cannot be bound, or a task fails.
pub fn run(options: RoleOptions) -> anyhow::Result<()> {
    let settings = PlatformSettings::read(&PlatformSettings::path())?;
    logging::install_writer(Box::new(LogWriter::start()?), &settings.instance)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let result = LocalSet::new().block_on(&runtime, serve(settings, options));
    if let Err(error) = &result {
        event(EventKind::ChildGivenUp, &[&"forwarding", &format!("{error:#}")]);
    }
    std::thread::sleep(LOG_FLUSH);
    result
}

async fn serve(settings: PlatformSettings, options: RoleOptions) -> anyhow::Result<()> {
    let boot = wall_millis().max(1);
    event(
        EventKind::ProcessStarted,
        &[&settings.instance, &settings.zone, &boot, &env!("CARGO_PKG_VERSION")],
    );
    let callers = bind(settings.callers)?;
    let readiness = bind(settings.readiness)?;
    let control = settings.control.map(bind).transpose()?;
    let fetches = bind(settings.peers)?;
    let digests = UdpSocket::bind(settings.peers)
        .await
        .with_context(|| format!("cannot bind {} (UDP)", settings.peers))?;
    let metrics = match options.metrics_port {
        0 => None,
        port => Some(bind(SocketAddr::new(settings.peers.ip(), port))?),
    };
    let grace = settings.stop_grace;
    let strength = machine_strength(&settings);
    let seeds = settings.seeds.clone();
    let peers = PeerTable::new(PeerTableParams::default(), settings.peers, strength, seeds)
        .in_zone(ZoneKey::of(&settings.zone));
    let (ledger_sender, ledger_news) = mpsc::unbounded_channel();
    let state = Rc::new(
        ForwardState::new(settings, boot, Telemetry::new()?, peers, ledger_sender)
            .with_cut(PeerCut::new(options.drill_cut)),
    );
    let link = Rc::new(PeerLink::new(digests));
    let (stop, stopping) = watch::channel(false);
    let tasks = RoleTasks::new();
    tasks.spawn(
        "callers",
        listener::serve_callers(callers, Rc::clone(&state), Rc::clone(&link), stopping),
    );
    tasks.spawn("readiness", listener::serve_readiness(readiness, Rc::clone(&state)));
    if let Some(control) = control {
        tasks.spawn("control", listener::serve_readiness(control, Rc::clone(&state)));
    }
    if let Some(metrics) = metrics {
        tasks.spawn("metrics", listener::serve_metrics(metrics, Rc::clone(&state)));
    }
    tasks.spawn("digests", peer_link::send_digests(Rc::clone(&link), Rc::clone(&state)));
    tasks.spawn("following", peer_fetch::follow_peers(Rc::clone(&state)));
    tasks.spawn("datagrams", peer_link::read_datagrams(Rc::clone(&link), Rc::clone(&state)));
    tasks.spawn(
        "ledger",
        peer_link::send_ledger_news(Rc::clone(&link), Rc::clone(&state), ledger_news),
    );
    tasks.spawn("blocked parts", ledger::refresh_blocked_parts(Rc::clone(&state)));
    tasks.spawn("fetches", peer_fetch::serve_fetches(fetches, Rc::clone(&state)));
    tasks.spawn(
        "config",
        store_watch::run(Rc::clone(&state), Rc::clone(&link), WatchedPart::Config),
    );
    tasks.spawn(
        "servers",
        store_watch::run(Rc::clone(&state), Rc::clone(&link), WatchedPart::Servers),
    );
    tasks.spawn("probes", engine_probe::run(Rc::clone(&state), Rc::clone(&link)));
    tasks.spawn("pauses", evacuations::watch_pauses(Rc::clone(&link), Rc::clone(&state)));
    tasks.spawn("settings", watch_settings(Rc::clone(&state)));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut failures = tasks.failures;
    tokio::select! {
        _ = terminate.recv() => drain(&state, &stop, grace).await,
        Some(error) = failures.recv() => return Err(error),
    }
    Ok(())
}

/// Strength of one whole processor core; the strength of a link is its bandwidth in Mbit/s.
const CORE_STRENGTH: f64 = 400.0;

/// Returns the strength of the machine, by which instances are ranked: that of the weaker of
/// processor and link, because hubs need both to send to all other instances.
fn machine_strength(settings: &PlatformSettings) -> u16 {
    (settings.cpu_share * CORE_STRENGTH).min(settings.link_mbps).clamp(0.0, 60_000.0) as u16
}

/// Tasks whose failure ends the process; the platform then restarts it.
struct RoleTasks {
    failed: mpsc::UnboundedSender<anyhow::Error>,
    failures: mpsc::UnboundedReceiver<anyhow::Error>,
}

impl RoleTasks {
    fn new() -> Self {
        let (failed, failures) = mpsc::unbounded_channel();
        Self { failed, failures }
    }

    fn spawn(&self, name: &'static str, task: impl Future<Output = anyhow::Result<()>> + 'static) {
        let failed = self.failed.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = task.await {
                // Sending fails only if the receiver is dropped, when the process is ending.
                let _ = failed.send(error.context(name));
            }
        });
    }
}

/// Lets requests in progress finish, for as long as `grace` allows. Those that then have no answer are
/// answered before the process ends.
async fn drain(state: &SharedState, stop: &watch::Sender<bool>, grace: Duration) {
    let started = Instant::now();
    let open = state.connection_count();
    event(EventKind::DrainStarted, &[&open]);
    let latest = grace.saturating_sub(KILL_MARGIN);
    state.begin_stop(latest.saturating_sub(ANSWER_MARGIN));
    // Until the load balancer has removed the instance, idle connections are still used.
    tokio::time::sleep(BALANCER_REMOVAL_TIME.min(latest)).await;
    stop.send_replace(true);
    // Counting checks instead of time gives connections that arrived while the process was paused
    // the time to be accepted.
    let mut quiet_checks = 0;
    let mut accepted = state.accepted_count();
    while started.elapsed() < latest && quiet_checks < QUIET_CHECKS {
        tokio::time::sleep(DRAIN_PERIOD).await;
        let is_quiet = state.connection_count() == 0 && state.accepted_count() == accepted;
        quiet_checks = if is_quiet { quiet_checks + 1 } else { 0 };
        accepted = state.accepted_count();
    }
    event(EventKind::DrainFinished, &[&started.elapsed().as_millis()]);
}

/// Applies changed seeds and regions of zones from the settings file, on SIGHUP and periodically.
async fn watch_settings(state: SharedState) -> anyhow::Result<()> {
    let mut reload = signal(SignalKind::hangup())?;
    let path = PlatformSettings::path();
    let mut seeds = state.settings.seeds.clone();
    let mut zone_regions = state.settings.zone_regions.clone();
    loop {
        let is_signalled = tokio::select! {
            _ = reload.recv() => true,
            () = tokio::time::sleep(SETTINGS_PERIOD) => false,
        };
        match PlatformSettings::read(&path) {
            Ok(settings) => {
                if is_signalled || settings.seeds != seeds {
                    event(EventKind::SettingsRead, &[&settings.seeds.len()]);
                }
                state.apply_cold_settings(&settings);
                if settings.seeds != seeds {
                    state.peers.borrow_mut().set_seeds(settings.seeds.clone());
                    seeds = settings.seeds.clone();
                }
                if settings.zone_regions != zone_regions {
                    let regions = evacuations::zone_regions(&settings);
                    state.directory.borrow_mut().set_zone_regions(regions);
                    zone_regions = settings.zone_regions;
                }
            },
            Err(error) => event(EventKind::SettingsRefused, &[&format!("{error:#}")]),
        }
    }
}
