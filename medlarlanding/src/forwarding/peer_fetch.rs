//! Fetches a newer configuration, newer server entries and the evacuated zones from a peer over TCP.

use std::cell::Cell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::shared::SharedState;
use crate::exchange::{connect, tune_socket};
use crate::listener::accept;
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    ChangeSource, ColdReport, ConfigDelta, ConfigStep, EntryDelta, EvacuationTable, FetchEnd,
    PeerLag, StoreEra, StorePosition, ZoneDuty, ZoneKey,
};
use medlarlanding_core::value_type;

use anyhow::{Context, bail};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Largest frame in bytes; a configuration has at most 1 MB, a server entry about 65 bytes.
const FRAME_LIMIT: u32 = 8 << 20;
/// Largest frame in bytes of a request, which consists of a few numbers.
const REQUEST_FRAME_LIMIT: u32 = 64;
/// Number of peers that are served at the same time; a configuration of 1 MB takes 0.8 s on the
/// slowest link, 10 Mbit/s.
const SERVING_LIMIT: usize = 6;
/// Time limit of one fetch.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit of the first byte of an answer from a peer of the own zone, which any other peer can
/// replace: a relay may hang after it has announced a configuration.
const NEAR_ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Bytes that stand for the last fields of requests and answers, which those of earlier versions lack.
const MISSING_FIELDS: [u8; 8] = [0; 8];
/// Shortest pause between two checks for something to fetch.
const FETCH_PAUSE: Duration = Duration::from_millis(20);
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
        /// Availability zone of the sender; missing in requests of earlier versions.
        zone: ZoneKey,
        /// The sender has the text of `config_version` and can apply a difference.
        accepts_delta: bool,
        /// History of the store to which `servers_revision` belongs; unstated in requests of earlier
        /// versions.
        era: StoreEra,
    }
}

value_type! {
    /// Evacuated zones, and configuration and server entries, each only if newer than the requester's.
    struct FetchAnswer {
        /// Text of the configuration as stored; `None` if the requester's is not older, or if
        /// `config_delta` is present.
        config: Option<Vec<u8>>,
        /// Evacuated zones. Part of every answer, so that an instance with a configuration has them.
        evacuations: EvacuationTable,
        /// Server entries; `None` if the requester lacks none.
        servers: Option<EntryDelta>,
        /// Remaining cold times of servers, with the entries.
        cold: Vec<ColdReport>,
        /// Difference from the requester's configuration; missing in answers of earlier versions.
        config_delta: Option<ConfigDelta>,
        /// History of the store to which the evacuated zones and the entries belong; unstated in answers
        /// of earlier versions.
        era: StoreEra,
    }
}

/// Fetches a newer configuration and missed server entries from peers until the process ends.
pub async fn follow_peers(state: SharedState) -> anyhow::Result<()> {
    let mut lag = PeerLag::default();
    loop {
        let wait = fetch_if_behind(&state, &mut lag);
        let interval = state.peers.borrow().digest_interval();
        let pause = wait.map_or(interval, |wait| wait.min(interval)).max(FETCH_PAUSE);
        let wanted = async {
            tokio::time::sleep(FETCH_PAUSE).await;
            state.zone.fetch_wanted.notified().await;
        };
        if tokio::time::timeout(pause, wanted).await.is_ok() {
            let delay = {
                let (duty, draw) = (state.zone_duty(), state.draw());
                let peers = state.peers.borrow();
                state.zone.config_fetch.borrow().start_delay(&peers, duty, draw)
            };
            tokio::time::sleep(delay).await;
        }
    }
}

/// Starts a fetch from a peer if one has a newer configuration, or server entries that this instance
/// has lacked for a while. At most one fetch runs at a time. `lag` is kept between calls. Returns the time
/// to wait for a relay, if this instance waits for one.
fn fetch_if_behind(state: &SharedState, lag: &mut PeerLag<StorePosition>) -> Option<Duration> {
    let now = state.now();
    let duty = state.zone_duty();
    let (config_version, known) = (state.config_version(), state.store.view().entries_position());
    let (step, with_servers, is_near) = {
        let peers = state.peers.borrow();
        let behind = lag.update(now, known, peers.newest_servers(now));
        let lacks_servers = !known.is_known() || behind >= FETCH_DELAY;
        let mut config_fetch = state.zone.config_fetch.borrow_mut();
        let step = config_fetch.step(now, &peers, duty, config_version, state.draw());
        let with_servers = lacks_servers
            .then(|| peers.peer_with_newer_servers(now, known, state.draw()))
            .flatten();
        let is_near = |peer| peers.zone(peer) == peers.own_zone() && duty == ZoneDuty::Member;
        let near = |peer: Option<SocketAddr>| peer.is_some_and(is_near);
        let peer = match step {
            ConfigStep::Fetch(peer) => Some(peer),
            ConfigStep::Wait(_) | ConfigStep::UpToDate => with_servers,
        };
        (step, with_servers, near(peer))
    };
    let (peer, wait) = match step {
        ConfigStep::Fetch(peer) => (Some(peer), None),
        ConfigStep::Wait(wait) => (with_servers, Some(wait)),
        ConfigStep::UpToDate => (with_servers, None),
    };
    let Some(peer) = peer.or_else(|| state.peer_with_other_table(now)) else { return wait };
    if state.is_fetching.get() || now < state.fetch_after.get() {
        return wait;
    }
    lag.reset();
    state.begin_table_fetch();
    let zone = state.peers.borrow().own_zone();
    let accepts_delta = config_version > 0 && !state.zone.whole_config_wanted.get();
    let StorePosition { era, revision: servers_revision } = known;
    let request = FetchRequest { config_version, servers_revision, zone, accepts_delta, era };
    let answer_limit = if is_near { NEAR_ANSWER_TIMEOUT } else { FETCH_TIMEOUT };
    let state = Rc::clone(state);
    // A second fetch at the same time would only slow both down.
    state.is_fetching.set(true);
    tokio::task::spawn_local(async move {
        let fetching = fetch(&state, peer, &request, answer_limit);
        let (end, failure) = match tokio::time::timeout(FETCH_TIMEOUT, fetching).await {
            Ok(Ok(Some(answer))) => {
                apply_answer(&state, peer, answer);
                (FetchEnd::Answered, None)
            },
            Ok(Ok(None)) => (FetchEnd::Refused, Some("refused".to_owned())),
            Ok(Err(error)) => (FetchEnd::Failed, Some(format!("{error:#}"))),
            Err(_) => {
                let reason = format!("no answer within {} ms", FETCH_TIMEOUT.as_millis());
                (FetchEnd::Failed, Some(reason))
            },
        };
        state.zone.config_fetch.borrow_mut().record_end(peer, end);
        state.is_fetching.set(false);
        if let Some(reason) = failure {
            event(EventKind::PeerUnreachable, &[&peer, &reason]);
            let duty = state.zone_duty();
            let pause = state.zone.config_fetch.borrow().retry_pause(duty, end);
            let pause = pause.mul_f64(0.5 + state.draw());
            state.fetch_after.set(state.now() + pause);
            if duty != ZoneDuty::Unassigned {
                tokio::time::sleep(pause).await;
                state.zone.fetch_wanted.notify_one();
            }
        }
    });
    None
}

fn apply_answer(state: &SharedState, peer: SocketAddr, answer: FetchAnswer) {
    event(
        EventKind::PeerFetched,
        &[
            &peer,
            &(answer.config.is_some() || answer.config_delta.is_some()),
            &answer.servers.as_ref().map_or(0, |delta| delta.revision),
        ],
    );
    let is_current = state.observe_history(answer.era, ChangeSource::Peer);
    if is_current {
        state.merge_evacuations(&answer.evacuations);
    }
    if let Some(text) = answer.config {
        state.offer_config(&text, ChangeSource::Peer);
        state.zone.whole_config_wanted.set(false);
    }
    if let Some(delta) = answer.config_delta {
        apply_delta(state, peer, &delta);
    }
    let Some(delta) = answer.servers.filter(|_| is_current) else { return };
    if delta.revision <= state.store.view().entries().revision() {
        return;
    }
    if delta.is_snapshot {
        state.replace_servers(delta.revision, delta.changes, ChangeSource::Peer);
    } else {
        for change in delta.changes {
            state.change_server(change, delta.revision, ChangeSource::Peer);
        }
        state.store.view_mut().entries_mut().advance_with_changes(delta.revision);
    }
    state.apply_cold_reports(&answer.cold, Some(delta.revision));
}

/// Applies a difference to the text in force. If it does not fit, for example because the store changed the
/// text of a version, the next fetch asks for the whole text.
fn apply_delta(state: &SharedState, peer: SocketAddr, delta: &ConfigDelta) {
    let text =
        state.config().and_then(|in_force| delta.apply(str::from_utf8(&in_force.text).ok()?));
    match text {
        Some(text) => state.offer_config(text.as_bytes(), ChangeSource::Peer),
        None => {
            log::warn!("difference of the configuration from peer {peer} does not fit");
            state.zone.whole_config_wanted.set(true);
            state.zone.fetch_wanted.notify_one();
        },
    }
}

async fn fetch(
    state: &SharedState,
    peer: SocketAddr,
    request: &FetchRequest,
    answer_limit: Duration,
) -> anyhow::Result<Option<FetchAnswer>> {
    if state.peer_cut.drops(&peer) {
        bail!("cut off for a drill");
    }
    let mut stream =
        connect(peer, answer_limit).await.map_err(|_| anyhow::anyhow!("cannot connect"))?;
    let zone = state.peers.borrow().zone(peer);
    write_frame(state, &mut stream, request, zone).await?;
    let mut head = [0; 1];
    let length = tokio::time::timeout(answer_limit, stream.peek(&mut head))
        .await
        .with_context(|| format!("no answer within {} ms", answer_limit.as_millis()))?;
    // A peer that serves others closes the connection without reading the request.
    match length {
        Ok(1..) => Ok(Some(read_frame(state, &mut stream, FRAME_LIMIT).await?)),
        Ok(0) => Ok(None),
        Err(error) if error.kind() == ErrorKind::ConnectionReset => Ok(None),
        Err(error) => Err(error.into()),
    }
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
                write_frame(&state, &mut stream, &answer, request.zone).await
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
    let (servers, era) = {
        let view = state.store.view();
        let known =
            StorePosition { era: request.era.or(view.era()), revision: request.servers_revision };
        (view.entries_after(known), view.era())
    };
    let cold = if servers.is_some() { state.cold_reports() } else { Vec::new() };
    let config_delta = config.as_ref().filter(|_| request.accepts_delta).and_then(|in_force| {
        state.zone.config_history.borrow().delta_from(request.config_version, &in_force.text)
    });
    let config = config.filter(|_| config_delta.is_none()).map(|in_force| in_force.text.to_vec());
    let evacuations = state.evacuations();
    FetchAnswer { config, evacuations, servers, cold, config_delta, era }
}

async fn write_frame<T: Serialize>(
    state: &SharedState,
    stream: &mut TcpStream,
    value: &T,
    target_zone: ZoneKey,
) -> anyhow::Result<()> {
    let bytes = postcard::to_stdvec(value)?;
    let length = u32::try_from(bytes.len())
        .with_context(|| format!("frame of {} bytes is too long", bytes.len()))?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(&bytes).await?;
    count_bytes(state, "sent", bytes.len());
    if target_zone.is_apart(state.peers.borrow().own_zone()) {
        state.telemetry.zone_bytes.with_label_values(&["fetch"]).inc_by(bytes.len() as u64);
    }
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
    // Stands for the fields that frames of earlier versions lack; the decoder ignores it otherwise.
    bytes.extend(MISSING_FIELDS);
    Ok(postcard::from_bytes(&bytes)?)
}

fn count_bytes(state: &SharedState, direction: &'static str, length: usize) {
    let labels = ["fetch", direction];
    state.telemetry.control_bytes.with_label_values(&labels).inc_by(length as u64);
}
