//! Leaving marks of backend servers.

use crate::ids::ServerId;

use indexmap::IndexMap;

value_type! { copy
    /// Claim that a backend server is leaving, or that it is no longer.
    pub struct ServerMark {
        /// The backend server.
        pub server: ServerId,
        /// Number of the change; a higher one replaces a lower one.
        pub revision: u32,
        /// Whether the server receives no new work.
        pub leaving: bool,
    }
}

/// Newest mark of each backend server.
#[derive(Debug, Default)]
pub(super) struct ServerMarks {
    marks: IndexMap<ServerId, ServerMark>,
}

impl ServerMarks {
    /// Merges a mark. Returns whether it is new.
    ///
    /// Of two marks with one revision the leaving one wins: sending no work to a server is
    /// the safe mistake.
    pub fn merge(&mut self, mark: ServerMark) -> bool {
        match self.marks.get_mut(&mark.server) {
            Some(held) if (held.revision, held.leaving) >= (mark.revision, mark.leaving) => false,
            Some(held) => {
                *held = mark;
                true
            },
            None => {
                self.marks.insert(mark.server, mark);
                true
            },
        }
    }

    /// Creates the mark that changes a server's state, or `None` if it has that state.
    pub fn change(&self, server: ServerId, leaving: bool) -> Option<ServerMark> {
        let (revision, held) =
            self.marks.get(&server).map_or((0, false), |mark| (mark.revision, mark.leaving));
        (held != leaving).then_some(ServerMark { server, revision: revision + 1, leaving })
    }

    /// Returns all marks, also those of servers that are no longer leaving.
    pub fn iter(&self) -> impl Iterator<Item = ServerMark> + '_ {
        self.marks.values().copied()
    }

    /// Gets the mark of a server.
    pub fn get(&self, server: ServerId) -> Option<ServerMark> {
        self.marks.get(&server).copied()
    }
}
