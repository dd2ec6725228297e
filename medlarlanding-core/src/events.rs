//! Numbered log events and their table.

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventLevel {
    /// Needs an operator's attention.
    Error,
    /// Unusual condition that the system handles itself.
    Warn,
    /// Normal change of state.
    Info,
    /// Detail for debugging.
    Debug,
}

/// Row of the event table.
#[derive(Clone, Copy, Debug)]
pub struct EventDescriptor {
    /// Event that the row describes.
    pub kind: EventKind,
    /// Stable number; not reused for another event.
    pub number: u16,
    /// Stable name, written after the number.
    pub name: &'static str,
    /// Severity.
    pub level: EventLevel,
    /// Names of the fields, in the order in which they are written.
    pub fields: &'static [&'static str],
}

macro_rules! event_table {
    ($( $(#[$meta:meta])* $number:literal $kind:ident $level:ident $name:literal [$($field:literal),*]; )*) => {
        /// Events that the system logs.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum EventKind {
            $( $(#[$meta])* $kind, )*
        }

        /// One row per event, in the order of the enum.
        pub static EVENT_TABLE: &[EventDescriptor] = &[
            $( EventDescriptor {
                kind: EventKind::$kind,
                number: $number,
                name: $name,
                level: EventLevel::$level,
                fields: &[$($field),*],
            }, )*
        ];
    };
}

event_table! {
    /// The process started.
    100 ProcessStarted Info "process_started" ["instance", "zone", "incarnation", "version"];
    /// The process received SIGTERM or SIGINT and started to drain.
    101 DrainStarted Info "drain_started" ["open_requests"];
    /// The drain finished; the process ends.
    102 DrainFinished Info "drain_finished" ["waited_ms"];
    /// A supervised child failed and is restarted.
    103 ChildRestarted Warn "child_restarted" ["child", "reason", "restarts"];
    /// A supervised child exceeded its restart limit; the process ends.
    104 ChildGivenUp Error "child_given_up" ["child", "reason"];
    /// The process was paused for longer than the limit and reads its views again.
    105 PauseDetected Warn "pause_detected" ["paused_ms"];
    /// A configuration version was put into effect.
    200 ConfigAccepted Info "config_accepted" ["version", "source"];
    /// A version of the configuration or list was rejected: it is faulty, older than the version in
    /// effect, or differs from known content with the same version.
    201 ConfigRefused Warn "config_refused" ["version", "faults", "first"];
    /// The configuration service could not be read.
    202 PlatformUnreachable Warn "platform_unreachable" ["what", "reason"];
    /// The configuration service can be read again.
    203 PlatformReachable Info "platform_reachable" ["what"];
    /// A new instance list was put into effect.
    204 ListAccepted Info "list_accepted" ["version", "entries"];
    /// The state of another instance changed.
    300 MemberChanged Info "member_changed" ["instance", "state"];
    /// A frame from or to a peer was dropped.
    301 FrameDropped Debug "frame_dropped" ["reason", "peer"];
    /// A request was refused.
    400 RequestRefused Info "request_refused" ["request", "kind", "run", "detail"];
    /// A generation was resumed on its engine.
    401 GenerationResumed Info "generation_resumed" ["request", "server", "after"];
    /// A generation was started again before any token was delivered.
    402 GenerationRetried Info "generation_retried" ["request"];
    /// A generation was lost after tokens were delivered.
    403 GenerationLost Warn "generation_lost" ["request", "server"];
    /// A backend server is suspected.
    404 ServerSuspected Warn "server_suspected" ["server", "reason"];
    /// A command to an engine was answered or failed.
    405 EngineCommanded Info "engine_commanded" ["server", "action", "model", "fence", "outcome"];
    /// An order was sent to its plain service.
    500 OrderSent Info "order_sent" ["request", "server", "key"];
    /// The outcome of an order is unknown: it may have been run.
    501 OrderUnknown Warn "order_unknown" ["request", "server", "reason"];
    /// The replica group of a partition changed its view.
    502 PartitionView Debug "partition_view" ["partition", "version", "synchronised"];
    /// A configuration of the forwarding role was put into effect.
    600 ForwardConfigAccepted Info "forward_config_accepted" ["version", "source", "routes"];
    /// A configuration of the forwarding role cannot be decoded; the previous one stays in effect.
    601 ForwardConfigRefused Warn "forward_config_refused" ["in_force", "source", "reason"];
    /// The entry of a backend server changed.
    602 ServerChanged Info "server_changed" ["server", "service", "state", "source"];
    /// A newer configuration or newer server entries were fetched from a peer.
    603 PeerFetched Info "peer_fetched" ["peer", "config", "servers_revision"];
    /// Newer state could not be fetched from a peer.
    604 PeerUnreachable Warn "peer_unreachable" ["peer", "reason"];
    /// The settings file was read again.
    605 SettingsRead Info "settings_read" ["seeds"];
    /// The settings file could not be read; the previous settings stay in effect.
    606 SettingsRefused Warn "settings_refused" ["reason"];
    /// A report of a backend server is malformed.
    607 ReportRefused Warn "report_refused" ["server", "reason"];
    /// The store came back from an older copy: what it had acknowledged since is lost.
    608 StoreRestored Warn "store_restored" ["known", "revision", "restored", "source"];
    /// The first list after the store came back from a copy disagrees with what is known of some servers,
    /// which goes first until they or the store say more.
    609 ServersRetained Info "servers_retained" ["servers", "revision", "source"];
    /// A request was refused before it was sent to any server.
    610 ForwardRefused Info "forward_refused" ["request", "reason", "config"];
    /// A request was sent to a backend server.
    611 RequestSent Info "request_sent" ["request", "route", "server", "attempt", "left_ms", "outcome", "took_ms", "config"];
    /// A request to a plain service was answered.
    612 RequestFinished Info "request_finished" ["request", "route", "kind", "outcome", "status", "server", "total_ms"];
    /// A generation ended.
    613 GenerationFinished Info "generation_finished" ["request", "route", "outcome", "status", "server", "events", "moves", "first_ms", "longest_gap_ms", "total_ms"];
    /// A copy of a generation's KV cache was started because its engine is leaving.
    614 MoveBegun Info "move_begun" ["request", "from", "to", "events"];
    /// The copy of a generation's KV cache ended.
    615 RunCopied Info "run_copied" ["request", "from", "to", "outcome", "events"];
    /// A generation was sent to the engine that holds the copy of its KV cache.
    616 RunResumed Info "run_resumed" ["request", "from", "to", "outcome", "took_ms", "last_event"];
    /// Total load of the engines of a service, logged by the instance that places its generations.
    617 FleetLoad Info "fleet_load" ["service", "engines", "runs", "tokens", "growth", "waiting_tokens", "memory"];
    /// No engine had room for a generation, which was refused without being run.
    618 RunRefused Info "run_refused" ["request", "route", "reason", "ahead", "waited_ms", "keeper"];
    /// A long answer of a plain service was cut before its end.
    619 AnswerCut Warn "answer_cut" ["request", "server", "reason", "bytes"];
    /// The answer to a request with a prompt broke off at its server.
    620 AnswerBroken Warn "answer_broken" ["request", "route", "server", "phase", "writing_ms", "state", "parts"];
    /// A part of prompts on which engines ended was blocked.
    621 PartBlocked Warn "part_blocked" ["part", "ends", "held_s"];
    /// A part of prompts is no longer blocked.
    622 PartReleased Info "part_released" ["part"];
    /// An answer ended with its connection, without a length or chunks.
    623 AnswerEnd Info "answer_end" ["request", "route", "server", "framing", "known", "state", "took_ms", "verdict"];
    /// A server refused a request and wants no further ones from this instance for a while.
    624 ServerHold Info "server_hold" ["request", "server", "hold_ms"];
    /// A request is tried although a part of its prompt is blocked.
    625 PartTried Info "part_tried" ["request", "part", "ends"];
    /// An availability zone was evacuated: its servers get no more requests.
    630 ZoneEvacuated Warn "zone_emptied" ["zone", "revision", "source"];
    /// An availability zone was restored: its servers get requests again.
    631 ZoneRestored Info "zone_restored" ["zone", "revision", "source"];
    /// An item of the store that evacuates a zone is ignored.
    632 EvacuationRefused Warn "evacuation_refused" ["key", "revision", "reason"];
    /// A server became cold, or stays cold for longer than was known.
    635 ServerCold Info "server_cold" ["server", "remaining_ms", "source"];
    /// A request was refused because all servers that it could be sent to are cold and this instance's
    /// shares of their rate limits are used up.
    636 ColdLimitRefused Info "cold_limit_refused" ["request", "service", "servers"];
    /// The limit of requests to a server in slow start changed.
    640 PaceChanged Info "pace_changed" ["server", "service", "limit", "reason", "ratio", "decided"];
    /// The estimated speed of a server changed.
    645 ServerSpeed Info "server_speed" ["server", "service", "token_percent", "first_percent", "run_limit"];
    /// The estimated speed of a server expired, because no request was sent to it.
    646 SpeedExpired Info "speed_expired" ["server", "unused_ms"];
    /// A generation was placed on an engine.
    647 EngineChosen Info "engine_chosen" ["request", "server", "running", "ahead_tokens", "token_percent", "first_percent"];
    /// A safe request was sent to a second plain server because the first one is late.
    648 RequestHedged Info "request_hedged" ["request", "route", "first", "second", "after_ms"];
    /// A request that was sent to two plain servers ended.
    649 HedgeEnded Info "hedge_ended" ["request", "winner", "server", "took_ms"];
    /// A generation that competes with others for room was refused.
    650 WaitRefused Info "wait_refused" ["request", "customer", "class", "reason", "ahead", "wait_ms", "due_ms", "prompt", "output", "return_ms"];
    /// Room is kept for latency-critical generations of a service.
    651 RoomKept Info "room_kept" ["service", "engines", "prompt", "due_ms", "waiting"];
}

impl EventKind {
    /// Gets the row of the event table.
    pub fn descriptor(self) -> &'static EventDescriptor {
        &EVENT_TABLE[self as usize]
    }
}
