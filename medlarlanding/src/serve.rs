//! Starts one instance, runs it until a signal, and drains it.

use std::sync::Arc;
use std::time::Duration;

use crate::gate::DrainStage;
use crate::http::admin;
use crate::http::callers::{self, CallerContext};
use crate::http::listener::{HttpListener, ListenerLimits};
use crate::instance::InstanceShared;
use crate::listener::bind;
use crate::logging::event;
use crate::runtime::{commands, node, platform, queues};
use crate::settings::InstanceSettings;
use crate::supervisor::{ChildSupervisor, RestartParams};
use medlarlanding_core::events::EventKind;
use medlarlanding_core::node::NodeInput;

use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// Limits of the operators' listener, which serves only a few tools at a time.
const ADMIN_LIMITS: ListenerLimits =
    ListenerLimits { connections: 64, head: Duration::from_secs(5) };
/// Minimum duration of a drain, so that peers and the platform's load balancer learn that the
/// instance is leaving before it stops its listener.
const DRAIN_MIN: Duration = Duration::from_millis(1500);
/// Delay before exit in which the datagrams that announce the departure are sent.
const DEPARTURE_DELAY: Duration = Duration::from_millis(50);
/// Time in which requests that have not started are refused at the end of a drain, before all others are
/// answered.
const REFUSAL_TIME: Duration = Duration::from_millis(100);
/// Interval at which a drain checks for orders that are not complete.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Maximum time for open connections to flush their last bytes after the drain.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs an instance until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if a listener cannot be bound, or if a supervised child exceeds its restart limit.
pub fn run(settings: InstanceSettings) -> anyhow::Result<()> {
    let shared = InstanceShared::new(settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(shared))
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
    let callers = callers_listener(&shared)?;
    let admin = admin_listener(&shared)?;
    let supervisor = ChildSupervisor::new(RestartParams::default());
    let mut failed_child = supervisor.failed_child();
    queues::start_peer_children(&shared, &supervisor).await?;
    let child_shared = shared.clone();
    supervisor.spawn("platform", move || Box::pin(platform::run(child_shared.clone())));
    let child_shared = shared.clone();
    supervisor.spawn("commands", move || Box::pin(commands::run(child_shared.clone())));
    let child_shared = shared.clone();
    supervisor.spawn("ticker", move || Box::pin(node::run_ticker(child_shared.clone())));
    shared.start_node();

    tokio::select! {
        _ = terminate.recv() => {},
        _ = interrupt.recv() => {},
        _ = failed_child.changed() => anyhow::bail!(
            "supervised child {} exceeded its restart limit",
            failed_child.borrow().unwrap_or_default(),
        ),
    }
    let open = shared.gate.start_drain();
    shared.metrics.draining.set(1);
    event(EventKind::DrainStarted, &[&open]);
    let started = shared.clock.now();
    let _ = shared.apply(NodeInput::Leave);
    let limit = Duration::from_millis(shared.settings.limits.drain_ms);
    if tokio::time::timeout(limit, wait_until_drained(&shared)).await.is_err() {
        shared.gate.end_drain(DrainStage::RefusingWaiting);
        tokio::time::sleep(REFUSAL_TIME).await;
        shared.gate.end_drain(DrainStage::AnsweringAll);
    }
    callers.stop(FLUSH_TIMEOUT).await;
    let _ = shared.apply(NodeInput::Depart);
    tokio::time::sleep(DEPARTURE_DELAY).await;
    admin.stop(Duration::ZERO).await;
    let waited = shared.clock.now().since(started).as_millis();
    event(EventKind::DrainFinished, &[&waited]);
    Ok(())
}

/// Waits until no request is in progress and the outcome of each order has reached its replicas,
/// but at least for `DRAIN_MIN`.
async fn wait_until_drained(shared: &InstanceShared) {
    tokio::time::sleep(DRAIN_MIN).await;
    loop {
        shared.gate.drained().await;
        if shared.node().open_orders() == 0 {
            return;
        }
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

fn callers_listener(shared: &Arc<InstanceShared>) -> anyhow::Result<HttpListener> {
    let listener = bind(shared.settings.callers)?;
    let settings = &shared.settings.limits;
    let limits = ListenerLimits {
        connections: settings.connections,
        head: Duration::from_secs(settings.header_s.into()),
    };
    let context = CallerContext { shared: shared.clone() };
    Ok(HttpListener::start(listener, limits, move |request| {
        callers::serve(context.clone(), request)
    }))
}

fn admin_listener(shared: &Arc<InstanceShared>) -> anyhow::Result<HttpListener> {
    let listener = bind(shared.settings.admin)?;
    let shared = shared.clone();
    Ok(HttpListener::start(listener, ADMIN_LIMITS, move |request| {
        std::future::ready(admin::serve(&shared, &request))
    }))
}
