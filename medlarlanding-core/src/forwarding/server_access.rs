//! Reasons why a server may not get a request.

/// Whether a server may get a request now, and if not, why. If several reasons apply, the one that
/// leaves fewer exceptions counts; the variants are in ascending order of this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerAccess {
    /// The server may get a request.
    Open,
    /// The server is in slow start and has as many requests as its limit allows. Unlike the other
    /// reasons, this one does not forbid a request that no other server may get.
    Paced,
    /// The server has failed recently. It gets requests for which there is no other server.
    Avoided,
    /// The server wants no requests from this instance for a while. Other instances may send some.
    Held,
    /// The server is cold and this instance's share of its rate limit is used up. A request that the
    /// coordinator has granted may be sent nevertheless: it counts towards the coordinator's share.
    Limited,
    /// The server is leaving or removed. For a part of its time it gets requests for which there is no
    /// other server.
    Leaving,
    /// The server's availability zone is evacuated.
    Evacuated,
    /// The request is restricted to regions other than the server's.
    OutsideRegions,
}

impl ServerAccess {
    /// Returns whether a request of any instance may be placed on the server. The instance that sends
    /// the request excludes the servers that are held for it.
    pub fn may_place(self) -> bool {
        match self {
            Self::Open | Self::Paced | Self::Avoided | Self::Held => true,
            Self::Limited | Self::Leaving | Self::Evacuated | Self::OutsideRegions => false,
        }
    }
}
