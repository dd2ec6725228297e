//! Bounded reading of request bodies.

use std::time::Duration;

use medlarlanding_core::{ErrorKind, Result, ServeError};

use ntex::time::timeout;
use ntex::util::BytesMut;
use ntex::web::types::Payload;
use serde::de::DeserializeOwned;

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
pub async fn read_body(mut payload: Payload, limits: BodyLimits) -> Result<Vec<u8>> {
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.recv().await {
            let chunk = chunk.map_err(|error| {
                ServeError::with_detail(ErrorKind::BadRequest, format!("body: {error}"))
            })?;
            if body.len() + chunk.len() > limits.bytes {
                return Err(ErrorKind::BodyTooLarge.into());
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.to_vec())
    };
    timeout(limits.time, read).await.unwrap_or(Err(ErrorKind::ReadTimeout.into()))
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
