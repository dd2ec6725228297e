//! Client of plain services: look-ups and orders.

use std::net::SocketAddr;
use std::time::Duration;

use super::connection::{ExchangeClient, ExchangeFault};

use ntex::http::Method;
use ntex::time::Millis;

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
    client: &ExchangeClient,
    address: SocketAddr,
    body: &[u8],
    timeout: Duration,
) -> Result<ServiceAnswer, ExchangeFault> {
    exchange(client, address, "/v1/lookups", &[], body, timeout).await
}

/// Sends a non-idempotent order. Must be called at most once per claim.
///
/// # Errors
///
/// `NotSent` only if no connection was established; after that the outcome is unknown.
pub async fn send_order(
    client: &ExchangeClient,
    address: SocketAddr,
    order: &str,
    fence: u64,
    body: &[u8],
    timeout: Duration,
) -> Result<ServiceAnswer, ExchangeFault> {
    let fence = fence.to_string();
    let headers = [("x-order-id", order), ("x-fence", fence.as_str())];
    exchange(client, address, "/v1/orders", &headers, body, timeout).await
}

async fn exchange(
    client: &ExchangeClient,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<ServiceAnswer, ExchangeFault> {
    let mut request =
        client.request(Method::POST, address, path, timeout).await.content_type("application/json");
    for &(name, value) in headers {
        request = request.header(name, value);
    }
    let answer = request
        .send_body(body.to_vec())
        .await
        .map_err(|error| ExchangeFault::from_client(&error))?;
    let status = answer.status().as_u16();
    let body = answer
        .body()
        .limit(ANSWER_LIMIT)
        .timeout(Millis::from(timeout))
        .await
        .map_err(|error| ExchangeFault::MaybeSent(error.to_string()))?;
    Ok(ServiceAnswer { status, body: body.to_vec() })
}
