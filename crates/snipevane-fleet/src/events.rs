//! Catalogue of the daemon's log events. A test compares it with docs/events.md.

use std::fmt::Display;

use log::kv::{Error, Key, Source, Value, VisitSource};
use snipevane_core::events::{EventKind, Level};

snipevane_core::event_catalogue! {
    PROCESS_STARTED = 2001 Info "process started" ["version", "zone", "address"];
    STOPPING = 2002 Info "planned stop begun" ["holds_term"];
    SETTINGS_REREAD = 2003 Info "settings file read again" ["changed"];
    SETTINGS_INVALID = 2004 Error "settings file is invalid, the running settings stay" ["findings"];
    CONFIG_IN_FORCE = 2010 Info "configuration in force" ["version", "before", "confirmed_ms_ago"];
    CONFIG_UNREADABLE = 2011 Error "configuration can't be decoded, the previous one stays in force" ["version", "reason"];
    STORE_LOST = 2020 Warn "store not reachable" ["way"];
    STORE_REGAINED = 2021 Info "store reachable again" ["away_ms", "way"];
    ADVISOR_LOST = 2022 Warn "advisor not reachable" ["step"];
    ADVISOR_REGAINED = 2023 Info "advisor reachable again" ["step"];
    VM_LIST_LOST = 2024 Warn "VM list can't be read" ["reason"];
    VM_LIST_REGAINED = 2025 Info "VM list readable again" ["away_ms"];
    MINION_LOST = 2026 Warn "minion not reachable" ["minion", "last_list_ms"];
    MINION_REGAINED = 2027 Info "minion reachable again" ["minion", "last_list_ms"];
    SCHEDULER_LOST = 2028 Info "no valid heartbeat from the scheduler" ["scheduler", "row_version", "unchanged_ms"];
    RESPONSE_ABANDONED = 2029 Warn "response given up before it was complete" ["kind", "received_bytes", "ms"];
    TERM_WON = 2030 Info "term won" ["fence", "row_version", "after"];
    TERM_CLAIM_FAILED = 2031 Info "write of a term claim failed" ["fence", "reason"];
    TERM_ENDED = 2032 Info "term ended" ["fence", "reason"];
    JOBS_ADOPTED = 2033 Info "jobs of the previous term read" ["fence", "jobs"];
    STARTS_LIMITED = 2034 Warn "fewer start orders at a time, as replies are slow" ["limit", "reply_ms", "fence"];
    ORDER_REPEATED = 2035 Info "order sent again, as its reply is overdue" ["order", "task", "attempt", "minion", "transmissions", "fence"];
    SENDER_EXCLUDED = 2036 Warn "entry VM gets no start orders to send for a while" ["vm", "reason", "orders", "fence"];
    START_UNDELIVERED = 2037 Info "start order sent again, as its sender didn't report a reply" ["task", "attempt", "minion", "vm", "reason", "fence"];
    TERM_UNHEARD = 2038 Warn "no heartbeats of a term that is being renewed, reported in the store" ["fence"];
    TERM_UNREACHED = 2039 Warn "term released, as most entry VMs can't reach its holder" ["unreached", "reached", "fence"];
    JOB_ACCEPTED = 2040 Info "job accepted" ["job", "queue", "config", "by", "ms"];
    REQUEST_REFUSED = 2041 Info "request refused" ["method", "path", "status", "reason", "config", "store"];
    CANCELLATION_STORED = 2042 Info "cancellation stored" ["job", "config", "met"];
    JOB_REJECTED = 2043 Info "job rejected, as its result would come too late" ["job", "queue", "pool", "completes_ms", "value_ms", "backlog_core_ms", "cpu_millis", "age_ms", "retry_ms"];
    JOB_TOO_LARGE = 2044 Warn "job rejected, as it is larger than a transaction of the store" ["job", "queue", "bytes"];
    CLIENT_CUT_OFF = 2045 Warn "client cut off, as its listener's share is used up" ["listener", "what"];
    ACCEPT_FAILED = 2046 Warn "connection can't be accepted, tried again after a pause" ["listener", "reason"];
    BUFFER_UNSET = 2047 Warn "sizes of a listener's buffers can't be set" ["listener", "reason"];
    TOMBSTONE_STORED = 2048 Info "job cancelled that isn't stored, no submission of it is stored any more" ["job", "config", "met"];
    SUBMISSION_CANCELLED = 2049 Info "submission not stored, as the job was cancelled before" ["job", "queue", "by", "ms"];
    JOB_ENQUEUED = 2050 Info "job added to its pool's queue" ["job", "pool", "fence", "adopted", "due_ms", "due_occurrences", "held_bytes"];
    TASKS_PLACED = 2051 Info "tasks placed" ["step", "tasks", "waiting", "age_ms", "fence"];
    SPECULATIVE_RUN_PLACED = 2052 Info "speculative run of a task placed" ["task", "minion", "fence"];
    RUN_FAILED = 2053 Info "run failed" ["task", "attempt", "minion", "fence"];
    RUN_LOST = 2054 Warn "run treated as ended without a reported end" ["task", "attempt", "minion", "reason", "began", "sent_to", "incarnation", "fence"];
    RUN_STOPPED = 2055 Info "run stopped" ["task", "attempt", "minion", "reason", "fence"];
    JOB_ENDED = 2056 Info "job ended" ["job", "state", "fence", "row_version"];
    TASK_GIVEN_UP = 2057 Warn "job given up, as one of its tasks crashes minions" ["task", "crashes", "lost_starts", "attributed", "fence"];
    UNKNOWN_RUN_STOPPED = 2058 Info "run of an unknown task stopped" ["task", "attempt", "minion", "fence"];
    LONG_RUNNING_TASK_STOPPED = 2059 Info "long-running task stopped by an order" ["task", "attempt", "minion", "reason", "unavailable", "max_unavailable", "over_budget", "fence"];
    MINION_SLOW = 2060 Warn "minion avoided because its runs are slow" ["minion", "speed", "usual"];
    MINION_FAILING = 2061 Warn "minion avoided because runs fail there" ["minion", "failures"];
    MINION_CRASHED = 2062 Warn "minion has crashed" ["minion", "runs", "cause", "fence"];
    CRASH_BLAMED = 2063 Info "crash counted against a task" ["task", "attempt", "at_work_ms", "crashes", "lost_starts", "unexplained", "attributed", "fence"];
    TASK_SUSPENDED = 2064 Warn "long-running task not started for a while, as it crashes minions" ["task", "crashes", "lost_starts", "unexplained", "pause_ms", "fence"];
    CRASH_WEIGHED = 2065 Info "crash of a minion with a suspect aboard" ["task", "attempt", "minion", "finding", "silent_ms", "chance", "recent_crashes", "only_start", "unanswered_jobs", "likely_cause", "other_cause", "fence"];
    PAIR_KEPT_APART = 2066 Info "best-effort image kept apart from a latency-sensitive one" ["latency_sensitive", "best_effort", "added_ms", "target_ms", "confidence", "changes", "fence"];
    PAIR_RELEASED = 2067 Info "best-effort image no longer kept apart from a latency-sensitive one" ["latency_sensitive", "best_effort", "added_ms", "target_ms", "confidence", "changes", "fence"];
    PLACED_AFTER_CRASHES = 2068 Info "task placed again after three lost minions" ["task", "attempt", "minion", "crashes", "lost_starts", "unconfirmed", "passed_over", "undecided", "attributed", "unexplained", "of_earlier_terms", "fence"];
    WAVE_LOADED = 2070 Info "maintenance wave loaded" ["wave", "vms"];
    VM_ORDER_OUTCOME = 2071 Info "outcome of an order to a VM" ["vm", "work", "reply", "fence"];
    ZONE_EVACUATED = 2072 Warn "nothing new starts in an evacuated availability zone" ["zone", "minions", "runs", "fence"];
    ZONE_RESTORED = 2073 Info "availability zone no longer evacuated" ["zone", "fence"];
    PLACEMENT_PAUSED = 2074 Warn "nothing starts, as the operator's requests aren't confirmed" ["fence"];
    PLACEMENT_RESUMED = 2075 Info "starts go on, as the operator's requests are confirmed" ["fence"];
    MINION_LEFT_OUT = 2076 Warn "entry of a minion left out, as no configuration names its pool" ["minion", "pool", "fence"];
    MINION_RESTARTED = 2077 Info "minion has restarted under its id" ["minion", "from", "to", "ended", "kept", "since_lease_ms", "leases_left_ms", "fence"];
    RUN_LIST_IGNORED = 2078 Info "list of runs ignored, as it may be of an earlier incarnation" ["minion", "listed", "known", "fence"];
    LONG_RUNNING_TASK_WAITS = 2079 Warn "long-running task has no run that works" ["task", "pool", "reason", "wait_ms", "left_ms", "minions", "fence"];
    ROW_UNREADABLE = 2080 Error "row can't be read" ["table", "key", "reason"];
    CHANGE_REJECTED = 2081 Error "change given up, as the store rejects it for good" ["kind", "key", "fence"];
    LATE_START_STOPPED = 2082 Info "run that has ended stopped on the next incarnation, which may start it late" ["task", "attempt", "minion", "transmissions", "fence"];
    JOB_UNHELD = 2083 Warn "job not accepted, as those that are held leave no memory for it" ["job", "queue", "bytes", "held_bytes", "max_bytes"];
    LINES_DROPPED = 2090 Warn "log lines dropped, rate limit of the event exceeded" ["event", "lines"];
}

/// Log target of event records.
pub const TARGET: &str = "event";

/// Key under which a log record carries the event's number.
pub const NUMBER_KEY: &str = "event";

/// Number and fields of an event, as key-value pairs of its log record.
struct Fields<'a> {
    kind: &'a EventKind,
    values: &'a [&'a dyn Display],
}

impl Source for Fields<'_> {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), Error> {
        visitor.visit_pair(Key::from(NUMBER_KEY), Value::from(self.kind.number))?;
        for (name, value) in self.kind.fields.iter().zip(self.values) {
            visitor.visit_pair(Key::from(*name), Value::from_dyn_display(value))?;
        }
        Ok(())
    }
}

/// Logs an event. `values` are the values of its fields, in the catalogue's order.
pub fn record(kind: &EventKind, values: &[&dyn Display]) {
    let level = match kind.level {
        Level::Error => log::Level::Error,
        Level::Warn => log::Level::Warn,
        Level::Info => log::Level::Info,
        Level::Debug => log::Level::Debug,
    };
    let fields = Fields { kind, values };
    log::logger().log(
        &log::Record::builder()
            .target(TARGET)
            .level(level)
            .args(format_args!("{}", kind.text))
            .key_values(&fields)
            .build(),
    );
}
