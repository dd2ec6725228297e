//! HTTP client of the platform, which serves configuration values and the instance list.

use std::net::SocketAddr;
use std::time::Duration;

use crate::backends::connection::OutboundCall;
use medlarlanding_core::ids::{InstanceId, ZoneId};
use medlarlanding_core::views::{InstanceEntry, InstanceList, InstanceState, ListVersion};

use hyper::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// Maximum size of an answer in bytes: a value of 1 MiB, escaped as JSON, and the other fields.
const ANSWER_LIMIT: usize = 3 << 20;
/// Maximum time for an answer, in addition to the waiting time of a watch.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A value of the configuration service.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformValue {
    /// Revision of the value.
    pub revision: u64,
    /// Content of the value.
    pub value: String,
}

#[derive(Deserialize)]
struct PublishedList {
    revision: u64,
    instances: Vec<PublishedEntry>,
}

#[derive(Deserialize)]
struct PublishedEntry {
    name: String,
    zone: String,
    state: PublishedState,
    udp: SocketAddr,
    tcp: SocketAddr,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum PublishedState {
    Live,
    Leaving,
}

/// Parameters of a watch, which is answered when the revision exceeds `after` or `wait` has passed.
#[derive(Clone, Copy, Debug)]
pub struct WatchParams {
    /// Revision that the client already has.
    pub after: u64,
    /// Maximum time that the platform waits before it answers.
    pub wait: Duration,
}

/// Reads a value at once, or with a watch waits for a newer revision.
///
/// # Errors
///
/// Returns the reason if no valid answer was received.
pub async fn read_value(
    address: SocketAddr,
    name: &str,
    watch: Option<WatchParams>,
) -> Result<PlatformValue, String> {
    get(address, &format!("/v1/values/{name}"), watch).await
}

/// Reads the instance list at once, or with a watch waits for a newer revision.
///
/// # Errors
///
/// Returns the reason if no valid answer was received.
pub async fn read_instances(
    address: SocketAddr,
    watch: Option<WatchParams>,
) -> Result<InstanceList, String> {
    let list: PublishedList = get(address, "/v1/instances", watch).await?;
    let entries = list
        .instances
        .into_iter()
        .map(|entry| InstanceEntry {
            id: InstanceId::from_name(&entry.name),
            zone: ZoneId::from_name(&entry.zone),
            name: entry.name,
            state: match entry.state {
                PublishedState::Live => InstanceState::Live,
                PublishedState::Leaving => InstanceState::Leaving,
            },
            udp: entry.udp,
            tcp: entry.tcp,
        })
        .collect();
    Ok(InstanceList { version: ListVersion(list.revision), entries })
}

async fn get<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    watch: Option<WatchParams>,
) -> Result<T, String> {
    let (path, timeout) = match watch {
        Some(watch) => (
            format!("{path}?after={}&wait_ms={}", watch.after, watch.wait.as_millis()),
            watch.wait + ANSWER_TIMEOUT,
        ),
        None => (path.to_owned(), ANSWER_TIMEOUT),
    };
    let call = OutboundCall::new(Method::GET, &path);
    let answer = call.send(address, timeout).await.map_err(|fault| fault.name().to_owned())?;
    let status = answer.status;
    if !status.is_success() {
        return Err(format!("the platform answered with status {}", status.as_u16()));
    }
    let body = answer
        .collect(ANSWER_LIMIT, ANSWER_TIMEOUT)
        .await
        .map_err(|fault| fault.name().to_owned())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
