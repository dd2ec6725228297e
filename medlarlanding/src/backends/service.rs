//! Client of backend services that are not engines: sends look-ups and orders.

use std::net::SocketAddr;
use std::time::Duration;

use super::connection::OutboundCall;
use crate::exchange::{BodyFraming, ExchangeFault};

use hyper::Method;
use serde::de::IgnoredAny;

/// Maximum size of a service's response body in bytes.
pub const RESPONSE_LIMIT: usize = 1 << 20;

/// Response of a service, which the caller receives unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Body, at most `RESPONSE_LIMIT` bytes.
    pub body: Vec<u8>,
}

/// Sends an idempotent look-up.
///
/// # Errors
///
/// Returns why no complete response was received. The look-up may be sent to another server.
pub async fn look_up(
    address: SocketAddr,
    body: &[u8],
    timeout: Duration,
) -> Result<ServiceResponse, ExchangeFault> {
    exchange(address, "/v1/lookups", &[], body, timeout).await
}

/// Sends a non-idempotent order. Must not be called again for the same claim unless the result
/// was `NotConnected`.
///
/// # Errors
///
/// `NotConnected` only if no connection was established. After any other fault the service may
/// have run the order.
pub async fn send_order(
    address: SocketAddr,
    order: &str,
    fence: u64,
    body: &[u8],
    timeout: Duration,
) -> Result<ServiceResponse, ExchangeFault> {
    let fence = fence.to_string();
    let headers = [("x-order-id", order), ("x-fence", fence.as_str())];
    exchange(address, "/v1/orders", &headers, body, timeout).await
}

async fn exchange(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<ServiceResponse, ExchangeFault> {
    let mut call = OutboundCall::new(Method::POST, path).json(body.to_vec());
    for &(name, value) in headers {
        call = call.header(name, value);
    }
    let response = call.send(address, timeout).await?;
    let (status, framing) = (response.status.as_u16(), response.framing);
    let body = response.collect(RESPONSE_LIMIT, timeout).await?;
    if framing != BodyFraming::Delimited && !is_self_delimited(&body) {
        return Err(ExchangeFault::Broken);
    }
    Ok(ServiceResponse { status, body: body.to_vec() })
}

/// Returns whether a body is a JSON document of which no beginning is one too. Such a body is complete
/// even if only the end of its connection marks its end.
fn is_self_delimited(body: &[u8]) -> bool {
    let is_number =
        body.trim_ascii_start().first().is_some_and(|it| matches!(it, b'-' | b'0'..=b'9'));
    !is_number && serde_json::from_slice::<IgnoredAny>(body).is_ok()
}
