//! Bounded reading of request bodies.

use std::time::Duration;

use medlarlanding_core::{ErrorKind, Result, ServeError};

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// Longest time for which the rest of a refused body is read.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Limits for reading one request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest body in bytes.
    pub bytes: usize,
    /// Longest time from the end of the headers to the end of the body.
    pub time: Duration,
}

/// Reads a whole body within the limits.
///
/// # Errors
///
/// `BodyTooLarge` or `ReadTimeout` past a limit, `BadRequest` if the caller ends early.
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
/// Closing a connection with bytes unread resets it, and the caller may then lose the answer.
/// The limits bound what a caller can make the instance read for nothing.
pub async fn discard_body(mut payload: Incoming, limits: BodyLimits) {
    let drain = async {
        let mut dropped = 0;
        while let Some(Ok(frame)) = payload.frame().await {
            dropped += frame.data_ref().map_or(0, |chunk| chunk.len());
            if dropped > limits.bytes {
                break;
            }
        }
    };
    let _ = timeout(limits.time.min(DISCARD_TIME), drain).await;
}

/// Parses a JSON body.
///
/// # Errors
///
/// `BadRequest` with line and column.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body)
        .map_err(|error| ServeError::with_detail(ErrorKind::BadRequest, format!("JSON: {error}")))
}
