//! What the process tests share: a gate for clusters, calls and checked streams.

#![allow(dead_code)] // Each test file uses a part.

use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

use medlarlanding_bench::client::{Answer, Call, CallClient, EventStream, Opened};
use medlarlanding_bench::cluster::{CUSTOMERS, Cluster, ClusterParams, credential};
use medlarlanding_bench::stand_ins::tokens::TokenChecker;

use hyper::Method;
use serde_json::{Value, json};

/// Limit of each wait. Generous, because debug builds share the machine with other work.
pub const WAIT: Duration = Duration::from_secs(20);
/// Clusters that run at the same time in one test process.
const CLUSTERS: usize = 4;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// A place among the clusters that may run at the same time.
struct ClusterPlace;

impl ClusterPlace {
    fn take() -> Self {
        let mut running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        while *running >= CLUSTERS {
            running = ENDED.wait(running).unwrap_or_else(PoisonError::into_inner);
        }
        *running += 1;
        Self
    }
}

impl Drop for ClusterPlace {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}

/// A cluster that is ready, with a client.
pub struct Bed {
    pub cluster: Cluster,
    pub client: CallClient,
    // Dropped last, so that the next cluster starts after this one has ended.
    _place: ClusterPlace,
}

impl Bed {
    /// Starts a cluster and waits until its instances are ready.
    pub async fn start(params: ClusterParams) -> Self {
        let place = ClusterPlace::take();
        let mut cluster = Cluster::start(params).expect("a cluster");
        let client = CallClient::build().await.expect("a client");
        cluster.wait_ready(&client).await.expect("ready instances");
        Self { cluster, client, _place: place }
    }

    /// Starts a cluster and waits until it takes orders.
    pub async fn start_with_orders(params: ClusterParams) -> Self {
        let bed = Self::start(params).await;
        bed.cluster.wait_orders(&bed.client).await.expect("order keys");
        bed
    }

    pub fn target(&self, index: usize) -> SocketAddr {
        self.cluster.instances[index].addresses.callers
    }

    pub async fn call(&self, index: usize, call: &Call) -> Answer {
        self.client.call(self.target(index), call, WAIT).await.expect("an answer")
    }

    pub async fn open(&self, index: usize, call: &Call) -> EventStream {
        match self.client.open(self.target(index), call, WAIT).await {
            Ok(Opened::Stream(stream)) => *stream,
            Ok(Opened::Answer(answer)) => panic!("refused: {:?}", answer.json()),
            Err(fault) => panic!("no stream: {fault:?}"),
        }
    }

    /// Mints an order key for a desk.
    pub async fn mint(&self, index: usize, desk: &str) -> String {
        let mint = Call::new(Method::POST, format!("/v1/desks/{desk}/order-keys"));
        let answer = self.call(index, &mint.bearer(&owner())).await;
        answer.json()["key"].as_str().unwrap_or_else(|| panic!("{answer:?}")).to_owned()
    }
}

/// Gets the credential that most tests use.
pub fn owner() -> String {
    credential(CUSTOMERS[0])
}

/// Writes a prompt for which the engines produce `tokens` tokens.
pub fn prompt(tokens: u32) -> String {
    format!("describe the urn #tokens={tokens} please")
}

/// Creates a call that starts a generation.
pub fn generation(desk: &str, tokens: u32, delivery: &str) -> Call {
    let body = json!({"prompt": prompt(tokens), "delivery": delivery});
    Call::post(format!("/v1/desks/{desk}/generations"), &body).bearer(&owner())
}

/// Creates a call that submits an order.
pub fn order(desk: &str, key: &str, reference: &str) -> Call {
    Call::post(format!("/v1/desks/{desk}/orders"), &json!({"reference": reference}))
        .bearer(&owner())
        .header("idempotency-key", key)
}

/// One response read over one or more connections.
pub struct Reading {
    pub checker: TokenChecker,
    pub last_id: String,
}

impl Reading {
    pub fn new(tokens: u32) -> Self {
        Self { checker: TokenChecker::new(&prompt(tokens)), last_id: String::new() }
    }

    /// Reads tokens until `count` were received in all.
    pub async fn read_until(&mut self, stream: &mut EventStream, count: u64) {
        while self.checker.last() < count {
            let event = stream.next(WAIT).await.expect("an event").expect("no end yet");
            assert_eq!(event.name, "token", "{event:?}");
            self.take(&event.id, &event.data);
        }
    }

    /// Reads until the stream ends: the data of its last event, or why it broke.
    pub async fn read_out(&mut self, stream: &mut EventStream) -> Result<(String, Value), String> {
        loop {
            let event = stream.next(WAIT).await?.ok_or("ended without an end event")?;
            if event.name == "token" {
                self.take(&event.id, &event.data);
                continue;
            }
            let data = serde_json::from_str(&event.data).expect("event data is JSON");
            return Ok((event.name, data));
        }
    }

    /// Reads to the end event and checks that every token came once and in order.
    pub async fn read_whole(&mut self, stream: &mut EventStream, tokens: u64) {
        let (name, data) = self.read_out(stream).await.expect("a complete stream");
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
