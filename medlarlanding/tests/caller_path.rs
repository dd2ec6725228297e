//! Tests of the paths of the callers' interface.

use medlarlanding::http::caller_path::{CallerPath, CallerResource};
use medlarlanding_core::cases;

/// Guards against a path that is parsed as another resource, and against an invalid path that is
/// accepted.
fn parses((path, expected): (&str, Option<(&str, CallerResource)>)) {
    let expected = expected.map(|(desk, resource)| CallerPath { desk: desk.to_owned(), resource });
    assert_eq!(CallerPath::parse(path), expected);
}

cases! { parses;
    generations => ("/v1/desks/fitment/generations", Some(("fitment", CallerResource::Generations))),
    handle => (
        "/v1/desks/fitment/generations/ab.7",
        Some(("fitment", CallerResource::Generation("ab.7".to_owned()))),
    ),
    encoded_key => (
        "/v1/desks/trade/orders/a%2Fb",
        Some(("trade", CallerResource::Order("a/b".to_owned()))),
    ),
    order_keys => ("/v1/desks/trade/order-keys", Some(("trade", CallerResource::OrderKeys))),
    item_of_a_resource_without_items => ("/v1/desks/trade/lookups/x", None),
    further_segment => ("/v1/desks/trade/orders/a/b", None),
    missing_desk => ("/v1/desks//orders", None),
    empty_key => ("/v1/desks/trade/orders/", None),
    key_that_is_not_utf8 => ("/v1/desks/trade/orders/%ff", None),
    other_prefix => ("/v2/desks/trade/orders", None),
    relative_path => ("v1/desks/trade/orders", None),
}
