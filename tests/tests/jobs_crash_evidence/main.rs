//! Tests of what the scheduler concludes from crashes: of tasks that crash their minions before these answer the start,
//! or a while after it, and of crashes of other causes that meet start orders.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

mod findings;
mod lost_starts;
mod set_up;
mod takeovers;
mod trial_waits;
mod trials;
mod verdicts;
