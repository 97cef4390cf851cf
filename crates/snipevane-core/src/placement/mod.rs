//! Placement of tasks.
