//! Fetches a newer configuration, newer server entries and the evacuated zones from a peer over TCP.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::shared::SharedState;
use crate::exchange::{connect, tune_socket};
use crate::listener::accept;
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    ChangeSource, ColdReport, EntryDelta, EvacuationTable, PeerLag,
};
use medlarlanding_core::value_type;

use anyhow::{Context, bail};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Largest frame in bytes; a configuration has at most 1 MB, a server entry about 65 bytes.
const FRAME_LIMIT: u32 = 8 << 20;
/// Largest frame in bytes of a request, which consists of two numbers.
const REQUEST_FRAME_LIMIT: u32 = 64;
/// Number of peers that are served at the same time; a configuration of 1 MB takes 0.8 s on the
/// slowest link, 10 Mbit/s.
const SERVING_LIMIT: usize = 6;
/// Time limit of one fetch.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Mean pause after a failed fetch; the actual one is random, from 0.5 to 1.5 times this. A busy
/// peer refuses fetches, and a configuration must be in force 2 s after its confirmation.
const FETCH_RETRY: Duration = Duration::from_millis(200);
/// How long an instance that knows earlier server entries waits for a change that a peer has before it
/// fetches it: usually the change is on its way.
const FETCH_DELAY: Duration = Duration::from_millis(300);

value_type! {
    /// Asks a peer for a newer configuration and newer server entries than the sender has.
    struct FetchRequest {
        /// Version of the configuration in force at the sender.
        config_version: u64,
        /// Store revision up to which the sender knows the server entries.
        servers_revision: u64,
    }
}

value_type! {
    /// Evacuated zones, and configuration and server entries, each only if newer than the requester's.
    struct FetchAnswer {
        /// Text of the configuration as stored; `None` if the requester's is not older.
        config: Option<Vec<u8>>,
        /// Evacuated zones. Part of every answer, so that an instance with a configuration has them.
        evacuations: EvacuationTable,
        /// Server entries; `None` if the requester lacks none.
        servers: Option<EntryDelta>,
        /// Remaining cold times of servers, with the entries.
        cold: Vec<ColdReport>,
    }
}

/// Starts a fetch from a peer if one has a newer configuration, or server entries or evacuated zones that
/// this instance has lacked for a while. At most one fetch runs at a time. `lag` is kept between calls.
pub fn fetch_if_behind(state: &SharedState, lag: &mut PeerLag) {
    let now = state.now();
    let (config_version, servers_revision) =
        (state.config_version(), state.entries.borrow().revision());
    let ahead = {
        let peers = state.peers.borrow();
        let behind = lag.update(now, servers_revision, peers.newest_servers_revision(now));
        let lacks_servers = servers_revision == 0 || behind >= FETCH_DELAY;
        let with_config = peers.peer_with_newer_config(now, config_version, state.draw());
        let with_servers = || peers.peer_with_newer_servers(now, servers_revision, state.draw());
        with_config.or_else(|| lacks_servers.then(with_servers).flatten())
    };
    let with_other_table = state.peer_with_other_table(now);
    let Some(peer) = ahead.or(with_other_table) else { return };
    if state.is_fetching.get() || now < state.fetch_after.get() {
        return;
    }
    lag.reset();
    state.begin_table_fetch();
    let request = FetchRequest { config_version, servers_revision };
    let state = Rc::clone(state);
    // A second fetch at the same time would only slow both down.
    state.is_fetching.set(true);
    tokio::task::spawn_local(async move {
        let failure = match tokio::time::timeout(FETCH_TIMEOUT, fetch(&state, peer, &request)).await
        {
            Ok(Ok(answer)) => {
                apply_answer(&state, peer, answer);
                None
            },
            Ok(Err(error)) => Some(format!("{error:#}")),
            Err(_) => Some(format!("no answer within {} ms", FETCH_TIMEOUT.as_millis())),
        };
        if let Some(reason) = failure {
            event(EventKind::PeerUnreachable, &[&peer, &reason]);
            let pause = FETCH_RETRY.mul_f64(0.5 + state.draw());
            state.fetch_after.set(state.now() + pause);
        }
        state.is_fetching.set(false);
    });
}

fn apply_answer(state: &SharedState, peer: SocketAddr, answer: FetchAnswer) {
    event(
        EventKind::PeerFetched,
        &[
            &peer,
            &answer.config.is_some(),
            &answer.servers.as_ref().map_or(0, |delta| delta.revision),
        ],
    );
    state.merge_evacuations(&answer.evacuations);
    if let Some(text) = answer.config {
        state.offer_config(&text, ChangeSource::Peer);
    }
    let Some(delta) = answer.servers else { return };
    if delta.revision <= state.entries.borrow().revision() {
        return;
    }
    if delta.is_snapshot {
        state.replace_servers(delta.revision, delta.changes, ChangeSource::Peer);
    } else {
        for change in delta.changes {
            state.change_server(change, delta.revision, ChangeSource::Peer);
        }
        state.entries.borrow_mut().advance_with_changes(delta.revision);
    }
    state.apply_cold_reports(&answer.cold, Some(delta.revision));
}

async fn fetch(
    state: &SharedState,
    peer: SocketAddr,
    request: &FetchRequest,
) -> anyhow::Result<FetchAnswer> {
    if state.peer_cut.drops(&peer) {
        bail!("cut off for a drill");
    }
    let mut stream =
        connect(peer, FETCH_TIMEOUT).await.map_err(|_| anyhow::anyhow!("cannot connect"))?;
    write_frame(state, &mut stream, request).await?;
    read_frame(state, &mut stream, FRAME_LIMIT).await
}

/// Serves fetches of peers.
pub async fn serve_fetches(listener: TcpListener, state: SharedState) -> anyhow::Result<()> {
    let serving = Rc::new(Cell::new(0));
    loop {
        let (mut stream, peer) = accept(&listener).await;
        if serving.get() >= SERVING_LIMIT {
            // The peer fetches from another instance instead; with each fetch, more instances have
            // the newest state.
            continue;
        }
        serving.set(serving.get() + 1);
        let (state, count) = (Rc::clone(&state), Rc::clone(&serving));
        tokio::task::spawn_local(async move {
            tune_socket(&stream);
            let serving = async {
                let request: FetchRequest =
                    read_frame(&state, &mut stream, REQUEST_FRAME_LIMIT).await?;
                let answer = answer_fetch(&state, &request);
                write_frame(&state, &mut stream, &answer).await
            };
            match tokio::time::timeout(FETCH_TIMEOUT, serving).await {
                Ok(Ok(())) => {},
                Ok(Err(error)) => log::debug!("cannot serve the fetch of peer {peer}: {error:#}"),
                Err(_) => log::debug!(
                    "fetch of peer {peer} did not finish within {} ms",
                    FETCH_TIMEOUT.as_millis()
                ),
            }
            count.set(count.get() - 1);
        });
    }
}

fn answer_fetch(state: &SharedState, request: &FetchRequest) -> FetchAnswer {
    let config = state.config().filter(|in_force| in_force.config.version > request.config_version);
    let servers = state.entries.borrow().delta_since(request.servers_revision);
    let cold = if servers.is_some() { state.cold_reports() } else { Vec::new() };
    FetchAnswer {
        config: config.map(|in_force| in_force.text.to_vec()),
        evacuations: state.evacuations(),
        servers,
        cold,
    }
}

async fn write_frame<T: Serialize>(
    state: &SharedState,
    stream: &mut TcpStream,
    value: &T,
) -> anyhow::Result<()> {
    let bytes = postcard::to_stdvec(value)?;
    let length = u32::try_from(bytes.len())
        .with_context(|| format!("frame of {} bytes is too long", bytes.len()))?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(&bytes).await?;
    count_bytes(state, "sent", bytes.len());
    Ok(())
}

async fn read_frame<T: DeserializeOwned>(
    state: &SharedState,
    stream: &mut TcpStream,
    limit: u32,
) -> anyhow::Result<T> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length);
    if length > limit {
        bail!("frame of {length} bytes exceeds the limit of {limit} bytes");
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    count_bytes(state, "received", bytes.len());
    Ok(postcard::from_bytes(&bytes)?)
}

fn count_bytes(state: &SharedState, direction: &'static str, length: usize) {
    let labels = ["fetch", direction];
    state.telemetry.control_bytes.with_label_values(&labels).inc_by(length as u64);
}
