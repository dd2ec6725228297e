//! Asks engines whether they are leaving while the store cannot be reached.
//!
//! Load pattern: engines are taken away with 1.5 s of notice even while the store is down, and the
//! notice is then available only from the engines themselves. Reports are charged, so only the
//! coordinator reads them, and only while it cannot reach the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::engine_calls::{self, CallAnswer};
use super::peer_link::PeerLink;
use super::servers::start_hash;
use super::shared::SharedState;
use crate::exchange::ExchangeFault;
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::ServerKey;
use medlarlanding_platform::engines;
use medlarlanding_platform::headers::announces_leaving;

use hyper::StatusCode;

/// Interval between two probes of the same engine; a move takes about a second of the notice.
const PROBE_PERIOD: Duration = Duration::from_millis(400);
/// Shortest pause between two rounds of probes.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Time limit of one probe; engines answer in a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Result of a probe.
enum ProbeAnswer {
    Stays,
    Leaves,
    /// No connection was established.
    Unreachable,
    /// The answer was late or could not be decoded, so nothing is known.
    Unknown,
}

/// Probes engines, whenever that is needed, until the process ends.
pub async fn run(state: SharedState, link: Rc<PeerLink>) -> anyhow::Result<()> {
    loop {
        let lost = async {
            tokio::time::sleep(PROBE_PAUSE).await;
            state.store_lost.notified().await;
        };
        // The next round starts after a timeout too.
        let _ = tokio::time::timeout(PROBE_PERIOD, lost).await;
        // Only a loss of the store that this instance noticed itself counts: other hubs may still
        // be waiting in a call that the store will not answer.
        let is_coordinator = state.peers.borrow().coordinator(state.now()).is_none();
        let is_needed = is_coordinator && state.config_version() > 0 && !state.reaches_store.get();
        if !is_needed {
            continue;
        }
        // Peers that have restarted or lost a datagram do not know of the earlier reports.
        let reported: Vec<u64> = {
            let directory = state.directory.borrow();
            directory.reported_leaving().map(start_hash).collect()
        };
        if !reported.is_empty() {
            link.send_leaving(&state, reported);
        }
        for (key, address) in state.engines() {
            let (state, link) = (Rc::clone(&state), Rc::clone(&link));
            tokio::task::spawn_local(async move {
                let answer = probe_engine(&state, key, address).await;
                apply_answer(&state, &link, key, &answer);
            });
        }
    }
}

fn apply_answer(state: &SharedState, link: &PeerLink, key: ServerKey, answer: &ProbeAnswer) {
    match answer {
        ProbeAnswer::Stays | ProbeAnswer::Unknown => {},
        ProbeAnswer::Unreachable => {
            state.directory.borrow_mut().record_unreachable(state.now(), key);
        },
        ProbeAnswer::Leaves => {
            if state.mark_leaving(key) {
                link.report_leaving(state, key);
            }
        },
    }
}

async fn probe_engine(state: &SharedState, key: ServerKey, address: SocketAddr) -> ProbeAnswer {
    let CallAnswer { status, headers, body } =
        match engine_calls::read_report(address, PROBE_TIMEOUT).await {
            Ok(answer) => answer,
            Err(ExchangeFault::NotConnected) => return ProbeAnswer::Unreachable,
            Err(_) => return ProbeAnswer::Unknown,
        };
    state.note_cold_answer(key, &headers);
    if announces_leaving(&headers) {
        return ProbeAnswer::Leaves;
    }
    if status != StatusCode::OK {
        return ProbeAnswer::Unknown;
    }
    match engines::decode_leaving(&body) {
        Ok(true) => ProbeAnswer::Leaves,
        Ok(false) => ProbeAnswer::Stays,
        Err(error) => {
            event(EventKind::ReportRefused, &[&address, &format!("{error:#}")]);
            ProbeAnswer::Unknown
        },
    }
}
