//! Serialisable state of the order subsystem for the admin interface.

use serde::Serialize;

use super::coordinator::OrderCoordinator;
use super::group::GroupView;
use super::keys::PartitionId;
use crate::ids::InstanceIdentity;
use crate::views::ListVersion;

/// State of one process's order subsystem.
#[derive(Clone, Debug, Serialize)]
pub struct OrderDump {
    /// The process.
    pub identity: InstanceIdentity,
    /// Version of the list in force.
    pub list_version: ListVersion,
    /// Age in ms of the list's last confirmation, or `None` before the first list.
    pub list_age_ms: Option<u64>,
    /// Whether the process waits for a new list and live processes after a pause.
    pub suspended: bool,
    /// Whether new orders are refused.
    pub draining: bool,
    /// Number of recorded keys.
    pub claims: usize,
    /// Size of the records in bytes.
    pub claim_bytes: usize,
    /// Number of attempts that this process made as a proposer.
    pub attempts: u64,
    /// Number of orders that collect grants.
    pub claiming: usize,
    /// Number of orders that wait for the outcome of another attempt.
    pub waiting: usize,
    /// Number of orders that wait before their next attempt.
    pub delayed: usize,
    /// Number of orders that the runtime was told to run.
    pub permitted: usize,
    /// Number of outcomes that some replica has not acknowledged.
    pub undelivered: usize,
    /// Number of open queries.
    pub queries: usize,
    /// Partitions that this process is or was a replica of.
    pub partitions: Vec<PartitionDump>,
}

/// State of one partition's replica.
#[derive(Clone, Debug, Serialize)]
pub struct PartitionDump {
    /// The partition.
    pub partition: PartitionId,
    /// The current view, or `None` before the first list.
    pub view: Option<GroupView>,
    /// Whether the replica is synchronised in the current view.
    pub synchronised: bool,
    /// List version of the last view in which the replica was synchronised, if any.
    pub last_synchronised: Option<ListVersion>,
    /// Epoch of the records, or `None` without a last synchronised view.
    pub epoch: Option<u64>,
    /// Time in ms since the partition came into doubt, or `None` if it never was.
    pub doubt_age_ms: Option<u64>,
    /// Number of recorded keys.
    pub claims: usize,
    /// Time in ms for which the replica has been reading copies, or `None` if it is not.
    pub reading_ms: Option<u64>,
    /// Number of complete copies read so far.
    pub copies: usize,
}

impl OrderCoordinator {
    /// Describes the state.
    pub fn dump(&self) -> OrderDump {
        let [claiming, waiting, delayed, permitted] = self.proposer.phases();
        let partitions = self.replica.numbered().filter_map(|(partition, state)| {
            let claims = self.replica.store.partition_len(partition);
            if state.synced.is_none() && state.sync.is_none() && claims == 0 {
                return None;
            }
            let synced = state.synced.as_ref();
            Some(PartitionDump {
                partition,
                view: state.view.clone(),
                synchronised: state.current().is_some(),
                last_synchronised: synced.map(|synced| synced.view.version),
                epoch: synced.map(|synced| synced.epoch),
                doubt_age_ms: synced
                    .and_then(|synced| synced.doubt)
                    .map(|doubt| doubt.age_ms(self.now)),
                claims,
                reading_ms: state
                    .sync
                    .as_ref()
                    .map(|sync| self.now.since(sync.started).as_millis() as u64),
                copies: state.sync.as_ref().map_or(0, |sync| sync.responses.len()),
            })
        });
        OrderDump {
            identity: self.identity,
            list_version: self.groups.version(),
            list_age_ms: self.confirmed.map(|confirmed| confirmed.age_ms(self.now)),
            suspended: self.suspended,
            draining: self.draining,
            claims: self.replica.store.len(),
            claim_bytes: self.replica.store.bytes(),
            attempts: self.proposer.last_attempt(),
            claiming,
            waiting,
            delayed,
            permitted,
            undelivered: self.proposer.results.undelivered(),
            queries: self.queries.open(),
            partitions: partitions.collect(),
        }
    }
}
