//! Orders to minions, their run lists, and the supervision of runs.

pub(super) mod best_effort;
pub(super) mod holds;
pub(super) mod late_starts;
pub(super) mod long_running;
pub(super) mod orders;
pub(super) mod refusals;
pub(super) mod repeat_budget;
pub(super) mod repeats;
pub(super) mod reports;
pub(super) mod start_window;
pub(super) mod stragglers;
pub(super) mod transmissions;
