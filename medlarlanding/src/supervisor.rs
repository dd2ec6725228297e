//! Supervisor of named child tasks, which are restarted when they fail.

use std::future::Future;
use std::pin::Pin;
use std::time::{Duration, Instant};

use crate::logging::event;
use medlarlanding_core::events::EventKind;

use tokio::sync::watch;

/// Future of one run of a child. A child that returns `Err` is restarted; one that returns `Ok` is
/// not.
pub type ChildFuture = Pin<Box<dyn Future<Output = anyhow::Result<()>>>>;

/// Limits of restarts, so that a child that fails immediately is not restarted in a busy loop.
#[derive(Clone, Copy, Debug)]
pub struct RestartParams {
    /// Maximum number of restarts of one child within `window`.
    pub limit: usize,
    /// Period over which restarts are counted.
    pub window: Duration,
    /// Delay before a restart.
    pub delay: Duration,
}

impl Default for RestartParams {
    fn default() -> Self {
        Self { limit: 10, window: Duration::from_secs(60), delay: Duration::from_millis(100) }
    }
}

/// Starts children and restarts those that fail.
///
/// A child that exceeds its restart limit is not restarted any more. The supervisor reports it
/// through [`ChildSupervisor::failed_child`]; the process then ends, and the platform replaces the
/// instance.
pub struct ChildSupervisor {
    params: RestartParams,
    failed_child: watch::Sender<Option<&'static str>>,
}

impl ChildSupervisor {
    /// Creates a supervisor without children.
    pub fn new(params: RestartParams) -> Self {
        Self { params, failed_child: watch::channel(None).0 }
    }

    /// Gets a channel that receives the name of a child that exceeded its restart limit.
    pub fn failed_child(&self) -> watch::Receiver<Option<&'static str>> {
        self.failed_child.subscribe()
    }

    /// Starts a child on the current thread. `start` is called again for each restart.
    pub fn spawn(&self, name: &'static str, mut start: impl FnMut() -> ChildFuture + 'static) {
        let params = self.params;
        let failed_child = self.failed_child.clone();
        tokio::task::spawn_local(async move {
            let mut restarts: Vec<Instant> = Vec::new();
            while let Err(error) = start().await {
                let now = Instant::now();
                restarts.retain(|&at| now.duration_since(at) < params.window);
                if restarts.len() >= params.limit {
                    event(EventKind::ChildGivenUp, &[&name, &format!("{error:#}")]);
                    failed_child.send_replace(Some(name));
                    return;
                }
                restarts.push(now);
                event(EventKind::ChildRestarted, &[&name, &format!("{error:#}"), &restarts.len()]);
                tokio::time::sleep(params.delay).await;
            }
        });
    }
}
