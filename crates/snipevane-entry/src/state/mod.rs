//! In-memory state of an entry VM, which combines the components of the core.

mod ceilings;
mod held;
mod hints;
mod pool_rows;
mod server_log;
mod servers;
mod site_state;
mod waiting;

pub(crate) use held::{CachedResponse, HeldShard};
pub(crate) use pool_rows::{PoolRows, Versioned};
pub(crate) use server_log::{ServerChange, ServerLog};
pub(crate) use servers::HealthCheck;
pub(crate) use site_state::State;
pub(crate) use waiting::{GrantParts, Waiter};
