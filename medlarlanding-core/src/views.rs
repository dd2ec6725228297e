//! The instance list that the platform publishes.

use std::net::SocketAddr;

use crate::ids::{InstanceId, ZoneId};

value_type! { copy
    /// Revision of the published instance list. Never decreases.
    #[derive(Default)]
    pub struct ListVersion(pub u64);
}

value_type! { copy
    /// State of an instance in the published list.
    pub enum InstanceState {
        /// Takes new work.
        Live,
        /// Finishes its work in progress and takes no new work.
        Leaving,
    }
}

value_type! {
    /// One entry of the published instance list.
    pub struct InstanceEntry {
        /// Id derived from `name`, the same in every process.
        pub id: InstanceId,
        /// Name, unique within the list.
        pub name: String,
        /// Availability zone of the instance.
        pub zone: ZoneId,
        /// Whether the instance takes new work.
        pub state: InstanceState,
        /// Address for datagrams between instances.
        pub udp: SocketAddr,
        /// Address for TCP connections between instances.
        pub tcp: SocketAddr,
    }
}

value_type! {
    /// The published instance list at one revision.
    #[derive(Default)]
    pub struct InstanceList {
        /// Revision of the list.
        pub version: ListVersion,
        /// Entries in the order of the platform. Ids are unique.
        pub entries: Vec<InstanceEntry>,
    }
}

impl InstanceList {
    /// Gets the entry of an instance.
    pub fn get(&self, id: InstanceId) -> Option<&InstanceEntry> {
        self.entries.iter().find(|entry| entry.id == id)
    }
}
