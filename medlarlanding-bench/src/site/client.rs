//! HTTP client of a test deployment.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{API_KEY, HOST, WAIT_TIMEOUT};

use anyhow::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Frame;
use hyper::client::conn::http1;
use hyper::{HeaderMap, Method, Request};
use hyper_util::rt::TokioIo;
use socket2::SockRef;

/// Receive buffer of a caller that reads in bursts, so that little is under way beside it.
const BURST_RECEIVE_BUFFER: usize = 256 << 10;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct SiteCall {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    disconnect_after: Option<Duration>,
    bursts: Option<(usize, Duration)>,
}

/// What a caller received.
#[derive(Clone, Debug)]
pub struct SiteAnswer {
    /// Status of the answer.
    pub status: u16,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Part of the body that was received.
    pub body: String,
    /// Whether the body was received up to its regular end.
    pub is_complete: bool,
    /// Time from the start of the connection to the end of the body.
    pub elapsed: Duration,
}

impl SiteAnswer {
    /// Returns a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the ids of a stream's events in the order of arrival.
    pub fn event_ids(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

impl SiteCall {
    /// Creates a request with the customer's key, a request id, a deadline and token counts.
    pub fn new(method: Method, path: &str, id: &str) -> Self {
        let call = Self::get(path).header("x-request-id", id).header("x-deadline-ms", "15000");
        let call = call.header("authorization", &format!("Token {API_KEY}"));
        Self { method, ..call.header("x-token-count", "1000,80") }
    }

    /// Creates a GET request whose only header is the host.
    pub fn get(path: &str) -> Self {
        let headers = vec![("host".to_owned(), HOST.to_owned())];
        Self {
            method: Method::GET,
            path: path.to_owned(),
            headers,
            body: Vec::new(),
            disconnect_after: None,
            bursts: None,
        }
    }

    /// Sets a header and replaces an earlier one of this name.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// Closes the connection if the body is not complete this long after the answer's headers.
    pub fn disconnect_after(mut self, time: Duration) -> Self {
        self.disconnect_after = Some(time);
        self
    }

    /// Reads the answer in bursts of about this many bytes, with a pause before each.
    pub fn read_in_bursts(mut self, bytes: usize, pause: Duration) -> Self {
        self.bursts = Some((bytes, pause));
        self
    }

    /// Sends the request on a new connection and reads the answer.
    ///
    /// # Errors
    ///
    /// Fails if no answer headers are received.
    pub fn send(&self, address: SocketAddr) -> anyhow::Result<SiteAnswer> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(async {
            tokio::time::timeout(WAIT_TIMEOUT * 2, self.exchange(address))
                .await
                .context("no answer")?
        })
    }

    async fn exchange(&self, address: SocketAddr) -> anyhow::Result<SiteAnswer> {
        let started = Instant::now();
        let stream = tokio::net::TcpStream::connect(address).await?;
        if self.bursts.is_some() {
            SockRef::from(&stream).set_recv_buffer_size(BURST_RECEIVE_BUFFER)?;
        }
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(connection);
        let mut request = Request::builder().method(self.method.clone()).uri(self.path.as_str());
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(Bytes::from(self.body.clone())))?;
        let response = sender.send_request(request).await?;
        let (parts, mut body) = response.into_parts();
        let mut received = Vec::new();
        let mut is_complete = true;
        let reading = async {
            let mut burst = 0;
            while let Some(frame) = body.frame().await {
                if let Some((bytes, pause)) = self.bursts {
                    burst += frame.as_ref().ok().and_then(Frame::data_ref).map_or(0, Bytes::len);
                    if burst >= bytes {
                        burst = 0;
                        // Stops the connection's task as well.
                        std::thread::sleep(pause);
                    }
                }
                match frame.map(|frame| frame.into_data()) {
                    Ok(Ok(data)) => received.extend_from_slice(&data),
                    Ok(Err(_)) => {},
                    Err(_) => {
                        is_complete = false;
                        break;
                    },
                }
            }
        };
        let limit = self.disconnect_after.unwrap_or(WAIT_TIMEOUT * 2);
        if tokio::time::timeout(limit, reading).await.is_err() {
            is_complete = false;
        }
        let elapsed = started.elapsed();
        driver.abort();
        // A body of several hundred megabytes is not copied.
        let body = String::from_utf8(received)
            .unwrap_or_else(|error| String::from_utf8_lossy(error.as_bytes()).into_owned());
        Ok(SiteAnswer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body,
            is_complete,
            elapsed,
        })
    }
}
