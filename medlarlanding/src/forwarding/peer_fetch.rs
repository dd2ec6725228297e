//! Texts that an instance lacks, fetched from a peer over TCP.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::shared::{ChangeSource, SharedState};
use crate::exchange::{connect, tune_socket};
use crate::listener::accept;
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::EntryDelta;
use medlarlanding_core::time::Timestamp;
use medlarlanding_core::value_type;

use anyhow::{Context, bail};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Largest frame: a configuration has at most 1 MB, entries of servers take about 65 bytes each.
const FRAME_LIMIT: u32 = 8 << 20;
/// Peers that are answered at the same time: a configuration of 1 MB takes 0.8 s on the weakest
/// link of 10 Mbit/s.
const SERVING_LIMIT: usize = 6;
/// Time limit for fetching from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed fetch, drawn between half of it and half as much again: a busy peer
/// turns fetches away, and a configuration must be in force 2 s after its confirmation.
const FETCH_RETRY: Duration = Duration::from_millis(200);
/// A peer may be ahead for this long before it is asked: the store's own answer is usually on
/// its way.
const FETCH_DELAY: Duration = Duration::from_millis(300);
/// The same for a configuration, which only hubs read from the store: it is asked for at once.
const CONFIG_FETCH_DELAY: Duration = Duration::ZERO;

value_type! {
    /// Asks a peer for what is newer than what the sender knows.
    struct FetchRequest {
        /// Version of the configuration in force at the sender.
        config_version: u64,
        /// Revision up to which the sender knows the servers.
        servers_revision: u64,
    }
}

value_type! {
    /// Text of a configuration and entries of servers, each only if it is newer.
    struct FetchAnswer {
        /// The configuration as the operator wrote it.
        config: Option<Vec<u8>>,
        /// Server entries.
        servers: Option<EntryDelta>,
    }
}

/// Asks a peer that is ahead for what this instance lacks.
pub async fn fetch_if_behind(state: &SharedState, behind_since: &mut Option<Timestamp>) {
    let now = state.now();
    let (config_version, servers_revision) =
        (state.config_version(), state.entries.borrow().revision());
    let (ahead, delay) = {
        let peers = state.peers.borrow();
        match peers.peer_with_newer_config(now, config_version, state.draw()) {
            Some(peer) => (Some(peer), CONFIG_FETCH_DELAY),
            None => {
                (peers.peer_with_newer_servers(now, servers_revision, state.draw()), FETCH_DELAY)
            },
        }
    };
    let Some(peer) = ahead else {
        *behind_since = None;
        return;
    };
    let is_due = now.since(*behind_since.get_or_insert(now)) >= delay;
    if !is_due || state.is_fetching.get() || now < state.fetch_after.get() {
        return;
    }
    *behind_since = None;
    let request = FetchRequest { config_version, servers_revision };
    let state = Rc::clone(state);
    // A second fetch beside a slow one would only slow both down.
    state.is_fetching.set(true);
    tokio::task::spawn_local(async move {
        let failure = match tokio::time::timeout(FETCH_TIMEOUT, fetch(peer, &request)).await {
            Ok(Ok(answer)) => {
                apply_answer(&state, peer, answer);
                None
            },
            Ok(Err(error)) => Some(format!("{error:#}")),
            Err(_) => Some("no answer in time".to_owned()),
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
}

async fn fetch(peer: SocketAddr, request: &FetchRequest) -> anyhow::Result<FetchAnswer> {
    let mut stream =
        connect(peer, FETCH_TIMEOUT).await.map_err(|_| anyhow::anyhow!("no connection"))?;
    write_frame(&mut stream, request).await?;
    read_frame(&mut stream).await
}

/// Answers peers that fetch.
pub async fn serve_fetches(listener: TcpListener, state: SharedState) -> anyhow::Result<()> {
    let serving = Rc::new(Cell::new(0));
    loop {
        let (mut stream, peer) = accept(&listener).await;
        if serving.get() >= SERVING_LIMIT {
            // The peer asks another instance; more of them hold the newest state each time.
            continue;
        }
        serving.set(serving.get() + 1);
        let (state, count) = (Rc::clone(&state), Rc::clone(&serving));
        tokio::task::spawn_local(async move {
            tune_socket(&stream);
            let serving = async {
                let request: FetchRequest = read_frame(&mut stream).await?;
                let answer = answer_fetch(&state, &request);
                write_frame(&mut stream, &answer).await
            };
            match tokio::time::timeout(FETCH_TIMEOUT, serving).await {
                Ok(Ok(())) => {},
                Ok(Err(error)) => log::debug!("fetch of {peer}: {error:#}"),
                Err(_) => log::debug!("fetch of {peer}: too slow"),
            }
            count.set(count.get() - 1);
        });
    }
}

fn answer_fetch(state: &SharedState, request: &FetchRequest) -> FetchAnswer {
    let config = state.config().filter(|in_force| in_force.config.version > request.config_version);
    let servers = state.entries.borrow().delta_since(request.servers_revision);
    FetchAnswer { config: config.map(|in_force| in_force.text.to_vec()), servers }
}

async fn write_frame<T: Serialize>(stream: &mut TcpStream, value: &T) -> anyhow::Result<()> {
    let bytes = postcard::to_stdvec(value)?;
    let length = u32::try_from(bytes.len()).context("frame is too long")?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(&bytes).await?;
    Ok(())
}

async fn read_frame<T: DeserializeOwned>(stream: &mut TcpStream) -> anyhow::Result<T> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length);
    if length > FRAME_LIMIT {
        bail!("frame of {length} bytes exceeds the limit");
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    Ok(postcard::from_bytes(&bytes)?)
}
