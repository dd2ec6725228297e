//! Resources of the callers' interface, by path.

use percent_encoding::percent_decode_str;

/// Segments before the desk's name.
const PREFIX: [&str; 2] = ["v1", "desks"];

/// What a path names below its desk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerResource {
    /// Starts generations.
    Generations,
    /// A generation by its resume handle.
    Generation(String),
    /// Idempotent look-ups.
    Lookups,
    /// Non-idempotent orders.
    Orders,
    /// An order by its key.
    Order(String),
    /// Mints order keys.
    OrderKeys,
}

/// A desk and one of its resources.
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
        let desk = decode(segments.next()?)?;
        let name = segments.next()?;
        let item = segments.next().map(decode);
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

/// Decodes a segment; one that is empty or not UTF-8 names nothing.
fn decode(segment: &str) -> Option<String> {
    let decoded = percent_decode_str(segment).decode_utf8().ok()?;
    (!decoded.is_empty()).then(|| decoded.into_owned())
}
