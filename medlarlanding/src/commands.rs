//! Subcommands of the binary.

use std::fmt::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use crate::backends::connection::OutboundCall;
use crate::cli::{DumpOptions, ForwardOptions, ServeOptions};
use crate::exchange::ExchangeFault;
use crate::forwarding::{self, RoleOptions};
use crate::logging;
use crate::serve;
use crate::settings::InstanceSettings;
use medlarlanding_core::config::credential_digest;
use medlarlanding_core::handles::hex_text;

use anyhow::Context;
use hyper::Method;
use rand::RngCore;
use serde_json::Value;
use tokio::task::LocalSet;

/// Maximum time to send the request for a dump, and again to receive the dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a dump in bytes.
const DUMP_LIMIT: usize = 256 << 20;

/// Runs an instance.
///
/// # Errors
///
/// Fails on faulty settings or when the instance ends abnormally.
pub fn serve(options: &ServeOptions) -> anyhow::Result<ExitCode> {
    let settings = InstanceSettings::load(&options.settings)?;
    let log = settings.log_options().map_err(anyhow::Error::msg)?;
    logging::install(&log, &settings.instance)?;
    serve::run(settings)?;
    Ok(ExitCode::SUCCESS)
}

/// Runs the forwarding role, which serves callers of the Nile Fossil platform.
///
/// # Errors
///
/// Fails on faulty settings or when the role ends abnormally.
pub fn forward(options: &ForwardOptions) -> anyhow::Result<ExitCode> {
    forwarding::run(RoleOptions {
        metrics_port: options.metrics_port,
        drill_cut: options.drill_cut.clone(),
    })?;
    Ok(ExitCode::SUCCESS)
}

/// Prints the state of a running instance, or the time line of one request.
///
/// # Errors
///
/// Fails if no complete answer is received or the answer is not JSON.
pub fn dump(options: &DumpOptions) -> anyhow::Result<ExitCode> {
    let path = match &options.request {
        Some(request) => format!("/dump?request={request}"),
        None => "/dump".to_owned(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let dump = LocalSet::new().block_on(&runtime, fetch_dump(options.admin, path))?;
    match &options.request {
        Some(_) => print_time_line(&dump),
        None => println!("{}", serde_json::to_string_pretty(&dump)?),
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints the steps of a request as a time line, then the decisions of admission on it.
fn print_time_line(dump: &Value) {
    let steps = dump["steps"].as_array().map_or(&[][..], Vec::as_slice);
    if steps.is_empty() {
        println!("this instance has recorded no steps of this request, or no longer has them");
    }
    let start = steps.first().and_then(|step| step["at_ms"].as_u64()).unwrap_or(0);
    for step in steps {
        let offset = step["at_ms"].as_u64().unwrap_or(start) - start;
        let name = step["step"].as_str().unwrap_or_default();
        let mut line = format!("+{offset:>7} ms  {name}");
        for (field, value) in step.as_object().into_iter().flatten() {
            if !matches!(field.as_str(), "at_ms" | "request" | "step") {
                let _ = write!(line, " {field}={value}");
            }
        }
        println!("{line}");
    }
    for key in ["decisions", "open"] {
        for decision in dump[key].as_array().into_iter().flatten() {
            println!("admission {key}: {decision}");
        }
    }
}

async fn fetch_dump(admin: SocketAddr, path: String) -> anyhow::Result<Value> {
    let failed =
        |fault: ExchangeFault| anyhow::anyhow!("{admin}: cannot fetch the dump: {}", fault.name());
    let call = OutboundCall::new(Method::GET, &path);
    let answer = call.send(admin, DUMP_TIMEOUT).await.map_err(failed)?;
    let body = answer.collect(DUMP_LIMIT, DUMP_TIMEOUT).await.map_err(failed)?;
    serde_json::from_slice(&body)
        .with_context(|| format!("{admin}: the answer to the dump request is not JSON"))
}

/// Prints a new random credential and its digest.
///
/// # Errors
///
/// Never fails.
pub fn credential() -> anyhow::Result<ExitCode> {
    let mut bytes = [0u8; 32];
    rand::rng().fill_bytes(&mut bytes);
    let credential = hex_text(&bytes);
    println!("credential: {credential}");
    println!("credential_digest: {}", hex_text(&credential_digest(&credential)));
    Ok(ExitCode::SUCCESS)
}

/// Prints the version.
///
/// # Errors
///
/// Never fails.
pub fn version() -> anyhow::Result<ExitCode> {
    println!("medlarlanding {}", env!("CARGO_PKG_VERSION"));
    Ok(ExitCode::SUCCESS)
}
