//! Deployment, routes and requests that the tests of answers of ending servers share.

use medlarlanding_bench::site::{
    HEALTH_PATH, PART_BYTES_HEADER, PARTS_HEADER, SiteAnswer, SiteCall, SiteParams, TestSite,
};

use hyper::Method;
use serde_json::{Value, json};

/// Instances of the deployment.
pub const INSTANCES: usize = 3;

/// A kind of request and the size of its answer.
#[derive(Clone, Copy)]
pub struct KindCase {
    /// Name of the routes.
    pub route: &'static str,
    /// Kind of the routes.
    pub kind: &'static str,
    /// The servers are engines.
    pub is_engine: bool,
    pub has_prompt: bool,
    /// Parts of the answer; the server ends after half of them.
    pub parts: usize,
    /// Bytes of a part of an answer that is no stream.
    pub part_bytes: usize,
}

pub fn start_site() -> TestSite {
    let params = SiteParams { instances: INSTANCES, plain_servers: 0, engines: 0, grace_s: 8 };
    TestSite::start(params).expect("a deployment")
}

/// Publishes a route for each service, with the path `/ROUTE/SERVICE/`.
pub fn publish_services(site: &mut TestSite, services: &[String], case: KindCase, can_move: bool) {
    let routes = services.iter().map(|service| {
        json!({"name": format!("{}-{service}", case.route), "host": "desk.example",
            "prefix": format!("/{}/{service}/", case.route), "routeType": case.kind,
            "timeoutMs": 20_000, "goalMs": 1_000, "priority": 1, "service": service,
            "maxAttempts": 2, "public": false})
    });
    let routes: Vec<Value> = routes.collect();
    let service = |name: &String| match case.is_engine {
        true => json!({"name": name, "maxConnections": 100, "engine": {"slots": 24,
            "kvCapacity": 30_000, "kvBytes": 1, "linkMbps": 1_000, "moves": can_move}}),
        false => json!({"name": name, "maxConnections": 100, "healthPath": HEALTH_PATH}),
    };
    let services: Vec<Value> = services.iter().map(service).collect();
    let version = site.publish_config(|config| {
        config["routes"] = Value::Array(routes);
        config["services"] = Value::Array(services);
    });
    let is_accepted = |instance| {
        let line = format!("forward_config_accepted version={version} ");
        site.log(instance).contains(&line)
    };
    site.wait_until("the configuration", || (0..INSTANCES).all(is_accepted)).expect("a version");
}

/// Waits until instances know this number of entries in a state.
pub fn wait_for_entries(site: &TestSite, instances: usize, state: &str, count: usize) {
    let text = format!("state={state} ");
    let is_known = |instance| site.log(instance).matches(&text).count() >= count;
    site.wait_until("server entries", || (0..instances).all(is_known)).expect("entries");
}

pub fn call(case: KindCase, service: &str, number: usize) -> SiteCall {
    let path = format!("/{}/{service}/a", case.route);
    let call = SiteCall::new(Method::POST, &path, &format!("id-{number}"))
        .header(PARTS_HEADER, &case.parts.to_string())
        .header(PART_BYTES_HEADER, &case.part_bytes.to_string());
    match case.has_prompt {
        true => call.header("x-prefix-hash", &format!("a{number:x}:300,b{number:x}:100")),
        false => call,
    }
}

/// Returns whether the caller received all parts of the answer and its end.
pub fn is_whole(case: KindCase, answer: &SiteAnswer) -> bool {
    let length = match case.kind {
        "stream" => case.parts == answer.event_ids().len(),
        _ => answer.body.len() == case.parts * case.part_bytes,
    };
    answer.status == 200 && answer.is_complete && length
}
