//! Decides whether an answer that ended is complete.
//!
//! Load pattern: engines crash, are taken away or fall silent with dozens of answers in progress. Their
//! hosts close the connections in order, so an answer without a length or chunks ends just as a
//! complete one does. Only the process that wrote the answer can prove, after its end, that it still
//! runs; what the store or the server said before proves nothing. An engine that was told to stop a run
//! for a move lives on too, so after such a call its proof is worthless.

use super::moves::RunStop;

value_type! { copy
    /// State of the process that wrote an answer, found out after the answer ended.
    pub enum ServerLiveness {
        /// The process still runs.
        Alive,
        /// The process has ended: nothing listens at its address, or another process does.
        Ended,
        /// Neither is known, because nothing answered or the answer names no process.
        Unknown,
    }
}

impl ServerLiveness {
    /// Returns the state that the answer of a process at the server's address shows.
    pub fn of_process(expected: ProcessIdentity<'_>, found: ProcessIdentity<'_>) -> Self {
        match (expected.born_millis, found.born_millis) {
            (Some(expected), Some(found)) if expected == found => Self::Alive,
            (Some(_), Some(_)) => Self::Ended,
            (None, _) | (_, None) => match (expected.id, found.id) {
                (Some(expected), Some(found)) if expected == found => Self::Alive,
                (Some(_), Some(_)) => Self::Ended,
                (None, _) | (_, None) => Self::Unknown,
            },
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Ended => "ended",
            Self::Unknown => "unknown",
        }
    }
}

/// What tells one process from another at the same address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessIdentity<'a> {
    /// Start time in Unix milliseconds; `None` if it is not stated.
    pub born_millis: Option<u64>,
    /// Id of the server, which a later start may have again; `None` if it is not stated.
    pub id: Option<&'a str>,
}

value_type! { copy
    /// What marks the end of a body.
    pub enum BodyDelimiter {
        /// A length or chunks: a truncated body is an error of its own.
        Declared,
        /// The end of the connection.
        Connection,
    }
}

value_type! { copy
    /// Whether an answer that ended without an error is complete.
    pub enum EndVerdict {
        /// The caller receives its end.
        Complete,
        /// It ended within an event.
        CutEvent,
        /// The connection alone marked its end, and a call may have stopped its run.
        RunStopped,
        /// The connection alone marked its end, and its server has ended.
        ServerEnded,
        /// The connection alone marked its end, and its server could not be shown to live on. The
        /// caller is told that the answer broke off.
        Unproven,
    }
}

impl EndVerdict {
    /// Judges an end without asking the server; `None` if the server must be asked. `run_stop` tells
    /// whether a call may have stopped the run before that end.
    pub fn without_proof(
        delimiter: BodyDelimiter,
        is_within_event: bool,
        run_stop: RunStop,
    ) -> Option<Self> {
        match (delimiter, is_within_event, run_stop) {
            (_, true, _) => Some(Self::CutEvent),
            (BodyDelimiter::Declared, false, _) => Some(Self::Complete),
            (BodyDelimiter::Connection, false, RunStop::NotStopped) => None,
            (BodyDelimiter::Connection, false, RunStop::Possible | RunStop::Stopped) => {
                Some(Self::RunStopped)
            },
        }
    }

    /// Judges the end of an answer that its connection delimits. `liveness` must have been found out
    /// after that end.
    pub fn with_proof(liveness: ServerLiveness) -> Self {
        match liveness {
            ServerLiveness::Alive => Self::Complete,
            ServerLiveness::Ended => Self::ServerEnded,
            ServerLiveness::Unknown => Self::Unproven,
        }
    }

    /// Returns what was found out about the server of an answer that is not complete.
    pub fn liveness(self) -> Option<ServerLiveness> {
        match self {
            Self::Complete | Self::CutEvent | Self::RunStopped => None,
            Self::ServerEnded => Some(ServerLiveness::Ended),
            Self::Unproven => Some(ServerLiveness::Unknown),
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::CutEvent => "cut_event",
            Self::RunStopped => "run_stopped",
            Self::ServerEnded => "server_ended",
            Self::Unproven => "unproven",
        }
    }
}
