//! Client of plain services: look-ups and orders.

use std::net::SocketAddr;
use std::time::Duration;

use super::connection::OutboundCall;
use crate::exchange::ExchangeFault;

use hyper::Method;

/// Largest answer of a plain service in bytes.
pub const ANSWER_LIMIT: usize = 1 << 20;

/// Answer of a plain service, passed on as it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body, at most `ANSWER_LIMIT` bytes.
    pub body: Vec<u8>,
}

/// Sends an idempotent look-up.
///
/// # Errors
///
/// Returns how the exchange failed. The caller may repeat it elsewhere.
pub async fn look_up(
    address: SocketAddr,
    body: &[u8],
    timeout: Duration,
) -> Result<ServiceAnswer, ExchangeFault> {
    exchange(address, "/v1/lookups", &[], body, timeout).await
}

/// Sends a non-idempotent order. Must be called at most once per claim.
///
/// # Errors
///
/// `NotConnected` only if no connection was established; after that the outcome is unknown.
pub async fn send_order(
    address: SocketAddr,
    order: &str,
    fence: u64,
    body: &[u8],
    timeout: Duration,
) -> Result<ServiceAnswer, ExchangeFault> {
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
) -> Result<ServiceAnswer, ExchangeFault> {
    let mut call = OutboundCall::new(Method::POST, path).json(body.to_vec());
    for &(name, value) in headers {
        call = call.header(name, value);
    }
    let answer = call.send(address, timeout).await?;
    let status = answer.status.as_u16();
    let body = answer.collect(ANSWER_LIMIT, timeout).await?;
    Ok(ServiceAnswer { status, body: body.to_vec() })
}
