//! Performs the node's calls to the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::queues::PlatformCommand;
use crate::instance::InstanceShared;
use crate::platform::{WatchParams, read_instances, read_value};
use medlarlanding_core::distribution::{PlatformAnswer, Subject};
use medlarlanding_core::node::NodeInput;

use indexmap::IndexMap;
use tokio::task::JoinHandle;

/// Name under which the configuration service holds the configuration tree.
pub const TREE_NAME: &str = "tree";

/// Performs queued calls until the process ends. At most one call per subject is pending.
///
/// # Errors
///
/// Never fails; the return type is that of supervised children.
pub async fn run(shared: Arc<InstanceShared>) -> anyhow::Result<()> {
    let mut pending: IndexMap<Subject, JoinHandle<()>> = IndexMap::new();
    let mut commands = shared.queues.platform.receiver().await;
    let mut started_calls = 0;
    while let Some(command) = commands.recv().await {
        let subject = match command {
            PlatformCommand::Watch { subject, .. } | PlatformCommand::Stop(subject) => subject,
        };
        if let Some(task) = pending.swap_remove(&subject) {
            task.abort();
        }
        if let PlatformCommand::Watch { call, after, wait, .. } = command {
            let addresses = &shared.settings.platform;
            // The addresses are used in turn, so that the call after one to an unreachable
            // address goes to another.
            let address = addresses.get(started_calls % addresses.len().max(1)).copied();
            started_calls += 1;
            let watch = (after > 0).then_some(WatchParams { after, wait });
            let shared = shared.clone();
            let task = tokio::task::spawn_local(async move {
                let answer = call_platform(address, subject, watch).await;
                let _ = shared.apply(NodeInput::Platform { subject, call, answer });
            });
            pending.insert(subject, task);
        }
    }
    Ok(())
}

async fn call_platform(
    address: Option<SocketAddr>,
    subject: Subject,
    watch: Option<WatchParams>,
) -> PlatformAnswer {
    let answer = match address {
        Some(address) => read_subject(address, subject, watch).await,
        None => {
            // Without a platform address the node gets its configuration and list from peers.
            // The node repeats failed calls; the delay limits the rate of these repetitions.
            tokio::time::sleep(watch.map_or(Duration::from_secs(1), |watch| watch.wait)).await;
            Err("the settings name no platform address".to_owned())
        },
    };
    answer.unwrap_or_else(|reason| PlatformAnswer::Unreachable { reason })
}

async fn read_subject(
    address: SocketAddr,
    subject: Subject,
    watch: Option<WatchParams>,
) -> Result<PlatformAnswer, String> {
    match subject {
        Subject::Config => {
            let value = read_value(address, TREE_NAME, watch).await?;
            Ok(PlatformAnswer::Config { revision: value.revision, text: value.value.into() })
        },
        Subject::List => {
            let list = read_instances(address, watch).await?;
            Ok(PlatformAnswer::List(Arc::new(list)))
        },
    }
}
