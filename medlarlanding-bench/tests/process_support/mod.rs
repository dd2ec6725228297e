//! Support for the process tests: clusters, calls and checked streams.

#![allow(dead_code)] // Each test file uses only some of the items.

use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

use medlarlanding_bench::client::{Call, CallClient, CallResponse, EventStream, OpenResponse};
use medlarlanding_bench::cluster::{CUSTOMERS, Cluster, ClusterParams, credential};
use medlarlanding_bench::stand_ins::tokens::TokenChecker;

use hyper::Method;
use serde_json::{Value, json};

/// Time limit of each wait. It is long because debug builds share the machine with other work.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of clusters that run at the same time in one test process.
const MAX_CLUSTERS: usize = 4;

static RUNNING_CLUSTERS: Mutex<usize> = Mutex::new(0);
static CLUSTER_ENDED: Condvar = Condvar::new();

/// Permit to run a cluster; at most `MAX_CLUSTERS` exist at the same time.
struct ClusterSlot;

impl ClusterSlot {
    fn acquire() -> Self {
        let mut running = RUNNING_CLUSTERS.lock().unwrap_or_else(PoisonError::into_inner);
        while *running >= MAX_CLUSTERS {
            running = CLUSTER_ENDED.wait(running).unwrap_or_else(PoisonError::into_inner);
        }
        *running += 1;
        Self
    }
}

impl Drop for ClusterSlot {
    fn drop(&mut self) {
        *RUNNING_CLUSTERS.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        CLUSTER_ENDED.notify_one();
    }
}

/// A cluster whose instances are ready, with a client.
pub struct ClusterFixture {
    pub cluster: Cluster,
    pub client: CallClient,
    // The last field, so that it is dropped after the cluster's processes have exited.
    _slot: ClusterSlot,
}

impl ClusterFixture {
    /// Starts a cluster and waits until its instances are ready. Waits first while
    /// `MAX_CLUSTERS` others run.
    pub async fn start(params: ClusterParams) -> Self {
        let slot = ClusterSlot::acquire();
        let mut cluster = Cluster::start(params).expect("a cluster");
        let client = CallClient::build().await.expect("a client");
        cluster.wait_ready(&client).await.expect("ready instances");
        Self { cluster, client, _slot: slot }
    }

    /// Starts a cluster and waits until it accepts orders.
    pub async fn start_with_orders(params: ClusterParams) -> Self {
        let fixture = Self::start(params).await;
        fixture.cluster.wait_orders_accepted(&fixture.client).await.expect("order keys");
        fixture
    }

    /// Returns the address at which an instance accepts callers.
    pub fn target(&self, index: usize) -> SocketAddr {
        self.cluster.instances[index].addresses.callers
    }

    /// Sends a call to an instance and returns the whole response.
    pub async fn call(&self, index: usize, call: &Call) -> CallResponse {
        self.client.call(self.target(index), call, TIMEOUT).await.expect("a response")
    }

    /// Sends a call that opens an event stream to an instance.
    pub async fn open(&self, index: usize, call: &Call) -> EventStream {
        match self.client.open(self.target(index), call, TIMEOUT).await {
            Ok(OpenResponse::Stream(stream)) => *stream,
            Ok(OpenResponse::Complete(response)) => panic!("refused: {:?}", response.json()),
            Err(fault) => panic!("no stream: {fault:?}"),
        }
    }

    /// Lets an instance mint an order key for a desk.
    pub async fn mint(&self, index: usize, desk: &str) -> String {
        let call = Call::new(Method::POST, format!("/v1/desks/{desk}/order-keys"));
        let response = self.call(index, &call.bearer(&default_credential())).await;
        response.json()["key"].as_str().unwrap_or_else(|| panic!("{response:?}")).to_owned()
    }
}

/// Returns the credential of the first customer, which most tests use.
pub fn default_credential() -> String {
    credential(CUSTOMERS[0])
}

/// Returns a prompt for which the engine stand-ins generate `tokens` tokens.
pub fn prompt(tokens: u32) -> String {
    format!("describe the urn #tokens={tokens} please")
}

/// Returns a call that starts a generation with the prompt of `tokens` tokens.
pub fn generation_call(desk: &str, tokens: u32, delivery: &str) -> Call {
    let body = json!({"prompt": prompt(tokens), "delivery": delivery});
    Call::post(format!("/v1/desks/{desk}/generations"), &body).bearer(&default_credential())
}

/// Returns a call that submits an order.
pub fn order_call(desk: &str, key: &str, reference: &str) -> Call {
    Call::post(format!("/v1/desks/{desk}/orders"), &json!({"reference": reference}))
        .bearer(&default_credential())
        .header("idempotency-key", key)
}

/// Reads and checks the tokens of one generation over one or more connections.
pub struct ResponseReader {
    pub checker: TokenChecker,
    pub last_id: String,
}

impl ResponseReader {
    pub fn new(tokens: u32) -> Self {
        Self { checker: TokenChecker::new(&prompt(tokens)), last_id: String::new() }
    }

    /// Reads tokens until the last one received has the number `count`.
    pub async fn read_until(&mut self, stream: &mut EventStream, count: u64) {
        while self.checker.last() < count {
            let event = stream
                .next(TIMEOUT)
                .await
                .expect("an event")
                .expect("an event before the end of the stream");
            assert_eq!(event.name, "token", "{event:?}");
            self.take(&event.id, &event.data);
        }
    }

    /// Reads until the first event that is not a token. Returns its name and data, or why the
    /// stream broke.
    pub async fn read_to_last_event(
        &mut self,
        stream: &mut EventStream,
    ) -> Result<(String, Value), String> {
        loop {
            let event =
                stream.next(TIMEOUT).await?.ok_or("the stream ended without an end event")?;
            if event.name == "token" {
                self.take(&event.id, &event.data);
                continue;
            }
            let data = serde_json::from_str(&event.data).expect("event data is JSON");
            return Ok((event.name, data));
        }
    }

    /// Reads to the end event and checks that every token arrived once and in order.
    pub async fn read_and_check(&mut self, stream: &mut EventStream, tokens: u64) {
        let (name, data) = self.read_to_last_event(stream).await.expect("a complete stream");
        assert_eq!((name.as_str(), &data), ("end", &json!({"tokens": tokens, "finish": "stop"})));
        self.checker.finish(tokens);
        let faults = self.checker.faults();
        assert!(faults.is_clean(), "{faults:?}");
        assert_eq!(self.checker.last(), tokens);
    }

    fn take(&mut self, id: &str, data: &str) {
        let data: Value = serde_json::from_str(data).expect("event data is JSON");
        let number = id.rsplit('.').next().and_then(|seq| seq.parse().ok());
        self.checker.take(number, data["text"].as_str().expect("text"));
        self.last_id = id.to_owned();
    }
}
