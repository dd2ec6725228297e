//! Supervisor tree: named children that are restarted when they fail.

use std::future::Future;
use std::pin::Pin;
use std::time::{Duration, Instant};

use crate::logging::event;
use medlarlanding_core::events::EventKind;

use tokio::sync::watch;

/// A child's work. Ends with `Ok` when it is done, with `Err` when it failed.
pub type ChildFuture = Pin<Box<dyn Future<Output = anyhow::Result<()>>>>;

/// Limits restarts, so that a child that fails at once cannot spin.
#[derive(Clone, Copy, Debug)]
pub struct RestartParams {
    /// Restarts allowed within `window`.
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
/// When a child exceeds its restart limit the supervisor reports it as given up, which ends
/// the process: the platform replaces the instance.
pub struct ChildSupervisor {
    params: RestartParams,
    given_up: watch::Sender<Option<&'static str>>,
}

impl ChildSupervisor {
    /// Creates a supervisor.
    pub fn new(params: RestartParams) -> Self {
        Self { params, given_up: watch::channel(None).0 }
    }

    /// Gets a channel that carries the name of the child that was given up.
    pub fn given_up(&self) -> watch::Receiver<Option<&'static str>> {
        self.given_up.subscribe()
    }

    /// Starts a child on the current thread. `start` is called again for each restart.
    pub fn spawn(&self, name: &'static str, mut start: impl FnMut() -> ChildFuture + 'static) {
        let params = self.params;
        let given_up = self.given_up.clone();
        tokio::task::spawn_local(async move {
            let mut restarts: Vec<Instant> = Vec::new();
            while let Err(error) = start().await {
                let now = Instant::now();
                restarts.retain(|&at| now.duration_since(at) < params.window);
                if restarts.len() >= params.limit {
                    event(EventKind::ChildGivenUp, &[&name, &format!("{error:#}")]);
                    given_up.send_replace(Some(name));
                    return;
                }
                restarts.push(now);
                event(EventKind::ChildRestarted, &[&name, &format!("{error:#}"), &restarts.len()]);
                tokio::time::sleep(params.delay).await;
            }
        });
    }
}
