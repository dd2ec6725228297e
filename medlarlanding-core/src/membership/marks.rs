//! Marks by which instances tell each other that a backend server is leaving.

use crate::ids::ServerId;

use indexmap::IndexMap;

value_type! { copy
    /// Statement that a backend server is leaving, or that it is no longer leaving.
    pub struct ServerMark {
        /// Marked backend server.
        pub server: ServerId,
        /// Counts the changes of the server's state; a higher revision replaces a lower one.
        pub revision: u32,
        /// Whether the server is leaving and must be sent no new work.
        pub leaving: bool,
    }
}

/// Newest mark of each backend server.
#[derive(Debug, Default)]
pub(super) struct ServerMarks {
    marks: IndexMap<ServerId, ServerMark>,
}

impl ServerMarks {
    /// Stores a mark if it is newer than the known one. Returns whether it was stored.
    ///
    /// Of two marks with the same revision, the one with `leaving` set wins: wrongly sending no
    /// work to a server is safer than sending work to a server that is leaving.
    pub fn merge(&mut self, mark: ServerMark) -> bool {
        match self.marks.get_mut(&mark.server) {
            Some(known) if (known.revision, known.leaving) >= (mark.revision, mark.leaving) => {
                false
            },
            Some(known) => {
                *known = mark;
                true
            },
            None => {
                self.marks.insert(mark.server, mark);
                true
            },
        }
    }

    /// Creates the mark that changes a server's state. Returns `None` if the server already has
    /// that state; a server without a mark is not leaving.
    pub fn next_mark(&self, server: ServerId, leaving: bool) -> Option<ServerMark> {
        let (revision, known) =
            self.marks.get(&server).map_or((0, false), |mark| (mark.revision, mark.leaving));
        (known != leaving).then_some(ServerMark { server, revision: revision + 1, leaving })
    }

    /// Returns all marks, also those of servers that are no longer leaving.
    pub fn iter(&self) -> impl Iterator<Item = ServerMark> + '_ {
        self.marks.values().copied()
    }

    /// Gets the newest mark of a server.
    pub fn get(&self, server: ServerId) -> Option<ServerMark> {
        self.marks.get(&server).copied()
    }
}
