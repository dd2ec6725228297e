//! Decisions of the forwarding role: routes, servers, placement, repeats and moves.
//!
//! This module performs no input or output. The adapter crate `medlarlanding-platform` keeps the
//! names of the platform's protocol to itself and decodes into the types defined here.

mod answer_end;
mod answer_times;
mod backlog;
mod budget;
mod cold_read;
mod cold_share;
mod competition;
mod config;
mod config_changes;
mod config_check;
mod config_delta;
mod config_parts;
mod directory;
mod drain;
mod entries;
mod evacuation;
mod load;
mod messages;
mod moves;
mod pause_gate;
mod peer_lag;
mod peers;
mod placement;
mod readiness;
mod regions;
mod relays;
mod retention;
mod room_reserve;
mod server_access;
mod server_speed;
mod speed_samples;
mod store_position;
mod store_view;
mod suspicion;
mod wait_limit;
mod waiting;
mod zone;
mod zone_fetch;
mod zone_plan;

pub use answer_end::{BodyDelimiter, EndVerdict, ProcessIdentity, ServerLiveness};
pub use answer_times::{AnswerTimes, AnswerTimesParams};
pub use backlog::{BacklogForecast, BacklogParams};
pub use budget::{BudgetParams, RepeatBudget, RepeatPurpose};
pub use cold_read::ColdReadParams;
pub use cold_share::{
    COLD_TIME_MAX, ColdLimitParams, ColdPolicy, ColdReport, ColdServer, ColdShare, ColdSource,
    ColdTarget, FleetNote, FleetView, ShareAllocator,
};
pub use competition::ServiceCompetition;
pub use config::{
    CustomerRecord, EngineLimits, ForwardConfig, ForwardConfigError, InvalidField, InvalidValue,
    KeyCheck, RequestKind, RequestLimits, RouteRule, RouteTarget, ServicePolicy,
};
pub use config_changes::{ChangeStep, ConfigChange, ConfigPart, FieldValue, compare_configs};
pub use config_check::{
    ConfigField, ConfigFinding, ConfigPlace, ConfigProblem, FindingSeverity, check_config,
};
pub use config_delta::{ConfigDelta, ConfigHistory};
pub use config_parts::{ConfigParts, StatedCustomer, StatedRoute};
pub use directory::{
    DirectoryChange, ServerDirectory, ServerEntry, ServerKey, ServerPhase, ServerRecord,
};
pub use drain::{AnswerTerms, DrainParams, can_finish};
pub use entries::{EntryDelta, EntryLog};
pub use evacuation::{EvacuationTable, ZoneChange, ZoneEntry, ZoneEntryState, ZoneState};
pub use load::{LatencyClass, LoadReport, RemoteLoad, RunWeight};
pub use messages::{
    AnswerOutcome, AnswerReport, ColdQuestion, EvacuationSync, LedgerSync, OnwardGroup,
    PeerMessage, PlaceAnswer, PlacePurpose, PlaceQuestion, PlaceVerdict, PlainSpeed,
    RelayedMessage, RunBacklog, ServerChanges, SyncPurpose, ZoneRelayedMessage,
};
pub use moves::{MoveParams, MovePlan, MoveStep, RunStop, StopOutcome};
pub use pause_gate::{PauseGate, PauseParams};
pub use peer_lag::PeerLag;
pub use peers::{PeerDigest, PeerTable, PeerTableParams};
pub use placement::{
    DRAIN_FALLBACK_DIVISOR, PlacementChoice, PlacementParams, PlacementPolicy, PlacementRequest,
};
pub use readiness::{ChangeSource, Readiness, ReadinessParams, RequiredPart};
pub use regions::{RegionKey, RegionLimit, ZoneRegions};
pub use relays::{RelayGroup, RelayParams, RelayRoute};
pub use retention::{EntryRetention, RetentionParams, ZoneRetention};
pub use room_reserve::{CriticalDemand, ReserveParams, RoomReserve};
pub use server_access::ServerAccess;
pub use server_speed::{
    SampleSource, SpeedChange, SpeedParams, SpeedRatios, SpeedTable, SpeedTarget,
};
pub use speed_samples::{
    EngineQueue, FIRST_EVENT_WEIGHT, SpeedReport, SpeedSums, StreamSample, StreamSampler,
    TOKENS_PER_EVENT,
};
pub use store_position::{StoreEra, StorePosition};
pub use store_view::{HistoryOrder, ListedChanges, StoreView};
pub use suspicion::{EngineFault, FaultLog, SuspicionParams};
pub use wait_limit::{WaitDecision, WaitLimit, WaitLimitParams};
pub use waiting::{QueuedRun, RunKey, WaitingClass, WaitingParams, WaitingRuns};
pub use zone::ZoneKey;
pub use zone_fetch::{ConfigFetch, ConfigFetchParams, ConfigStep, FetchEnd};
pub use zone_plan::{DigestRoute, ZoneDuties, ZoneDuty, ZonePlan, ZonePlanParams, ZonePlanner};
