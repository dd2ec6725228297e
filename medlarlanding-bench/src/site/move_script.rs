//! What a stand-in does when a run is moved off it or goes on at it.

use std::time::Duration;

/// Time from the end of a stream to the reset of the call that stopped its run.
const LATE: Duration = Duration::from_millis(200);
/// Time that a copy takes during which the stream breaks off.
pub(super) const COPY_TIME: Duration = Duration::from_millis(300);

/// How a server treats the call that is to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopFault {
    /// Stops the run and answers.
    None,
    /// Stops the run and resets the connection of the call.
    AnswerLost,
    /// Stops the run, whose stream ends at once, and resets the connection of the call later.
    AnswerLostLate,
    /// Resets the connection of the first call, and the run goes on.
    CallLost,
    /// Stops the run and answers 200 without a handle.
    HandleMissing,
    /// Stops the run and answers 503 without a handle.
    RefusedWithoutHandle,
    /// Stops the run and answers 500.
    Fails,
    /// Stops the run, whose stream ends at once, and answers 404 later.
    NotFoundLate,
    /// Answers the first call 409, and the run goes on.
    Conflict,
    /// The run completes on its own at the first call, whose connection is reset.
    CompletesUnanswered,
}

impl StopFault {
    /// Returns the answer to the first call with its status and body, after a delay; `None` if the
    /// connection of the call is reset.
    pub(super) fn answer(self, copied: String) -> (Duration, Option<(u16, String)>) {
        let answer = match self {
            Self::None => Some((200, copied)),
            Self::AnswerLost
            | Self::AnswerLostLate
            | Self::CallLost
            | Self::CompletesUnanswered => None,
            Self::HandleMissing => Some((200, "{}".to_owned())),
            Self::RefusedWithoutHandle => Some((503, String::new())),
            Self::Fails => Some((500, String::new())),
            Self::NotFoundLate => Some((404, String::new())),
            Self::Conflict => Some((409, String::new())),
        };
        let is_late = matches!(self, Self::AnswerLostLate | Self::NotFoundLate);
        (if is_late { LATE } else { Duration::ZERO }, answer)
    }

    /// Returns whether the first call ends the run.
    pub fn ends_run(self) -> bool {
        !matches!(self, Self::CallLost | Self::Conflict)
    }
}

/// How a server treats runs that go on from the memory of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeMode {
    /// Runs them.
    Accepts,
    /// Refuses each as not run for a while, as if the memory had not arrived.
    AcceptsLate,
    /// Refuses all as not run.
    Refuses,
}

impl ResumeMode {
    /// All modes.
    pub const ALL: [Self; 3] = [Self::Accepts, Self::AcceptsLate, Self::Refuses];
    /// Time for which `AcceptsLate` refuses a run.
    pub(super) const REFUSAL_TIME: Duration = Duration::from_millis(250);
}

/// How the stream of a run that does not complete ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamClose {
    /// Its connection is closed.
    Closed,
    /// Its connection is reset.
    Reset,
}

/// What a server does when runs move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MoveScript {
    /// Treatment of the call that is to stop a run.
    pub stop_fault: StopFault,
    /// Treatment of runs that go on here.
    pub resume_mode: ResumeMode,
    /// End of streams that do not complete.
    pub stream_close: StreamClose,
    /// The stream breaks off during the first copy, and the server works on.
    pub breaks_in_copy: bool,
    /// Time until the call that is to stop a run is answered.
    pub stop_time: Duration,
}

impl Default for MoveScript {
    fn default() -> Self {
        Self {
            stop_fault: StopFault::None,
            resume_mode: ResumeMode::Accepts,
            stream_close: StreamClose::Closed,
            breaks_in_copy: false,
            stop_time: Duration::from_millis(20),
        }
    }
}
