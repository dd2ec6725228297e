//! The caller's side of a delivery.

use std::time::Duration;

use crate::http::answers::refusal_json;
use medlarlanding_core::ServeError;
use medlarlanding_core::generations::FinishReason;
use medlarlanding_core::ids::RequestId;

use bytes::Bytes;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

/// Events that may wait for a caller that reads slowly.
pub const EVENT_QUEUE: usize = 64;
/// Time after which a caller that takes no event counts as gone.
pub const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// A complete answer for whole delivery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeAnswer {
    /// Text of all tokens.
    pub text: String,
    /// Number of tokens.
    pub tokens: u64,
    /// Why the generation ended.
    pub finish: FinishReason,
    /// Resume handle of the generation.
    pub handle: String,
}

/// Where the answer goes.
pub enum CallerSink {
    /// Server-sent events. `head` tells the handler which status to answer with.
    Stream {
        /// Sent with the first event, or with the refusal that takes its place.
        head: Option<oneshot::Sender<Result<(), ServeError>>>,
        /// Events of the body.
        events: mpsc::Sender<Bytes>,
    },
    /// One JSON document.
    Whole(Option<oneshot::Sender<Result<WholeAnswer, ServeError>>>),
}

impl CallerSink {
    /// Waits until the caller has disconnected.
    pub async fn closed(&mut self) {
        match self {
            Self::Stream { head: Some(head), .. } => head.closed().await,
            Self::Stream { events, .. } => events.closed().await,
            Self::Whole(Some(answer)) => answer.closed().await,
            Self::Whole(None) => std::future::pending().await,
        }
    }

    /// Queues an event if there is room. Returns it otherwise.
    pub fn try_send(&mut self, event: Bytes) -> Result<(), Option<Bytes>> {
        let Self::Stream { head, events } = self else { return Ok(()) };
        if let Some(head) = head.take() {
            let _ = head.send(Ok(()));
        }
        events.try_send(event).map_err(|error| match error {
            mpsc::error::TrySendError::Full(event) => Some(event),
            mpsc::error::TrySendError::Closed(_) => None,
        })
    }

    /// Queues an event, waiting for room. Returns whether the caller is still there.
    pub async fn send(&mut self, event: Bytes) -> bool {
        let event = match self.try_send(event) {
            Ok(()) => return true,
            Err(None) => return false,
            Err(Some(event)) => event,
        };
        let Self::Stream { events, .. } = self else { return true };
        let sent = tokio::time::timeout(SLOW_CALLER_TIMEOUT, events.send(event)).await;
        matches!(sent, Ok(Ok(())))
    }

    /// Ends the answer with a refusal.
    pub async fn fail(&mut self, error: ServeError, request: RequestId) {
        match self {
            Self::Stream { head, .. } if head.is_some() => {
                if let Some(head) = head.take() {
                    let _ = head.send(Err(error));
                }
            },
            Self::Stream { .. } => {
                let data = refusal_json(&error, Some(request));
                self.send(Bytes::from(format!("event: error\ndata: {data}\n\n"))).await;
            },
            Self::Whole(answer) => {
                if let Some(answer) = answer.take() {
                    let _ = answer.send(Err(error));
                }
            },
        }
    }

    /// Ends the answer successfully.
    pub async fn complete(&mut self, answer: WholeAnswer) {
        match self {
            Self::Stream { .. } => {
                let data = json!({"tokens": answer.tokens, "finish": answer.finish.as_str()});
                self.send(Bytes::from(format!("event: end\ndata: {data}\n\n"))).await;
            },
            Self::Whole(sender) => {
                if let Some(sender) = sender.take() {
                    let _ = sender.send(Ok(answer));
                }
            },
        }
    }
}

/// Formats a token event.
pub fn token_event(handle: &str, seq: u64, text: &str) -> Bytes {
    Bytes::from(format!("event: token\nid: {handle}.{seq}\ndata: {}\n\n", json!({"text": text})))
}
