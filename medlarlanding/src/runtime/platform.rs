//! Performs the node's calls on the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::links::PlatformCommand;
use crate::instance::InstanceShared;
use crate::platform::{WatchParams, read_instances, read_value};
use medlarlanding_core::distribution::{PlatformAnswer, Subject};
use medlarlanding_core::node::NodeInput;

use indexmap::IndexMap;
use tokio::task::JoinHandle;

/// Name of the configuration tree at the configuration service.
pub const TREE_NAME: &str = "tree";

/// Performs calls until the process ends.
///
/// # Errors
///
/// Fails if the HTTP client cannot be built.
pub async fn run(shared: Arc<InstanceShared>) -> anyhow::Result<()> {
    let mut pending: IndexMap<Subject, JoinHandle<()>> = IndexMap::new();
    let mut commands = shared.links.platform.receiver().await;
    let mut turn = 0;
    while let Some(command) = commands.recv().await {
        let subject = match command {
            PlatformCommand::Watch { subject, .. } | PlatformCommand::Stop(subject) => subject,
        };
        if let Some(task) = pending.swap_remove(&subject) {
            task.abort();
        }
        if let PlatformCommand::Watch { call, after, wait, .. } = command {
            let addresses = &shared.settings.platform;
            // Each call uses the next address, so a dead one costs at most one call in a row.
            let address = addresses.get(turn % addresses.len().max(1)).copied();
            turn += 1;
            let watch = (after > 0).then_some(WatchParams { after, wait });
            let shared = shared.clone();
            let task = tokio::task::spawn_local(async move {
                let answer = answer(address, subject, watch).await;
                let _ = shared.apply(NodeInput::Platform { subject, call, answer });
            });
            pending.insert(subject, task);
        }
    }
    Ok(())
}

async fn answer(
    address: Option<SocketAddr>,
    subject: Subject,
    watch: Option<WatchParams>,
) -> PlatformAnswer {
    let answer = match address {
        Some(address) => read(address, subject, watch).await,
        None => {
            // Without a platform the node lives from its peers; the pause bounds its retries.
            tokio::time::sleep(watch.map_or(Duration::from_secs(1), |watch| watch.wait)).await;
            Err("no platform address in the settings".to_owned())
        },
    };
    answer.unwrap_or_else(|reason| PlatformAnswer::Unreachable { reason })
}

async fn read(
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
