//! Entries of other writers in the list of servers.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use medlarlanding_bench::site::{SiteCall, SiteParams, TestSite};

use hyper::Method;
use serde_json::{Value, json};

const INSTANCES: usize = 4;

/// Returns entries that look like those of servers at an address and are none, and a deeply nested one.
fn odd_entries(address: &str) -> Vec<String> {
    let sound = json!({
        "service": "orders", "address": address, "zone": "z0", "version": "v1", "slots": 24,
        "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1,
    });
    let fields: Vec<String> = sound
        .as_object()
        .expect("an object")
        .keys()
        .filter(|name| *name != "born")
        .cloned()
        .collect();
    let changed = |name: &str, value: Option<Value>| {
        let mut entry = sound.clone();
        let fields = entry.as_object_mut().expect("an object");
        match value {
            Some(value) => drop(fields.insert(name.to_owned(), value)),
            None => drop(fields.remove(name)),
        }
        entry.to_string()
    };
    let mut entries: Vec<String> = fields.iter().map(|name| changed(name, None)).collect();
    for value in [Value::Null, json!([[1]]), json!({"a": 1}), json!(true)] {
        entries.extend(fields.iter().map(|name| changed(name, Some(value.clone()))));
        entries.push(changed("born", Some(value)));
    }
    entries.push(changed("service", Some(json!("x".repeat(500_000)))));
    entries.push(changed("zone", Some(json!("x".repeat(500_000)))));
    entries.push(changed("state", Some(json!("asleep"))));
    let port = address.rsplit_once(':').expect("a port").1;
    entries.push(sound.to_string().replace(port, "65536"));
    entries.push(sound.to_string().replace(port, "0"));
    for number in ["1e400", "18446744073709551616", "-1", "99999999999999999999999999"] {
        entries.push(sound.to_string().replace(":24", &format!(":{number}")));
    }
    entries.push("[".repeat(200_000));
    entries.push(sound.to_string().replace("\"v1\"", &"[".repeat(200_000)));
    entries.push(String::new());
    entries
}

/// Guards against requests that are sent to the address of an entry that is not a server's (review case
/// 1), and against instances that end, or follow the list no longer, because of one.
#[test]
fn odd_entries_name_no_server_and_hold_up_nothing() {
    let site = TestSite::start(SiteParams {
        instances: INSTANCES,
        plain_servers: 2,
        engines: 0,
        grace_s: 8,
    });
    let site = site.expect("a deployment");
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address").to_string();
    let reached = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&reached);
    std::thread::spawn(move || {
        for _ in listener.incoming().flatten() {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    });
    let entries = odd_entries(&address);
    for (number, entry) in entries.iter().enumerate() {
        site.state.put(&format!("servers/odd-{number}"), entry.as_bytes());
    }
    // Ids that cannot be named in a header, or that have a meaning in a query.
    let sound = json!({
        "service": "orders", "address": address, "zone": "z0", "version": "v1", "slots": 24,
        "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1,
    });
    for id in ["a b", "a\r\nX-Hold: 1", "\u{e9}", ""] {
        site.state.put(&format!("servers/{id}"), sound.to_string().as_bytes());
    }
    site.state.put("servers/zz&prefix=op#%", b"{}");
    // The changes after them are followed.
    site.drain_server("orders-0");
    let is_known =
        |index| site.log(index).contains("server=orders-0 service=orders state=draining");
    site.wait_until("a later change", || (0..INSTANCES).all(is_known)).expect("a change");
    for index in 0..INSTANCES {
        for number in 0..30 {
            let id = format!("id-{index}-{number}");
            let order = SiteCall::new(Method::POST, "/order/a", &id);
            let answer = order.send(site.caller_address(index)).expect("an answer");
            assert_eq!(answer.status, 200, "{}", site.log(index));
            assert_eq!(site.state.runs(&id)[0].server, "orders-1");
        }
        assert_eq!(site.log(index).matches("process_started").count(), 1, "it ended");
    }
    assert_eq!(reached.load(Ordering::Relaxed), 0, "connections to the address of odd entries");
}

/// Guards against an instance that starts while the list has odd entries and does not become ready, or
/// reads no further page of the list after one.
#[test]
fn instances_that_start_beside_odd_entries_are_ready() {
    let mut site =
        TestSite::start(SiteParams { instances: 1, plain_servers: 2, engines: 0, grace_s: 8 })
            .expect("a deployment");
    // Pages have three entries, so odd keys are the last ones of some pages.
    for (number, entry) in odd_entries("127.0.0.1:9").iter().enumerate() {
        site.state.put(&format!("servers/a {number}&#%\u{e9}"), entry.as_bytes());
    }
    site.signal(0, rustix::process::Signal::KILL).expect("a signal");
    site.wait_exit(0).expect("an exit");
    site.spawn_instance(0).expect("a process");
    site.wait_until("a ready instance", || site.is_ready(0)).expect("ready");
    let order = SiteCall::new(Method::POST, "/order/a", "id-1");
    let answer = order.send(site.caller_address(0)).expect("an answer");
    assert_eq!(answer.status, 200, "{}", site.log(0));
}
