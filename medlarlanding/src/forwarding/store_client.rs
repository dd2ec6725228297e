//! Client of the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use crate::exchange::{self, Exchange, RequestSender};
use medlarlanding_core::forwarding::StoreEra;
use medlarlanding_platform::store::{self, StoreChanges, StorePage};

use anyhow::{Context, bail};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};

/// Largest answer in bytes; a page contains about 1 MB of items, encoded in base64.
const ANSWER_LIMIT: usize = 8 << 20;
/// Time limit of a call that does not wait for changes. The store answers in 4 ms, but may
/// temporarily be 90 times slower.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for the answer to a watch beyond its waiting time: the answer time of a store that is 90
/// times slower than usual.
const WATCH_MARGIN: Duration = Duration::from_millis(400);

/// An answer and the history of the store to which its revisions belong.
#[derive(Debug)]
pub struct StoreAnswer<T> {
    /// The history, if the store states it.
    pub era: StoreEra,
    /// The answer.
    pub content: T,
}

/// Result of a watch.
#[derive(Debug)]
pub enum WatchAnswer {
    /// Changes after the revision; empty if there were none within the waiting time.
    Changes(StoreChanges),
    /// The store no longer has all changes after the revision.
    HistoryGone,
}

struct StoreConnection {
    sender: RequestSender,
    exchange: Exchange,
}

/// Client that makes one call at a time and opens a new connection after a failure.
pub struct StoreClient {
    address: SocketAddr,
    connection: Option<StoreConnection>,
}

impl StoreClient {
    /// Creates a client without a connection.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Reads one page of the items with a key prefix, beginning after the key `after` or with the
    /// first item.
    ///
    /// # Errors
    ///
    /// Fails if the store refuses, does not answer in time, or sends an invalid page.
    pub async fn read_page(
        &mut self,
        prefix: &str,
        after: Option<&str>,
    ) -> anyhow::Result<StoreAnswer<StorePage>> {
        let answer = self.call(&store::range_path(prefix, after), CALL_TIMEOUT).await?;
        let StoreAnswer { era, content: (status, body) } = answer;
        if status != StatusCode::OK {
            bail!("the store answered with status {status}");
        }
        Ok(StoreAnswer { era, content: store::decode_page(&body)? })
    }

    /// Waits at most `wait` for changes of items with a key prefix after the revision `after`.
    ///
    /// # Errors
    ///
    /// Fails if the store refuses, does not answer in time, or sends invalid changes.
    pub async fn watch(
        &mut self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> anyhow::Result<StoreAnswer<WatchAnswer>> {
        let path = store::watch_path(prefix, after, wait);
        let answer = self.call(&path, wait + WATCH_MARGIN).await?;
        let StoreAnswer { era, content: (status, body) } = answer;
        let content = match status {
            StatusCode::OK => WatchAnswer::Changes(store::decode_changes(&body)?),
            StatusCode::GONE => WatchAnswer::HistoryGone,
            status => bail!("the store answered with status {status}"),
        };
        Ok(StoreAnswer { era, content })
    }

    /// Closes the connection, on which an answer of an earlier history arrived.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    async fn call(
        &mut self,
        path: &str,
        limit: Duration,
    ) -> anyhow::Result<StoreAnswer<(StatusCode, Bytes)>> {
        // The connection is put back only after a complete answer. On the connection of a call that
        // failed or was cancelled, a late answer could be mistaken for that of the next call.
        let mut connection = match self.connection.take().filter(|open| !open.sender.is_closed()) {
            Some(connection) => connection,
            None => self.open().await?,
        };
        let request = Request::builder()
            .method(Method::GET)
            .uri(path)
            .header(HOST, self.address.to_string())
            .body(Full::default())
            .with_context(|| format!("invalid path {path}"))?;
        let exchange = async {
            connection.sender.ready().await?;
            let response = connection.exchange.request(&mut connection.sender, request).await?;
            let status = response.status();
            let era = store::stated_era(response.headers())?;
            let body = Limited::new(response.into_body(), ANSWER_LIMIT).collect().await;
            let body = body
                .map_err(|error| anyhow::anyhow!("cannot read the store's answer: {error}"))?
                .to_bytes();
            anyhow::Ok(StoreAnswer { era, content: (status, body) })
        };
        let answer = tokio::time::timeout(limit, exchange).await.with_context(|| {
            format!("no answer from the store within {} ms", limit.as_millis())
        })??;
        self.connection = Some(connection);
        Ok(answer)
    }

    async fn open(&self) -> anyhow::Result<StoreConnection> {
        let (sender, exchange) =
            exchange::open(self.address, CALL_TIMEOUT).await.map_err(|fault| {
                anyhow::anyhow!("cannot connect to the store at {}: {}", self.address, fault.name())
            })?;
        Ok(StoreConnection { sender, exchange })
    }
}
