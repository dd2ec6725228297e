//! The example configurations parse without faults and describe the two current deployments.

use std::path::PathBuf;

use medlarlanding_core::cases;
use medlarlanding_core::config::{ConfigTree, DeliveryMode, DeskObjective, credential_digest};

struct Deployment {
    file: &'static str,
    engines: usize,
    services: usize,
    objective: DeskObjective,
    desks: &'static [&'static str],
    /// Name of the desk that takes orders.
    orders: &'static str,
}

fn read(file: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../examples").join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn check_deployment(case: Deployment) {
    let text = read(case.file);
    let tree = ConfigTree::parse(&text).unwrap_or_else(|faults| {
        panic!(
            "{}",
            faults.iter().map(|fault| format!("{}:{fault}\n", case.file)).collect::<String>()
        )
    });
    let engines = tree.servers().filter(|(_, server)| server.engine().is_some()).count();
    assert_eq!((engines, tree.servers().len() - engines), (case.engines, case.services));
    let mut zones: Vec<_> = tree.servers().map(|(_, server)| server.zone).collect();
    zones.sort();
    zones.dedup();
    assert_eq!(zones.len(), 3);
    assert!(tree.servers().all(|(_, server)| server.address.ip().is_loopback()));
    assert_eq!(tree.customers().len(), 10);
    assert!(
        tree.customers().any(|(_, customer)| customer.share > 1),
        "at least one customer has a larger share"
    );
    let names: Vec<_> = tree.desks().map(|(_, desk)| desk.name.as_str()).collect();
    assert_eq!(names, case.desks);
    assert!(tree.desks().all(|(_, desk)| desk.objective == case.objective));
    assert!(tree.desks().all(|(_, desk)| desk.customers.len() == 10));
    let orders = &tree[tree.desk(case.orders).unwrap()];
    assert_eq!(tree[orders.orders.unwrap()].servers.len(), case.services);
    assert_eq!(orders.lookups, orders.orders);
    let checked = tree[orders.orders.unwrap()]
        .servers
        .iter()
        .any(|&server| tree[server].service().unwrap().checks_idempotency_keys);
    assert!(
        !checked,
        "no service may check idempotency keys: orders of both deployments are not idempotent"
    );

    // The comment of each customer gives the credential whose digest the customer has.
    for (key, customer) in tree.customers() {
        let mark = format!("  {}: # credential: ", customer.name);
        let line = text.lines().find_map(|line| line.strip_prefix(&mark)).expect("a credential");
        assert_eq!(tree.customer_by_digest(&credential_digest(line)), Some(key));
    }
}

// Guards against examples that the `check` command or the demo would refuse.
cases! { check_deployment;
    nile => Deployment {
        file: "nile.yaml",
        engines: 12,
        services: 3,
        objective: DeskObjective::FewestPreemptions,
        desks: &["overnight", "fitment", "trade"],
        orders: "trade",
    },
    consortium => Deployment {
        file: "consortium.yaml",
        engines: 9,
        services: 3,
        objective: DeskObjective::LeastStall,
        desks: &["briefing", "digest", "release"],
        orders: "release",
    },
}

/// Guards against examples that no longer show a value inherited from the parent, a value that
/// the desk sets itself and a value inherited through `based_on`.
#[test]
fn examples_show_inheritance() {
    let nile = ConfigTree::parse(&read("nile.yaml")).unwrap();
    let overnight = &nile[nile.desk("overnight").unwrap()];
    assert_eq!(overnight.delivery, DeliveryMode::Whole);
    assert_eq!(overnight.deadline.as_secs(), 3600);
    let fitment = &nile[nile.desk("fitment").unwrap()];
    assert_eq!(fitment.deadline.as_secs(), 60);
    let consortium = ConfigTree::parse(&read("consortium.yaml")).unwrap();
    let digest = &consortium[consortium.desk("digest").unwrap()];
    assert_eq!(digest.generations, consortium.route("clerk"));
    assert_eq!((digest.priority, digest.delivery), (3, DeliveryMode::Stream));
}

/// Guards against one customer's credential being accepted in both deployments.
#[test]
fn examples_share_no_credential() {
    let nile = ConfigTree::parse(&read("nile.yaml")).unwrap();
    let consortium = ConfigTree::parse(&read("consortium.yaml")).unwrap();
    let shared = nile.customers().filter(|(_, customer)| {
        consortium.customer_by_digest(&customer.credential_digest).is_some()
    });
    assert_eq!(shared.count(), 0);
}
