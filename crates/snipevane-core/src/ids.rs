//! Small `Copy` keys into slot maps; names are resolved to keys once, when they enter the process.

use slotmap::new_key_type;

new_key_type! {
    /// Key of a team.
    pub struct TeamKey;
    /// Key of a pool.
    pub struct PoolKey;
    /// Key of a service.
    pub struct ServiceKey;
    /// Key of a queue.
    pub struct QueueKey;
    /// Key of an availability zone.
    pub struct ZoneKey;
    /// Key of a backend server.
    pub struct ServerKey;
    /// Key of a VM that is a member of a pool.
    pub struct VmKey;
    /// Key of a worker.
    pub struct WorkerKey;
    /// Key of a task.
    pub struct TaskKey;
}
