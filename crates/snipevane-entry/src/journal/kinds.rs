//! Catalogue of the entry daemon's events. docs/events.md lists the same events, and a test
//! compares the two.

snipevane_core::event_catalogue! {
    STARTED = 1001 Info "entry VM started" ["vm", "zone", "incarnation"];
    READY = 1002 Info "entry VM ready" ["version"];
    STOPPING = 1003 Info "planned stop begun" ["in_flight"];
    STOPPED = 1004 Info "planned stop finished" ["cut_off"];
    PLATFORM_UNREACHABLE = 1010 Warn "platform not reachable" ["reason"];
    PLATFORM_REACHABLE = 1011 Info "platform reachable again" ["away_ms"];
    ROW_UNREADABLE = 1012 Error "table row can't be parsed" ["key", "reason"];
    CONFIG_IN_FORCE = 1020 Info "configuration in force" ["version", "source"];
    CONFIG_UNREADABLE = 1021 Error "configuration can't be parsed" ["version", "reason"];
    CONFIG_ACCEPTED = 1022 Info "configuration accepted" ["version"];
    SHARD_ACQUIRED = 1030 Info "shard taken" ["shard", "epoch", "usable_in_ms"];
    SHARD_LOST = 1031 Warn "shard held by another entry VM" ["shard", "vm"];
    SHARD_RELEASED = 1032 Info "shard released" ["shard"];
    PEER_REACHABLE = 1040 Info "peer reachable" ["peer", "incarnation"];
    PEER_SILENT = 1041 Warn "peer silent" ["peer"];
    PEER_MESSAGE_REJECTED = 1042 Warn "message of a peer refused" ["peer", "reason"];
    PEER_CLOCK_AHEAD = 1043 Warn "clock of a peer far ahead" ["peer", "ahead_ms"];
    KEY_ISSUED = 1050 Info "key given" ["key", "team"];
    KEY_WITHDRAWN = 1051 Info "key withdrawn" ["key", "team"];
    SERVER_LEAVING = 1060 Info "backend server leaving" ["server", "sign"];
    SERVER_REMOVED = 1061 Info "backend server gone" ["server"];
    SERVER_ADDED = 1062 Info "backend server added" ["server", "service"];
    EXCHANGE_INTERRUPTED = 1070 Warn "exchange interrupted" ["server", "team", "exchange", "reason"];
    RUN_TIME_EXCEEDED = 1071 Warn "request ran over its longest time" ["server", "team", "exchange"];
    POOL_COORDINATED = 1072 Info "pool coordinated here" ["pool", "epoch"];
    VM_CHANGED = 1073 Info "VM changed its state" ["vm", "pool", "state"];
    OPERATION_ABANDONED = 1074 Warn "operation on a VM ended early" ["vm"];
    REQUEST_REFUSED = 1080 Debug "request refused" ["status", "title", "detail"];
    LISTENER_LIMIT_REACHED = 1081 Warn "limit of a listener reached" ["listener", "incident", "count", "reason"];
}
