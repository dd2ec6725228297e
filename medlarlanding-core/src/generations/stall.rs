//! Detects a stream that is silent for much longer than its usual gap between tokens.

use std::time::Duration;

use crate::time::Timestamp;

/// Parameters of a [`StallDetector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallParams {
    /// Shortest timeout. Healthy streams pause for a few hundred ms while the engine prefills
    /// another request.
    pub min_timeout: Duration,
    /// Longest timeout, and the timeout before the first gap was observed.
    pub max_timeout: Duration,
    /// Timeout as a multiple of the moving average of the gaps.
    pub gap_factor: u32,
    /// Weight of a new gap in the moving average, as `1 / smoothing`.
    pub smoothing: u32,
}

impl Default for StallParams {
    fn default() -> Self {
        Self {
            min_timeout: Duration::from_millis(500),
            max_timeout: Duration::from_secs(10),
            gap_factor: 8,
            smoothing: 8,
        }
    }
}

/// Stall timeout of one stream, which adapts to the gaps between the stream's tokens.
///
/// The timeout doubles, up to `max_timeout`, with each expiry until a token arrives: while an
/// engine has the request preempted, it accepts a second connection but sends no tokens.
#[derive(Clone, Debug)]
pub struct StallDetector {
    params: StallParams,
    /// Moving average of the gaps; `None` before the first gap.
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

    /// Starts the timeout. The time until the next token is not counted as a gap, because it
    /// includes the time to connect.
    pub fn arm(&mut self, now: Timestamp) {
        self.armed_at = Some(now);
        self.last_token = None;
    }

    /// Stops the timeout.
    pub fn disarm(&mut self) {
        self.armed_at = None;
        self.last_token = None;
    }

    /// Records a token and restarts the timeout.
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
        let StallParams { min_timeout, max_timeout, gap_factor, .. } = self.params;
        let base = self
            .smoothed
            .map_or(max_timeout, |gap| (gap * gap_factor).clamp(min_timeout, max_timeout));
        base.saturating_mul(1 << self.expiries.min(16)).min(max_timeout)
    }

    /// Gets the time at which the stream counts as stalled, or `None` if not armed.
    pub fn expires_at(&self) -> Option<Timestamp> {
        self.armed_at.map(|armed| armed + self.timeout())
    }

    /// Returns whether the timeout has expired. If so, disarms the detector and doubles the next
    /// timeout.
    pub fn take_expiry(&mut self, now: Timestamp) -> bool {
        let expired = self.expires_at().is_some_and(|at| at <= now);
        if expired {
            self.disarm();
            self.expiries += 1;
        }
        expired
    }
}
