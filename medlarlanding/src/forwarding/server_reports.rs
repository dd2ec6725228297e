//! Reports about servers: from an instance to the coordinator, and from it to all others.

use super::peer_link::{PeerLink, relay_routes};
use super::servers::start_hash;
use super::shared::ForwardState;
use medlarlanding_core::forwarding::{
    AnswerReport, ColdReport, EngineFault, PeerMessage, ServerKey, SuspicionParams,
};

impl PeerLink {
    /// Reports that a server said itself that it is leaving: to the coordinator, which tells all peers.
    pub fn report_leaving(&self, state: &ForwardState, key: ServerKey) {
        let Some(server) = state.directory.borrow().get(key).map(|it| start_hash(&it.entry)) else {
            return;
        };
        match state.peers.borrow().coordinator(state.now()) {
            Some(coordinator) => {
                self.send(state, &PeerMessage::Leaving(vec![server]), &[coordinator]);
            },
            None => self.send_leaving(state, vec![server]),
        }
    }

    /// Reports to all peers which servers are leaving. `servers` are the hashes of their starts.
    pub fn send_leaving(&self, state: &ForwardState, servers: Vec<u64>) {
        self.send_to_groups(state, &PeerMessage::Leaving(servers), &relay_routes(state));
    }

    /// Passes on what servers said themselves of their cold times: to the coordinator, or as the
    /// coordinator to all peers.
    pub(super) fn send_cold_reports(&self, state: &ForwardState, reports: Vec<ColdReport>) {
        if reports.is_empty() {
            return;
        }
        let message = PeerMessage::Cold(reports);
        match state.peers.borrow().coordinator(state.now()) {
            Some(coordinator) => self.send(state, &message, &[coordinator]),
            None => self.send_to_groups(state, &message, &relay_routes(state)),
        }
    }

    /// Avoids an engine that has ended, here and at the coordinator.
    pub fn report_end(&self, state: &ForwardState, key: ServerKey) {
        let until = state.now() + SuspicionParams::default().avoid_ended;
        state.directory.borrow_mut().avoid(key, until);
        let engine = state.directory.borrow().get(key).map(|record| start_hash(&record.entry));
        if let Some(engine) = engine {
            state.record_engine_end(engine);
        }
        self.report_fault(state, key, EngineFault::Ended);
    }

    /// Reports a fault of an engine to the coordinator.
    pub fn report_fault(&self, state: &ForwardState, key: ServerKey, fault: EngineFault) {
        let Some(engine) = state.hash_of(key) else { return };
        let coordinator = state.peers.borrow().coordinator(state.now());
        match coordinator {
            Some(coordinator) => {
                let message = match fault {
                    EngineFault::Failed => PeerMessage::Fault(engine),
                    EngineFault::Unresponsive => PeerMessage::Unresponsive(engine),
                    EngineFault::Ended => PeerMessage::Ended(engine),
                };
                self.send(state, &message, &[coordinator]);
            },
            None => state.record_fault(engine, fault),
        }
    }

    /// Tells all peers as the coordinator which plain servers are not of average speed.
    pub(super) fn send_paces(&self, state: &ForwardState) {
        let paces = state.paces();
        if !paces.is_empty() {
            self.send_to_groups(state, &PeerMessage::Speeds(paces), &relay_routes(state));
        }
    }

    /// Reports to the coordinator how an engine in slow start answers.
    pub fn report_answer(&self, state: &ForwardState, report: AnswerReport) {
        match state.peers.borrow().coordinator(state.now()) {
            Some(coordinator) => {
                self.send(state, &PeerMessage::Answered(report), &[coordinator]);
            },
            None => state.take_answer_report(&report),
        }
    }
}
