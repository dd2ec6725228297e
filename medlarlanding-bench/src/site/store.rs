//! Stand-in for the platform's store: paged range reads and long-polling watches.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use super::restore::{ChannelState, StoreCopy};
use super::server::accept_connections;
use super::state::{SiteState, StoreMode, StoredItem};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};

/// Items per page; small so that readers need more than one page.
const PAGE_ITEMS: usize = 3;

/// Header with the number of the store's history.
const ERA_HEADER: &str = "store-era";

/// Starts the store on its own thread.
pub(super) fn start(listener: TcpListener, state: Arc<SiteState>) -> anyhow::Result<()> {
    let stopped = state.stopped.subscribe();
    accept_connections(listener, stopped, move |stream| {
        let state = Arc::clone(&state);
        async move {
            let period = state.lock().copies.period;
            let service = service_fn(|request| answer(Arc::clone(&state), period, request));
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Serving fails when an instance disconnects, which is expected.
            let _ = serving.await;
        }
    })
}

fn query_field(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    fields.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}

fn item_json(key: &str, stored: &StoredItem) -> Value {
    match &stored.value {
        Some(value) => json!({"key": key, "value": STANDARD.encode(value),
            "revision": stored.revision, "created": stored.revision, "lease": 0}),
        None => json!({"key": key, "revision": stored.revision, "removed": true}),
    }
}

/// Answers a request on a connection that was opened in the given period.
async fn answer(
    state: Arc<SiteState>,
    period: u64,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let prefix = query_field(&request, "prefix").unwrap_or_default();
    let after = query_field(&request, "after");
    state.lock().store_calls += 1;
    if request.uri().path() == "/-/kv-range" && prefix.starts_with("servers/") && after.is_some() {
        state.lock().further_server_pages += 1;
    }
    if request.uri().path() == "/-/kv-watch" {
        state.lock().watches += 1;
    }
    let channel = state.lock().channel(period);
    let stale = match channel {
        ChannelState::Open => None,
        ChannelState::Silent => std::future::pending().await,
        ChannelState::Stale(copy) => Some(copy),
    };
    let is_refused = refuses(state.lock().store_mode, &prefix);
    let wait = query_field(&request, "waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
    let wait = Duration::from_millis(wait);
    let (status, body, era) = match (request.uri().path(), &stale) {
        _ if is_refused => (503, json!({}), current_era(&state)),
        ("/-/kv-range", Some(copy)) => {
            (200, page(&copy.items, copy.revision, &prefix, after.as_deref()), copy.era)
        },
        ("/-/kv-range", None) => {
            let inner = state.lock();
            (200, page(&inner.items, inner.revision, &prefix, after.as_deref()), inner.era)
        },
        ("/-/kv-watch", Some(copy)) => stale_watch(copy, wait).await,
        ("/-/kv-watch", None) => {
            let after: u64 = after.and_then(|text| text.parse().ok()).unwrap_or(0);
            watch(&state, period, &prefix, after, wait).await
        },
        _ => (404, json!({}), current_era(&state)),
    };
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    if !state.lock().hides_era {
        response.headers_mut().insert(ERA_HEADER, HeaderValue::from(era));
    }
    Ok(response)
}

fn current_era(state: &SiteState) -> u64 {
    state.lock().era
}

/// Answers a watch on a connection to the store as it was before a restore.
async fn stale_watch(copy: &StoreCopy, wait: Duration) -> (u16, Value, u64) {
    tokio::time::sleep(wait).await;
    (200, json!({"events": [], "storeRevision": copy.revision}), copy.era)
}

fn refuses(mode: StoreMode, prefix: &str) -> bool {
    match mode {
        StoreMode::Available | StoreMode::Away => false,
        StoreMode::Unavailable => true,
        StoreMode::RefusesServers => prefix.starts_with("servers/"),
    }
}

fn page(
    items: &BTreeMap<String, StoredItem>,
    revision: u64,
    prefix: &str,
    after: Option<&str>,
) -> Value {
    let present = |(key, stored): &(&String, &StoredItem)| {
        key.starts_with(prefix)
            && stored.value.is_some()
            && after.is_none_or(|after| key.as_str() > after)
    };
    let items: Vec<Value> =
        items.iter().filter(present).map(|(key, stored)| item_json(key, stored)).collect();
    json!({"entries": items[..items.len().min(PAGE_ITEMS)], "hasMore": items.len() > PAGE_ITEMS,
        "storeRevision": revision})
}

async fn watch(
    state: &SiteState,
    period: u64,
    prefix: &str,
    after: u64,
    wait: Duration,
) -> (u16, Value, u64) {
    let mut changes = state.changes.subscribe();
    let now = tokio::time::Instant::now;
    let deadline = now() + wait;
    loop {
        let channel = state.lock().channel(period);
        match channel {
            ChannelState::Open => {},
            ChannelState::Silent => std::future::pending().await,
            ChannelState::Stale(copy) => return stale_watch(&copy, deadline - now()).await,
        }
        {
            let inner = state.lock();
            let era = inner.era;
            if refuses(inner.store_mode, prefix) {
                return (503, json!({}), era);
            }
            if after < inner.discarded || after > inner.revision {
                return (410, json!({}), era);
            }
            let events: Vec<Value> = inner
                .items
                .iter()
                .filter(|(key, stored)| key.starts_with(prefix) && stored.revision > after)
                .map(|(key, stored)| item_json(key, stored))
                .collect();
            if !events.is_empty() || now() >= deadline {
                return (200, json!({"events": events, "storeRevision": inner.revision}), era);
            }
        }
        // Returns on a change or at the deadline; the loop checks which.
        let _ = tokio::time::timeout_at(deadline, changes.changed()).await;
    }
}
