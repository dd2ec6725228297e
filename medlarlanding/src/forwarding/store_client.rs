//! Client of the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use crate::exchange;
use medlarlanding_platform::store::{self, StoreChanges, StorePage};

use anyhow::{Context, bail};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;

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
    sender: SendRequest<Empty<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for StoreConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
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
            .body(Empty::new())
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
        let stream = exchange::connect(self.address, CALL_TIMEOUT)
            .await
            .map_err(|_| anyhow::anyhow!("no connection to the store"))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the store ended: {error}");
            }
        });
        Ok(StoreConnection { sender, driver })
    }
}
