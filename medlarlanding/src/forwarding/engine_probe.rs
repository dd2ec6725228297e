//! Asks engines whether they leave while the store cannot be reached.
//!
//! Load pattern: engines are taken away with 1.5 s of notice also while the store is down, and
//! the notice is then to be had only from the engines. Reports are charged, so only the instance
//! that places generations asks, and only then.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::engine_calls;
use super::peer_link::PeerLink;
use super::shared::SharedState;
use crate::exchange::ExchangeFault;
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::ServerKey;
use medlarlanding_platform::engines;

use hyper::StatusCode;

/// Period in which each engine is asked; a move takes about a second of the notice.
const PROBE_PERIOD: Duration = Duration::from_millis(400);
/// Least pause between questions.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Time limit of one question; engines answer in a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// What an engine said.
enum ProbeAnswer {
    Stays,
    Leaves,
    /// No connection was established.
    Unreachable,
    /// The answer was late or could not be read, which proves nothing.
    Unclear,
}

/// Asks engines until the process ends.
pub async fn run(state: SharedState, link: Rc<PeerLink>) -> anyhow::Result<()> {
    loop {
        let lost = async {
            tokio::time::sleep(PROBE_PAUSE).await;
            state.store_lost.notified().await;
        };
        // The period only paces the questions.
        let _ = tokio::time::timeout(PROBE_PERIOD, lost).await;
        // Other hubs may wait in a call that the store leaves unanswered, so that only the loss
        // seen here counts.
        let is_first = state.peers.borrow().coordinator(state.now()).is_none();
        let is_needed = is_first && state.config_version() > 0 && !state.reaches_store.get();
        if !is_needed {
            continue;
        }
        for (key, address) in state.engines() {
            let (state, link) = (Rc::clone(&state), Rc::clone(&link));
            tokio::task::spawn_local(async move {
                let answer = ask(address).await;
                take_answer(&state, &link, key, &answer);
            });
        }
    }
}

fn take_answer(state: &SharedState, link: &PeerLink, key: ServerKey, answer: &ProbeAnswer) {
    match answer {
        ProbeAnswer::Stays | ProbeAnswer::Unclear => {},
        ProbeAnswer::Unreachable => {
            state.directory.borrow_mut().record_unreachable(state.now(), key);
        },
        ProbeAnswer::Leaves => {
            if let Some(hash) = state.hash_of(key)
                && state.mark_leaving(key)
            {
                link.push_leaving(state, hash);
            }
        },
    }
}

async fn ask(address: SocketAddr) -> ProbeAnswer {
    let (status, body) = match engine_calls::read_report(address, PROBE_TIMEOUT).await {
        Ok(answer) => answer,
        Err(ExchangeFault::NotConnected) => return ProbeAnswer::Unreachable,
        Err(_) => return ProbeAnswer::Unclear,
    };
    if status != StatusCode::OK {
        return ProbeAnswer::Unclear;
    }
    match engines::decode_leaving(&body) {
        Ok(true) => ProbeAnswer::Leaves,
        Ok(false) => ProbeAnswer::Stays,
        Err(error) => {
            event(EventKind::ReportRefused, &[&address, &format!("{error:#}")]);
            ProbeAnswer::Unclear
        },
    }
}
