//! Assembles and runs one instance.

use std::sync::Arc;
use std::time::Duration;

use crate::backends::connection::ExchangeClient;
use crate::http::{admin, callers};
use crate::instance::InstanceShared;
use crate::logging::event;
use crate::runtime::{commands, links, node, platform};
use crate::settings::InstanceSettings;
use crate::supervisor::{ChildSupervisor, RestartParams};
use medlarlanding_core::events::EventKind;
use medlarlanding_core::node::NodeInput;

use anyhow::Context;
use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::time::Seconds;
use ntex::web::{self, App, HttpServer};
use tokio::signal::unix::{SignalKind, signal};

/// Worker threads of the callers' listener.
const CALLER_WORKERS: usize = 2;
/// Time for the news of the leave to reach the peers and the platform's balancer.
const LEAVE_TIME: Duration = Duration::from_millis(1500);
/// Time for the last datagrams to leave.
const DEPART_TIME: Duration = Duration::from_millis(50);
/// Interval at which a drain looks for orders that are not complete.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Time for connections to flush their last bytes after the drain.
const FLUSH_TIMEOUT: Seconds = Seconds(5);

/// Runs an instance until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if a listener cannot be bound or a child of the supervisor is given up.
pub fn run(settings: InstanceSettings) -> anyhow::Result<()> {
    let shared = InstanceShared::new(settings)?;
    ntex::rt::System::build()
        .name("medlarlanding")
        .build(ntex::rt::DefaultRuntime)
        .block_on(serve(shared))
}

async fn serve(shared: Arc<InstanceShared>) -> anyhow::Result<()> {
    event(
        EventKind::ProcessStarted,
        &[
            &shared.settings.instance,
            &shared.settings.zone,
            &shared.identity.incarnation.started,
            &env!("CARGO_PKG_VERSION"),
        ],
    );
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let callers = callers_server(shared.clone())?;
    let admin = admin_server(shared.clone())?;
    let supervisor = ChildSupervisor::new(RestartParams::default());
    let mut given_up = supervisor.given_up();
    links::start(&shared, &supervisor).await?;
    let child = shared.clone();
    supervisor.spawn("platform", move || Box::pin(platform::run(child.clone())));
    let child = shared.clone();
    supervisor.spawn("commands", move || Box::pin(commands::run(child.clone())));
    let child = shared.clone();
    supervisor.spawn("ticker", move || Box::pin(node::tick(child.clone())));
    shared.start_node();

    tokio::select! {
        _ = terminate.recv() => {},
        _ = interrupt.recv() => {},
        _ = given_up.changed() => anyhow::bail!("child {:?} was given up", *given_up.borrow()),
    }
    let open = shared.gate.start_drain();
    shared.metrics.draining.set(1);
    event(EventKind::DrainStarted, &[&open]);
    let started = shared.clock.now();
    let _ = shared.apply(NodeInput::Leave);
    let limit = Duration::from_millis(shared.settings.limits.drain_ms);
    let _ = tokio::time::timeout(limit, drained(&shared)).await;
    callers.stop(true).await;
    let _ = shared.apply(NodeInput::Depart);
    ntex::time::sleep(DEPART_TIME).await;
    admin.stop(false).await;
    let waited = shared.clock.now().since(started).as_millis();
    event(EventKind::DrainFinished, &[&waited]);
    Ok(())
}

/// Waits until no request is in progress and the outcome of every order has reached its
/// replicas, but at least until peers can have heard that this instance leaves.
async fn drained(shared: &InstanceShared) {
    ntex::time::sleep(LEAVE_TIME).await;
    loop {
        shared.gate.drained().await;
        if shared.node().open_orders() == 0 {
            return;
        }
        ntex::time::sleep(DRAIN_POLL).await;
    }
}

fn callers_server(shared: Arc<InstanceShared>) -> anyhow::Result<ntex::server::Server> {
    let address = shared.settings.callers;
    let limits = shared.settings.limits.clone();
    let http = HttpServiceConfig::new()
        .set_headers_read_rate(Seconds(limits.header_s), Seconds(limits.header_s), 256)
        .set_max_buf_size(32 << 10);
    let server = HttpServer::new(async move || {
        let client = ExchangeClient::default();
        App::new()
            .state(callers::CallerContext { shared: shared.clone(), client })
            .configure(callers::configure)
            .default_service(web::to(callers::not_found))
    })
    .workers(CALLER_WORKERS)
    .maxconn(limits.connections)
    .disable_signals()
    .shutdown_timeout(FLUSH_TIMEOUT)
    .config(SharedCfg::new("CALLERS").add(http))
    .bind(address)
    .with_context(|| format!("bind callers {address}"))?;
    Ok(server.run())
}

fn admin_server(shared: Arc<InstanceShared>) -> anyhow::Result<ntex::server::Server> {
    let address = shared.settings.admin;
    let server =
        HttpServer::new(async move || App::new().state(shared.clone()).configure(admin::configure))
            .workers(1)
            .maxconn(64)
            .disable_signals()
            .bind(address)
            .with_context(|| format!("bind admin {address}"))?;
    Ok(server.run())
}
