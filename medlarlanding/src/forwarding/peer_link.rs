//! Traffic between instances: digests over UDP, texts that a peer lacks over TCP.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::exchange::{connect, tune_socket};
use super::shared::{ChangeSource, SharedState};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{PeerDigest, PeerTableParams};
use medlarlanding_core::value_type;

use anyhow::{Context, bail};
use indexmap::IndexMap;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Largest datagram; digests of an instance with 50 busy servers take about 900 bytes.
const DATAGRAM_LIMIT: usize = 4096;
/// Largest frame: a configuration has at most 1 MB, servers take about 250 bytes each.
const FRAME_LIMIT: u32 = 8 << 20;
/// Time limit for fetching from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// A peer may be ahead for this long before it is asked: the store's own answer is usually on
/// its way.
const FETCH_DELAY: Duration = Duration::from_millis(200);

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
        /// Revision and entries as the servers wrote them.
        servers: Option<(u64, Vec<(String, Vec<u8>)>)>,
    }
}

/// Sends digests periodically and reads those of peers.
pub async fn run_digests(socket: Rc<UdpSocket>, state: SharedState) -> anyhow::Result<()> {
    let params = PeerTableParams::default();
    let mut sequence = 0u64;
    let mut behind_since = None;
    let mut interval = tokio::time::interval(params.interval);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    loop {
        tokio::select! {
            _ = interval.tick() => {
                sequence += 1;
                send_digests(&socket, &state, sequence).await;
                fetch_if_behind(&state, &mut behind_since).await;
            },
            received = socket.recv_from(&mut buffer) => {
                // Errors report earlier datagrams that reached no listener.
                let Ok((length, source)) = received else { continue };
                match postcard::from_bytes::<PeerDigest>(&buffer[..length]) {
                    Ok(digest) if digest.sender == source => {
                        state.peers.borrow_mut().receive(state.now(), digest);
                    },
                    Ok(_) | Err(_) => state.telemetry.dropped_datagrams.inc(),
                }
            },
        }
    }
}

async fn send_digests(socket: &UdpSocket, state: &SharedState, sequence: u64) {
    let now = state.now();
    let targets = state.peers.borrow_mut().targets(now);
    let digest = PeerDigest {
        sender: state.settings.peers,
        boot: state.boot,
        sequence,
        config_version: state.config_version(),
        servers_revision: state.raw_servers.borrow().revision,
        peers: state.peers.borrow().sample(now, sequence as usize),
        loads: state.own_loads(),
    };
    let bytes = match postcard::to_stdvec(&digest) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::warn!("a digest was not sent: {error}");
            return;
        },
    };
    for target in targets {
        // A peer that cannot be reached now may be reached at the next period.
        if let Err(error) = socket.send_to(&bytes, target).await {
            log::debug!("no digest to {target}: {error}");
        }
    }
}

async fn fetch_if_behind(
    state: &SharedState,
    behind_since: &mut Option<medlarlanding_core::time::Timestamp>,
) {
    let now = state.now();
    let (config_version, servers_revision) =
        (state.config_version(), state.raw_servers.borrow().revision);
    let ahead = {
        let peers = state.peers.borrow();
        peers
            .ahead_of_config(now, config_version)
            .or_else(|| peers.ahead_of_servers(now, servers_revision))
    };
    let Some((peer, _)) = ahead else {
        *behind_since = None;
        return;
    };
    if now.since(*behind_since.get_or_insert(now)) < FETCH_DELAY {
        return;
    }
    *behind_since = None;
    let request = FetchRequest { config_version, servers_revision };
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        match tokio::time::timeout(FETCH_TIMEOUT, fetch(peer, &request)).await {
            Ok(Ok(answer)) => apply_answer(&state, peer, answer),
            Ok(Err(error)) => {
                event(EventKind::PeerUnreachable, &[&peer, &format!("{error:#}")]);
            },
            Err(_) => event(EventKind::PeerUnreachable, &[&peer, &"no answer in time"]),
        }
    });
}

fn apply_answer(state: &SharedState, peer: SocketAddr, answer: FetchAnswer) {
    event(EventKind::PeerFetched, &[
        &peer,
        &answer.config.is_some(),
        &answer.servers.as_ref().map_or(0, |(revision, _)| *revision),
    ]);
    if let Some(text) = answer.config {
        state.offer_config(&text, ChangeSource::Peer);
    }
    if let Some((revision, entries)) = answer.servers
        && revision > state.raw_servers.borrow().revision
    {
        let values: IndexMap<String, Vec<u8>> = entries.into_iter().collect();
        state.replace_servers(revision, values, ChangeSource::Peer);
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
    loop {
        let Ok((mut stream, peer)) = listener.accept().await else { continue };
        let state = Rc::clone(&state);
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
        });
    }
}

fn answer_fetch(state: &SharedState, request: &FetchRequest) -> FetchAnswer {
    let config = state.config().filter(|in_force| in_force.config.version > request.config_version);
    let raw = state.raw_servers.borrow();
    let servers = (raw.revision > request.servers_revision).then(|| {
        let entries = raw.values.iter().map(|(id, value)| (id.clone(), value.clone()));
        (raw.revision, entries.collect())
    });
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
