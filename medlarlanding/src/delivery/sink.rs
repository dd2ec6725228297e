//! Sends the response of a delivery to its caller.

use std::time::Duration;

use crate::answer_body::StreamPiece;
use crate::http::responses::refusal_json;
use medlarlanding_core::ServeError;
use medlarlanding_core::generations::FinishReason;
use medlarlanding_core::ids::RequestId;

use bytes::Bytes;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

/// Capacity of the queue of events for a caller that reads slowly.
pub const EVENT_QUEUE: usize = 64;
/// Time without a read after which a caller counts as disconnected while the queue is full.
pub const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// A complete generation, for whole delivery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeResponse {
    /// Concatenated text of all tokens.
    pub text: String,
    /// Number of tokens.
    pub tokens: u64,
    /// Why the generation ended.
    pub finish: FinishReason,
    /// Resume handle of the generation.
    pub handle: String,
}

/// Channel from the delivery task to the handler of the caller's request.
pub enum CallerSink {
    /// Response of server-sent events.
    Stream {
        /// Tells the handler which status to send: `Ok` with the first event, or the refusal if
        /// the request fails before it. `None` once sent.
        head: Option<oneshot::Sender<Result<(), ServeError>>>,
        /// Events of the response body, and its end.
        events: mpsc::Sender<StreamPiece>,
    },
    /// Response of one JSON document.
    Whole(Option<oneshot::Sender<Result<WholeResponse, ServeError>>>),
}

impl CallerSink {
    /// Waits until the caller has disconnected.
    pub async fn closed(&mut self) {
        match self {
            Self::Stream { head: Some(head), .. } => head.closed().await,
            Self::Stream { events, .. } => events.closed().await,
            Self::Whole(Some(response)) => response.closed().await,
            Self::Whole(None) => std::future::pending().await,
        }
    }

    /// Queues an event. Returns `Err(Some(event))` if the queue is full and `Err(None)` if the
    /// caller has disconnected.
    pub fn try_send(&mut self, event: Bytes) -> Result<(), Option<Bytes>> {
        let Self::Stream { head, events } = self else { return Ok(()) };
        if let Some(head) = head.take() {
            let _ = head.send(Ok(()));
        }
        events.try_send(StreamPiece::Data(event)).map_err(|error| match error {
            mpsc::error::TrySendError::Full(StreamPiece::Data(event)) => Some(event),
            mpsc::error::TrySendError::Full(StreamPiece::End)
            | mpsc::error::TrySendError::Closed(_) => None,
        })
    }

    /// Queues an event, waiting while the queue is full. Returns whether it was queued: false
    /// if the caller has disconnected or has not read for `SLOW_CALLER_TIMEOUT`.
    pub async fn send(&mut self, event: Bytes) -> bool {
        let event = match self.try_send(event) {
            Ok(()) => return true,
            Err(None) => return false,
            Err(Some(event)) => event,
        };
        let Self::Stream { events, .. } = self else { return true };
        let sent =
            tokio::time::timeout(SLOW_CALLER_TIMEOUT, events.send(StreamPiece::Data(event))).await;
        matches!(sent, Ok(Ok(())))
    }

    /// Sends the last event and the end of the body. Without that end, the connection is closed before
    /// the body is complete.
    async fn send_last(&mut self, event: Bytes) {
        if !self.send(event).await {
            return;
        }
        let Self::Stream { events, .. } = self else { return };
        // Sending fails if the caller has disconnected or does not read.
        let _ = tokio::time::timeout(SLOW_CALLER_TIMEOUT, events.send(StreamPiece::End)).await;
    }

    /// Ends the response with an error: as its status if nothing was sent, otherwise as an
    /// `error` event.
    pub async fn fail(&mut self, error: ServeError, request: RequestId) {
        match self {
            Self::Stream { head, .. } if head.is_some() => {
                if let Some(head) = head.take() {
                    let _ = head.send(Err(error));
                }
            },
            Self::Stream { .. } => {
                let data = refusal_json(&error, Some(request));
                self.send_last(Bytes::from(format!("event: error\ndata: {data}\n\n"))).await;
            },
            Self::Whole(response) => {
                if let Some(response) = response.take() {
                    let _ = response.send(Err(error));
                }
            },
        }
    }

    /// Ends the response successfully.
    pub async fn complete(&mut self, response: WholeResponse) {
        match self {
            Self::Stream { .. } => {
                let data = json!({"tokens": response.tokens, "finish": response.finish.as_str()});
                self.send_last(Bytes::from(format!("event: end\ndata: {data}\n\n"))).await;
            },
            Self::Whole(sender) => {
                if let Some(sender) = sender.take() {
                    let _ = sender.send(Ok(response));
                }
            },
        }
    }
}

/// Formats a `token` event. Its id is the resume handle and the token's number.
pub fn token_event(handle: &str, seq: u64, text: &str) -> Bytes {
    Bytes::from(format!("event: token\nid: {handle}.{seq}\ndata: {}\n\n", json!({"text": text})))
}
