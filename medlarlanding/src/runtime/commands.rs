//! Sends the node's commands to engines and reports the results to the node.

use std::sync::Arc;

use crate::backends::engine;
use crate::instance::InstanceShared;
use crate::logging::event;
use medlarlanding_core::commands::{CommandEffect, CommandInput, CommandResult};
use medlarlanding_core::events::EventKind;
use medlarlanding_core::node::NodeInput;

/// Sends queued commands, each in a task of its own, until the process ends.
///
/// # Errors
///
/// Never fails; the return type is that of supervised children.
pub async fn run(shared: Arc<InstanceShared>) -> anyhow::Result<()> {
    let mut commands = shared.queues.commands.receiver().await;
    while let Some(command) = commands.recv().await {
        tokio::task::spawn_local(send_command(shared.clone(), command));
    }
    Ok(())
}

async fn send_command(shared: Arc<InstanceShared>, command: CommandEffect) {
    let CommandEffect::Send { server, fence, action, model } = command;
    let result = match shared.server_address(server) {
        Some(address) => engine::command(address, fence, action, &model).await,
        None => CommandResult::Failed,
    };
    let outcome = match &result {
        CommandResult::Done { .. } => "done",
        CommandResult::Fenced { .. } => "fenced",
        CommandResult::Failed => "failed",
    };
    let name = format!("{}@{}", model.model, model.version);
    event(
        EventKind::EngineCommanded,
        &[&shared.server_name(server), &action.as_str(), &name, &fence, &outcome],
    );
    let _ = shared.apply(NodeInput::Command(CommandInput::Finished { server, fence, result }));
}
