//! Client of the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use crate::exchange::{self, Exchange, RequestSender};
use medlarlanding_platform::store::{self, StoreChanges, StorePage};

use anyhow::{Context, bail};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};

/// Largest answer: pages hold about 1 MB of items, in base64.
const ANSWER_LIMIT: usize = 8 << 20;
/// Time limit for a call that does not wait. The store answers in 4 ms; it may be 90 times
/// slower for a while.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for the answer to a watch after its waiting time; that of a store that is 90 times
/// slower than usual.
const WATCH_MARGIN: Duration = Duration::from_millis(400);

/// Result of a watch.
#[derive(Debug)]
pub enum WatchAnswer {
    /// Changes, or none within the time.
    Changes(StoreChanges),
    /// The store no longer holds the history after the revision.
    HistoryGone,
}

struct StoreConnection {
    sender: RequestSender,
    _exchange: Exchange,
}

/// Makes calls one after another on a connection that is opened again after a failure.
pub struct StoreClient {
    address: SocketAddr,
    connection: Option<StoreConnection>,
}

impl StoreClient {
    /// Creates a client without a connection.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Reads one page of items.
    ///
    /// # Errors
    ///
    /// Fails if the store refuses or does not answer in time.
    pub async fn read_page(
        &mut self,
        prefix: &str,
        after: Option<&str>,
    ) -> anyhow::Result<StorePage> {
        let (status, body) = self.call(&store::range_path(prefix, after), CALL_TIMEOUT).await?;
        if status != StatusCode::OK {
            bail!("the store answered {status}");
        }
        store::decode_page(&body)
    }

    /// Waits for changes after a revision, at most for `wait`.
    ///
    /// # Errors
    ///
    /// Fails if the store refuses or does not answer in time.
    pub async fn watch(
        &mut self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> anyhow::Result<WatchAnswer> {
        let path = store::watch_path(prefix, after, wait);
        let (status, body) = self.call(&path, wait + WATCH_MARGIN).await?;
        match status {
            StatusCode::OK => Ok(WatchAnswer::Changes(store::decode_changes(&body)?)),
            StatusCode::GONE => Ok(WatchAnswer::HistoryGone),
            status => bail!("the store answered {status}"),
        }
    }

    async fn call(&mut self, path: &str, limit: Duration) -> anyhow::Result<(StatusCode, Bytes)> {
        // A call that fails or is dropped leaves the connection behind: a later answer on it
        // could be taken for that of another call.
        let mut connection = match self.connection.take().filter(|open| !open.sender.is_closed()) {
            Some(connection) => connection,
            None => self.open().await?,
        };
        let request = Request::builder()
            .method(Method::GET)
            .uri(path)
            .header(HOST, self.address.to_string())
            .body(Full::default())
            .context("path of a call")?;
        let exchange = async {
            connection.sender.ready().await?;
            let response = connection.sender.send_request(request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), ANSWER_LIMIT).collect().await;
            let body = body.map_err(|error| anyhow::anyhow!("body: {error}"))?.to_bytes();
            anyhow::Ok((status, body))
        };
        let answer = tokio::time::timeout(limit, exchange).await.context("no answer in time")??;
        self.connection = Some(connection);
        Ok(answer)
    }

    async fn open(&self) -> anyhow::Result<StoreConnection> {
        let (sender, exchange) = exchange::open(self.address, CALL_TIMEOUT)
            .await
            .map_err(|fault| anyhow::anyhow!("no connection to the store: {}", fault.name()))?;
        Ok(StoreConnection { sender, _exchange: exchange })
    }
}
