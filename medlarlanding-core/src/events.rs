//! Closed list of numbered log events.

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventLevel {
    /// Needs an operator's attention.
    Error,
    /// Unusual, handled by the system.
    Warn,
    /// Normal change of state.
    Info,
    /// Detail for fault finding.
    Debug,
}

/// Describes one event of the catalogue.
#[derive(Clone, Copy, Debug)]
pub struct EventDescriptor {
    /// The event.
    pub kind: EventKind,
    /// Stable number; never reused.
    pub number: u16,
    /// Stable name.
    pub name: &'static str,
    /// Severity.
    pub level: EventLevel,
    /// Names of the fields, in the order they are written.
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
    /// The process received SIGTERM and drains.
    101 DrainStarted Info "drain_started" ["open_requests"];
    /// The last request in progress finished and the process ends.
    102 DrainFinished Info "drain_finished" ["waited_ms"];
    /// A child of the supervisor failed and is restarted.
    103 ChildRestarted Warn "child_restarted" ["child", "reason", "restarts"];
    /// A child failed too often; the process ends.
    104 ChildGivenUp Error "child_given_up" ["child", "reason"];
    /// The process was paused longer than the limit and re-reads its views.
    105 PauseDetected Warn "pause_detected" ["paused_ms"];
    /// A configuration version came into force.
    200 ConfigAccepted Info "config_accepted" ["version", "source"];
    /// A configuration version was refused.
    201 ConfigRefused Warn "config_refused" ["version", "faults", "first"];
    /// The configuration service could not be read.
    202 PlatformUnreachable Warn "platform_unreachable" ["what", "reason"];
    /// The configuration service can be read again.
    203 PlatformReachable Info "platform_reachable" ["what"];
    /// A new instance list came into force.
    204 ListAccepted Info "list_accepted" ["version", "entries"];
    /// A member's state changed.
    300 MemberChanged Info "member_changed" ["instance", "state"];
    /// A peer frame was dropped.
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
    /// An engine was commanded.
    405 EngineCommanded Info "engine_commanded" ["server", "action", "model", "fence", "outcome"];
    /// An order was sent to its plain service.
    500 OrderSent Info "order_sent" ["request", "server", "key"];
    /// An order's outcome is unknown.
    501 OrderUnknown Warn "order_unknown" ["request", "server", "reason"];
    /// A partition's replica group changed view.
    502 PartitionView Debug "partition_view" ["partition", "version", "synchronised"];
    /// A configuration of the forwarding role came into force.
    600 ForwardConfigAccepted Info "forward_config_accepted" ["version", "source", "routes"];
    /// A configuration of the forwarding role could not be read; the last one stays in force.
    601 ForwardConfigRefused Warn "forward_config_refused" ["in_force", "source", "reason"];
    /// The entry of a backend server changed.
    602 ServerChanged Info "server_changed" ["server", "service", "state", "source"];
    /// Newer state was fetched from a peer.
    603 PeerFetched Info "peer_fetched" ["peer", "config", "servers_revision"];
    /// A peer could not be asked for newer state.
    604 PeerUnreachable Warn "peer_unreachable" ["peer", "reason"];
    /// The settings file was read again.
    605 SettingsRead Info "settings_read" ["seeds"];
    /// The settings file could not be read; the last settings stay in force.
    606 SettingsRefused Warn "settings_refused" ["reason"];
    /// A report of a backend server could not be read.
    607 ReportRefused Warn "report_refused" ["server", "reason"];
    /// A request was refused before it was sent anywhere.
    610 ForwardRefused Info "forward_refused" ["request", "reason", "config"];
    /// A request was sent to a backend server.
    611 RequestSent Info "request_sent" ["request", "route", "server", "attempt", "left_ms", "outcome", "took_ms", "config"];
    /// A request to a plain service was answered.
    612 RequestFinished Info "request_finished" ["request", "route", "kind", "outcome", "status", "server", "total_ms"];
    /// A generation ended.
    613 GenerationFinished Info "generation_finished" ["request", "route", "outcome", "status", "server", "events", "moves", "first_ms", "longest_gap_ms", "total_ms"];
    /// A copy of a generation's memory was begun because its engine leaves.
    614 MoveBegun Info "move_begun" ["request", "from", "to", "events"];
    /// A copy of a generation's memory ended.
    615 RunCopied Info "run_copied" ["request", "from", "to", "outcome", "events"];
    /// A generation was sent to the engine that holds a copy of its memory.
    616 RunResumed Info "run_resumed" ["request", "from", "to", "outcome", "took_ms", "last_event"];
    /// Load of all engines of a service, from the instance that places generations.
    617 FleetLoad Info "fleet_load" ["service", "engines", "runs", "tokens", "growth", "waiting_tokens", "memory"];
    /// A generation found no room on any engine and is refused as not run.
    618 RunRefused Info "run_refused" ["request", "route", "reason", "ahead", "waited_ms", "keeper"];
}

impl EventKind {
    /// Gets the row of the event table.
    pub fn descriptor(self) -> &'static EventDescriptor {
        &EVENT_TABLE[self as usize]
    }
}
