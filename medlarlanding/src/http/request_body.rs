//! Reads request bodies within limits of size and time.

use std::time::Duration;

use medlarlanding_core::{ErrorKind, Result, ServeError};

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// Maximum time for discarding the body of a refused request.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Limits of one request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size in bytes.
    pub bytes: usize,
    /// Maximum time from the end of the headers to the end of the body.
    pub time: Duration,
}

/// Reads a whole body within the limits.
///
/// # Errors
///
/// `BodyTooLarge` or `ReadTimeout` if a limit is exceeded, `BadRequest` if the caller closes the
/// connection before the end.
pub async fn read_body(mut payload: Incoming, limits: BodyLimits) -> Result<Vec<u8>> {
    let body = timeout(limits.time, collect(&mut payload, limits.bytes)).await;
    let body = body.unwrap_or(Err(ErrorKind::ReadTimeout.into()));
    if body.is_err() {
        discard_body(payload, limits).await;
    }
    body
}

async fn collect(payload: &mut Incoming, limit: usize) -> Result<Vec<u8>> {
    let mut body = BytesMut::new();
    while let Some(frame) = payload.frame().await {
        let frame = frame.map_err(|error| {
            ServeError::with_detail(ErrorKind::BadRequest, format!("body: {error}"))
        })?;
        let Ok(chunk) = frame.into_data() else { continue };
        if body.len() + chunk.len() > limit {
            return Err(ErrorKind::BodyTooLarge.into());
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.to_vec())
}

/// Reads and drops the rest of a body before the request is refused.
///
/// Closing a connection with unread bytes resets it, and the caller may then not receive the
/// response. `limits` and `DISCARD_TIMEOUT` bound the work that a refused caller can cause.
pub async fn discard_body(mut payload: Incoming, limits: BodyLimits) {
    let reading = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = payload.frame().await {
            discarded += frame.data_ref().map_or(0, |chunk| chunk.len());
            if discarded > limits.bytes {
                break;
            }
        }
    };
    let _ = timeout(limits.time.min(DISCARD_TIMEOUT), reading).await;
}

/// Parses a JSON body.
///
/// # Errors
///
/// `BadRequest` with line and column of the fault.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body)
        .map_err(|error| ServeError::with_detail(ErrorKind::BadRequest, format!("JSON: {error}")))
}
