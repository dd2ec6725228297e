//! Assembles and runs one instance.

use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::config::ConfigTree;
use medlarlanding_core::events::EventKind;

use anyhow::Context;
use ntex::SharedCfg;
use ntex::http::HttpServiceConfig;
use ntex::time::Seconds;
use ntex::web::{self, App, HttpServer};
use tokio::signal::unix::{SignalKind, signal};

use crate::backends::connection::build_client;
use crate::http::{admin, callers};
use crate::instance::{ActiveTree, InstanceShared};
use crate::logging::event;
use crate::platform::read_value;
use crate::settings::InstanceSettings;
use crate::supervisor::{ChildSupervisor, RestartParams};

/// Worker threads of the callers' listener.
const CALLER_WORKERS: usize = 2;
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
    let polled = shared.clone();
    supervisor.spawn("platform", move || Box::pin(poll_platform(polled.clone())));

    tokio::select! {
        _ = terminate.recv() => {},
        _ = interrupt.recv() => {},
        _ = given_up.changed() => anyhow::bail!("child {:?} was given up", *given_up.borrow()),
    }
    let open = shared.gate.start_drain();
    shared.metrics.draining.set(1);
    event(EventKind::DrainStarted, &[&open]);
    let started = shared.clock.now();
    let limit = Duration::from_millis(shared.settings.limits.drain_ms);
    let _ = tokio::time::timeout(limit, shared.gate.drained()).await;
    callers.stop(true).await;
    admin.stop(false).await;
    let waited = shared.clock.now().since(started).as_millis();
    event(EventKind::DrainFinished, &[&waited]);
    Ok(())
}

fn callers_server(shared: Arc<InstanceShared>) -> anyhow::Result<ntex::server::Server> {
    let address = shared.settings.callers;
    let limits = shared.settings.limits.clone();
    let http = HttpServiceConfig::new()
        .set_headers_read_rate(Seconds(limits.header_s), Seconds(limits.header_s), 256)
        .set_max_buf_size(32 << 10);
    let server = HttpServer::new(async move || {
        let client = build_client().await.expect("the client has no outside dependency");
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

async fn poll_platform(shared: Arc<InstanceShared>) -> anyhow::Result<()> {
    let client = build_client().await?;
    loop {
        for &address in &shared.settings.platform {
            if let Ok(value) = read_value(&client, address, "tree", None).await {
                match ConfigTree::parse(&value.value) {
                    Ok(tree) => shared.activate(ActiveTree { version: value.revision, tree }),
                    Err(faults) => event(
                        EventKind::ConfigRefused,
                        &[&value.revision, &faults.len(), &faults[0]],
                    ),
                }
                break;
            }
        }
        ntex::time::sleep(Duration::from_secs(1)).await;
    }
}
