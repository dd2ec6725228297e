//! Measures how fast a server answers one request, compared with what its load explains.
//!
//! Load pattern: streams last from 50 ms to a minute, several events may arrive in one read on a
//! weak machine, callers read slowly, and servers pause for up to 0.6 s now and then. A sample
//! therefore covers a number of events, pauses are left out, and nothing is measured while the
//! caller or a move delays the stream.

use std::time::Duration;

use crate::time::Timestamp;

/// Number of tokens in one event of a stream: engines of current installations put four into each,
/// and the configuration does not state it.
pub const TOKENS_PER_EVENT: u64 = 4;
/// Milliseconds of a step of an engine that runs one request; a step produces one token of each.
const STEP_MS: f64 = 7.0;
/// Milliseconds that each further request adds to a step.
const BATCH_STEP_MS: f64 = 0.12;
/// Milliseconds of one prompt token at an engine that runs nothing else.
const PROMPT_TOKEN_MS: f64 = 1.0 / 14.0;
/// Factor on the time of a prompt whose engine also runs other requests, between whose steps it is
/// processed.
const BUSY_PROMPT_FACTOR: f64 = 2.0;
/// Milliseconds until the first event that depend neither on the prompt nor on the engine: the
/// handshake and the request.
const CONNECT_MS: f64 = 5.0;
/// Events in the first sample of a stream. Each further one has twice as many, up to
/// `SAMPLE_EVENTS_MAX`, so that a slow new engine is known early.
const SAMPLE_EVENTS_FIRST: u16 = 2;
/// Events in one sample: 0.45 s at a common engine, 1.4 s at one that is three times as slow.
const SAMPLE_EVENTS_MAX: u16 = 16;
/// Events after which samples that are faster than expected are certain: an engine that writes nonsense
/// soon breaks off.
const FAST_EVENTS_MIN: u16 = 16;
/// Events that a shorter sample, at the end of a stream, must have.
const SAMPLE_EVENTS_MIN: u16 = 1;
/// Events of a sample whose halves are compared. A half must be longer than the time for which a weak
/// machine may be paused, 0.1 s, after which several events are read at once.
const HALVED_EVENTS_MIN: u16 = 16;
/// Longest time between two events that counts. An event takes at most 0.24 s at the slowest engines
/// with a full batch; they pause for 0.6 s.
const PAUSE_MIN: Duration = Duration::from_millis(400);
/// Logarithms of ratios are limited to that of 64, so that no single answer decides an estimate. Plain
/// servers may answer in a fiftieth of the objective of their route.
const LOG_RATIO_LIMIT: f64 = 4.16;
/// Limit of the ratios of engines, which differ from the expected times by a factor of 4 at most.
const ENGINE_RATIO_LIMIT: f64 = 8.0;
/// Units of `SpeedSums::log_sum` for a logarithm of 1.
const LOG_UNITS: f64 = 100.0;

value_type! { copy
    /// Sum of samples of one kind. Equal to the default if there are none.
    #[derive(Default)]
    pub struct SpeedSums {
        /// Number of events or answers in the samples.
        pub weight: u16,
        /// Sum over these of the logarithm of the time taken relative to the time expected, in
        /// hundredths; from -416 to 416 times `weight`.
        pub log_sum: i32,
    }
}

impl SpeedSums {
    /// Adds a sample that took `ratio` times as long as expected. Ignores ratios that are not
    /// positive and finite.
    pub fn add(&mut self, ratio: f64, weight: u16) {
        if !(ratio.is_finite() && ratio > 0.0) {
            return;
        }
        let log_ratio = ratio.ln().clamp(-LOG_RATIO_LIMIT, LOG_RATIO_LIMIT);
        let weight = weight.min(u16::MAX - self.weight);
        self.weight += weight;
        self.log_sum += (log_ratio * f64::from(weight) * LOG_UNITS).round() as i32;
    }

    /// Adds samples of the same kind. Leaves them out if there are too many for the weight.
    pub fn merge(&mut self, added: Self) {
        if let Some(weight) = self.weight.checked_add(added.weight) {
            self.weight = weight;
            self.log_sum = self.log_sum.saturating_add(added.log_sum);
        }
    }

    /// Returns the sum of the logarithms, limited to what `weight` samples can add up to. A peer may
    /// send anything.
    pub fn log_total(self) -> f64 {
        let limit = LOG_RATIO_LIMIT * f64::from(self.weight);
        (f64::from(self.log_sum) / LOG_UNITS).clamp(-limit, limit)
    }

    /// Returns whether there are no samples.
    pub fn is_empty(self) -> bool {
        self.weight == 0
    }
}

value_type! { copy
    /// Samples that one instance took of one server since its last report.
    pub struct SpeedReport {
        /// Part of the hash of the server's start; a receiver that knows another start drops the
        /// report.
        pub start: u16,
        /// Time for each output token.
        pub token: SpeedSums,
        /// Time until the first event; for plain servers, until the answer.
        pub first: SpeedSums,
    }
}

value_type! { copy
    /// Work at an engine at the moment when a run was placed there. All zero if it is unknown.
    #[derive(Default)]
    pub struct EngineQueue {
        /// Prompt tokens to process before those of the run.
        pub ahead: u32,
        /// Runs that the engine had already.
        pub running: u16,
        /// Estimated time for an output token, in percent of the median of the service.
        pub token_percent: u16,
        /// Estimated time until the first event, in percent of that which the median server of the
        /// service takes with the same load.
        pub first_percent: u16,
    }
}

fn limit_ratio(ratio: f64) -> f64 {
    ratio.clamp(1.0 / ENGINE_RATIO_LIMIT, ENGINE_RATIO_LIMIT)
}

/// Returns the milliseconds of a step of an engine of the common kind that has `running` requests.
pub fn step_millis(running: u32) -> f64 {
    STEP_MS + BATCH_STEP_MS * f64::from(running.saturating_sub(1))
}

/// Returns the milliseconds until the first event at an engine of the common kind.
fn first_event_millis(prompt: u32, queue: EngineQueue) -> f64 {
    let factor = if queue.running > 0 { BUSY_PROMPT_FACTOR } else { 1.0 };
    let tokens = f64::from(queue.ahead) + f64::from(prompt);
    let event = step_millis(u32::from(queue.running) + 1) * TOKENS_PER_EVENT as f64;
    CONNECT_MS + factor * PROMPT_TOKEN_MS * tokens + event
}

/// Samples that the events of one stream add up to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamSample {
    /// Time for each output token.
    pub token: SpeedSums,
    /// Time until the first event.
    pub first: SpeedSums,
}

impl StreamSample {
    /// Returns whether there are no samples.
    pub fn is_empty(&self) -> bool {
        self.token.is_empty() && self.first.is_empty()
    }
}

/// Events of a sample in progress.
#[derive(Clone, Copy, Debug)]
struct SampleWindow {
    last_event_at: Timestamp,
    /// Gaps that count; the pauses among them are left out.
    events: u16,
    /// Sum of these gaps.
    elapsed: Duration,
    /// Sum of the gaps of the first half of a complete sample; zero before its end.
    first_half: Duration,
}

impl SampleWindow {
    fn new(last_event_at: Timestamp) -> Self {
        Self { last_event_at, events: 0, elapsed: Duration::ZERO, first_half: Duration::ZERO }
    }

    /// Returns the time of one event in milliseconds, in the faster half of a long sample: a prompt
    /// that the engine processes meanwhile doubles the time of some events.
    fn event_millis(&self) -> f64 {
        let second_half = self.elapsed.saturating_sub(self.first_half);
        let (elapsed, events) = if self.events >= HALVED_EVENTS_MIN && !self.first_half.is_zero() {
            (self.first_half.min(second_half), self.events / 2)
        } else {
            (self.elapsed, self.events)
        };
        elapsed.as_secs_f64() * 1e3 / f64::from(events.max(1))
    }
}

/// Takes samples of the events of one stream. Samples that are faster than expected are kept back until
/// the next one is complete, or the stream, so that a server whose answer breaks off soon does not count
/// as fast.
#[derive(Clone, Copy, Debug)]
pub struct StreamSampler {
    sent_at: Timestamp,
    prompt: u32,
    queue: EngineQueue,
    is_stopped: bool,
    has_begun: bool,
    /// Events of the next complete sample.
    sample_events: u16,
    /// Events since the last interruption; `None` before the first one.
    window: Option<SampleWindow>,
    /// Events in complete samples.
    events: u16,
    /// Complete samples that are kept back.
    kept: StreamSample,
}

/// Weight of a sample of the time until the first event or the answer, in events.
pub const FIRST_EVENT_WEIGHT: u16 = 2;

impl StreamSampler {
    /// Creates a sampler for a run that was sent at `sent_at` with a prompt of `prompt` tokens.
    pub fn new(sent_at: Timestamp, prompt: u32, queue: EngineQueue) -> Self {
        Self {
            sent_at,
            prompt,
            queue,
            is_stopped: false,
            has_begun: false,
            sample_events: SAMPLE_EVENTS_FIRST,
            window: None,
            events: 0,
            kept: StreamSample::default(),
        }
    }

    /// Creates a sampler that takes no samples: for a moved run, whose prompt is not processed again
    /// and whose memory may still be copied.
    pub fn disabled() -> Self {
        Self { is_stopped: true, ..Self::new(Timestamp::default(), 0, EngineQueue::default()) }
    }

    /// Takes no further samples. Returns those kept back.
    pub fn stop(&mut self) -> StreamSample {
        self.is_stopped = true;
        self.window = None;
        std::mem::take(&mut self.kept)
    }

    /// Discards the sample in progress because something other than the engine delays the events.
    pub fn interrupt(&mut self) {
        self.window = None;
    }

    /// Records an event. Returns the samples that are certain now.
    pub fn record_event(&mut self, now: Timestamp) -> StreamSample {
        if self.is_stopped {
            return StreamSample::default();
        }
        if !std::mem::replace(&mut self.has_begun, true) {
            let millis = now.since(self.sent_at).as_secs_f64() * 1e3;
            let ratio = millis / first_event_millis(self.prompt, self.queue);
            self.kept.first.add(limit_ratio(ratio), FIRST_EVENT_WEIGHT);
        }
        let Some(window) = &mut self.window else {
            self.window = Some(SampleWindow::new(now));
            return StreamSample::default();
        };
        let gap = now.since(window.last_event_at);
        window.last_event_at = now;
        if gap < PAUSE_MIN {
            window.events += 1;
            window.elapsed += gap;
            if window.events == self.sample_events / 2 {
                window.first_half = window.elapsed;
            }
        }
        if window.events < self.sample_events {
            return StreamSample::default();
        }
        self.events = self.events.saturating_add(window.events);
        self.sample_events = (self.sample_events * 2).min(SAMPLE_EVENTS_MAX);
        let earlier = std::mem::take(&mut self.kept);
        self.close_window();
        let is_slow = |sample: &StreamSample| sample.token.log_sum + sample.first.log_sum >= 0;
        if is_slow(&self.kept) {
            let mut certain = std::mem::take(&mut self.kept);
            certain.token.merge(earlier.token);
            certain.first.merge(earlier.first);
            certain
        } else if self.events > FAST_EVENTS_MIN {
            earlier
        } else {
            self.kept.token.merge(earlier.token);
            self.kept.first.merge(earlier.first);
            StreamSample::default()
        }
    }

    /// Records that the stream is complete. Returns the last samples.
    pub fn finish(&mut self) -> StreamSample {
        if self.window.is_some_and(|window| window.events >= SAMPLE_EVENTS_MIN) {
            self.close_window();
        }
        self.stop()
    }

    /// Keeps the sample in progress back and begins the next one.
    fn close_window(&mut self) {
        let Some(window) = &mut self.window else { return };
        let token_millis = window.event_millis() / TOKENS_PER_EVENT as f64;
        let ratio = token_millis / step_millis(u32::from(self.queue.running) + 1);
        self.kept.token.add(limit_ratio(ratio), window.events);
        *window = SampleWindow::new(window.last_event_at);
    }
}
