//! Paths of the callers' interface and the resources they name.

use percent_encoding::percent_decode_str;

/// Path segments before the desk's name.
const PREFIX: [&str; 2] = ["v1", "desks"];

/// Resource of a desk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerResource {
    /// The generations of the desk; a POST starts one.
    Generations,
    /// One generation, named by its resume handle.
    Generation(String),
    /// Idempotent look-ups; a POST runs one.
    Lookups,
    /// Non-idempotent orders; a POST submits one.
    Orders,
    /// One order, named by its idempotency key.
    Order(String),
    /// Order keys; a POST mints one.
    OrderKeys,
}

/// A desk and one of its resources, as named by a request's path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerPath {
    /// Name of the desk.
    pub desk: String,
    /// The resource.
    pub resource: CallerResource,
}

impl CallerPath {
    /// Parses a path. Returns `None` if it names no resource.
    pub fn parse(path: &str) -> Option<Self> {
        let mut segments = path.strip_prefix('/')?.split('/');
        for expected in PREFIX {
            if segments.next()? != expected {
                return None;
            }
        }
        let desk = decode_segment(segments.next()?)?;
        let name = segments.next()?;
        let item = segments.next().map(decode_segment);
        if segments.next().is_some() {
            return None;
        }
        let resource = match (name, item) {
            ("generations", None) => CallerResource::Generations,
            ("generations", Some(handle)) => CallerResource::Generation(handle?),
            ("lookups", None) => CallerResource::Lookups,
            ("orders", None) => CallerResource::Orders,
            ("orders", Some(key)) => CallerResource::Order(key?),
            ("order-keys", None) => CallerResource::OrderKeys,
            _ => return None,
        };
        Some(Self { desk, resource })
    }
}

/// Percent-decodes a segment. Returns `None` if it is empty or not UTF-8.
fn decode_segment(segment: &str) -> Option<String> {
    let decoded = percent_decode_str(segment).decode_utf8().ok()?;
    (!decoded.is_empty()).then(|| decoded.into_owned())
}
