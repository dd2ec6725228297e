//! Stand-in for the platform's store: paged range reads and long-polling watches.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use super::server::serve_connections;
use super::state::{SiteState, StoreMode, StoredItem};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};

/// Items per page; small so that readers need more than one page.
const PAGE_ITEMS: usize = 3;

/// Starts the store on its own thread.
pub(super) fn start(listener: TcpListener, state: Arc<SiteState>) -> anyhow::Result<()> {
    let stopped = state.stopped.subscribe();
    serve_connections(listener, stopped, move |request| answer(Arc::clone(&state), request))
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

async fn answer(
    state: Arc<SiteState>,
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
    let is_refused = refuses(state.lock().store_mode, &prefix);
    let (status, body) = match request.uri().path() {
        _ if is_refused => (503, json!({})),
        "/-/kv-range" => (200, range_page(&state, &prefix, after.as_deref())),
        "/-/kv-watch" => {
            let after: u64 = after.and_then(|text| text.parse().ok()).unwrap_or(0);
            let wait =
                query_field(&request, "waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
            watch(&state, &prefix, after, Duration::from_millis(wait)).await
        },
        _ => (404, json!({})),
    };
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    Ok(response)
}

fn refuses(mode: StoreMode, prefix: &str) -> bool {
    match mode {
        StoreMode::Available => false,
        StoreMode::Unavailable => true,
        StoreMode::RefusesServers => prefix.starts_with("servers/"),
    }
}

fn range_page(state: &SiteState, prefix: &str, after: Option<&str>) -> Value {
    let inner = state.lock();
    let present = |(key, stored): &(&String, &StoredItem)| {
        key.starts_with(prefix)
            && stored.value.is_some()
            && after.is_none_or(|after| key.as_str() > after)
    };
    let items: Vec<Value> =
        inner.items.iter().filter(present).map(|(key, stored)| item_json(key, stored)).collect();
    json!({"entries": items[..items.len().min(PAGE_ITEMS)], "hasMore": items.len() > PAGE_ITEMS,
        "storeRevision": inner.revision})
}

async fn watch(state: &SiteState, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
    let mut changes = state.changes.subscribe();
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        {
            let inner = state.lock();
            if refuses(inner.store_mode, prefix) {
                return (503, json!({}));
            }
            if after < inner.discarded {
                return (410, json!({}));
            }
            let events: Vec<Value> = inner
                .items
                .iter()
                .filter(|(key, stored)| key.starts_with(prefix) && stored.revision > after)
                .map(|(key, stored)| item_json(key, stored))
                .collect();
            if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                return (200, json!({"events": events, "storeRevision": inner.revision}));
            }
        }
        // Returns on a change or at the deadline; the loop checks which.
        let _ = tokio::time::timeout_at(deadline, changes.changed()).await;
    }
}
