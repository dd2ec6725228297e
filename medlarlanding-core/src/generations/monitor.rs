//! Checks the guarantees of a session independently of its decisions.

use crate::ids::ServerId;

/// Records what a session did and panics when it breaks a guarantee.
///
/// Shares no state with the cursor, so an error in the cursor is detected here. A panic ends
/// only one request, whereas a token of another generation would corrupt the caller's response
/// unnoticed.
#[derive(Clone, Debug, Default)]
pub(super) struct DeliveryMonitor {
    /// Server and generation of every token delivered or collected so far.
    source: Option<(ServerId, String)>,
    /// The last token delivered on the caller's current connection, or collected for whole
    /// delivery; 0 for none.
    last: u64,
    /// Whether any token was delivered to the caller.
    delivered: bool,
    /// The server whose permit is held.
    permit: Option<ServerId>,
    finished: bool,
}

impl DeliveryMonitor {
    /// Records a new connection of the caller, on which the token after `after` is the first.
    pub fn begin_connection(&mut self, after: u64) {
        self.last = after;
        self.delivered |= after > 0;
    }

    /// Records a token with the server and generation that the engine's event named.
    /// `delivered` is `false` for a token that is collected for whole delivery.
    pub fn record_token(&mut self, server: ServerId, generation: &str, seq: u64, delivered: bool) {
        assert!(!self.finished, "token {seq} follows the end of the response");
        assert_eq!(seq, self.last + 1, "a token is repeated or out of order");
        match &self.source {
            None => self.source = Some((server, generation.to_owned())),
            Some((known_server, known)) => assert!(
                *known_server == server && known == generation,
                "token {seq} comes from {generation} of {server:?}, not {known} of {known_server:?}"
            ),
        }
        self.last = seq;
        self.delivered |= delivered;
    }

    /// Records that a new generation is started.
    pub fn start_generation(&mut self) {
        assert!(!self.finished, "a generation is started after the end of the response");
        assert!(!self.delivered, "a generation is started after a token was delivered");
        self.source = None;
        self.last = 0;
    }

    /// Returns whether any token was delivered to the caller.
    pub fn has_delivered(&self) -> bool {
        self.delivered
    }

    /// Records that the permit of a server is held.
    pub fn take_permit(&mut self, server: ServerId) {
        assert!(
            self.permit.is_none(),
            "a second permit arrives while one is held: {server:?}, held {:?}",
            self.permit
        );
        self.permit = Some(server);
    }

    /// Gives the permit back, or returns `None` if none is held.
    pub fn release_permit(&mut self) -> Option<ServerId> {
        self.permit.take()
    }

    /// Records the end of the response.
    pub fn finish(&mut self) {
        assert!(!self.finished, "a response ends twice");
        assert!(
            self.permit.is_none(),
            "a response ends while its permit is held: {:?}",
            self.permit
        );
        self.finished = true;
    }
}
