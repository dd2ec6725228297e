//! Detects a stream that is silent for longer than its own pace explains.

use std::time::Duration;

use crate::time::Timestamp;

/// Parameters of a [`StallDetector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallParams {
    /// Shortest timeout. Pauses of a few hundred ms occur in healthy streams when an engine
    /// prefills another request.
    pub floor: Duration,
    /// Longest timeout, and the timeout before the first gap was observed.
    pub ceiling: Duration,
    /// Timeout as a multiple of the smoothed gap.
    pub gap_factor: u32,
    /// A new gap counts one part in this many in the smoothed gap.
    pub smoothing: u32,
}

impl Default for StallParams {
    fn default() -> Self {
        Self {
            floor: Duration::from_millis(500),
            ceiling: Duration::from_secs(10),
            gap_factor: 8,
            smoothing: 8,
        }
    }
}

/// Timeout of one stream that adapts to the gaps between its tokens.
///
/// The timeout doubles, up to the ceiling, with each expiry that no token follows: an engine
/// that preempted the request is silent although it answers the second connection.
#[derive(Clone, Debug)]
pub struct StallDetector {
    params: StallParams,
    smoothed: Option<Duration>,
    /// Expiries since the last token.
    expiries: u32,
    last_token: Option<Timestamp>,
    armed_at: Option<Timestamp>,
}

impl StallDetector {
    /// Creates a detector that is not armed.
    pub fn new(params: StallParams) -> Self {
        Self { params, smoothed: None, expiries: 0, last_token: None, armed_at: None }
    }

    /// Starts waiting for a token. The time until the next token is not taken as a gap,
    /// because it includes the time to connect.
    pub fn arm(&mut self, now: Timestamp) {
        self.armed_at = Some(now);
        self.last_token = None;
    }

    /// Stops waiting.
    pub fn disarm(&mut self) {
        self.armed_at = None;
        self.last_token = None;
    }

    /// Records a token of an armed stream.
    pub fn record_token(&mut self, now: Timestamp) {
        if let Some(last) = self.last_token {
            let gap = now.since(last);
            self.smoothed = Some(match self.smoothed {
                None => gap,
                Some(smoothed) => {
                    let rest = self.params.smoothing.max(1) - 1;
                    (smoothed * rest + gap) / self.params.smoothing.max(1)
                },
            });
        }
        self.expiries = 0;
        self.last_token = Some(now);
        self.armed_at = Some(now);
    }

    /// Gets the current timeout.
    pub fn timeout(&self) -> Duration {
        let StallParams { floor, ceiling, gap_factor, .. } = self.params;
        let base = self.smoothed.map_or(ceiling, |gap| (gap * gap_factor).clamp(floor, ceiling));
        base.saturating_mul(1 << self.expiries.min(16)).min(ceiling)
    }

    /// Gets the time at which the stream counts as stalled, or `None` if not armed.
    pub fn expires_at(&self) -> Option<Timestamp> {
        self.armed_at.map(|armed| armed + self.timeout())
    }

    /// Returns whether the stream is stalled. If so, the detector is disarmed and the next
    /// timeout is longer.
    pub fn take_expiry(&mut self, now: Timestamp) -> bool {
        let expired = self.expires_at().is_some_and(|at| at <= now);
        if expired {
            self.disarm();
            self.expiries += 1;
        }
        expired
    }
}
