//! Messages of the platform's services, and the records and injected faults of the stand-ins.

pub use crate::generated::platform::{
    Answer, BackendFaults, BackendRecord, Check, CommitEntry, CommitResult, Committed, Conflict,
    Delete, LeaseRequest, PlatformFaults, PlatformRecord, Put, ReadRequest, RebootEntry,
    RebootRequest, RebootState, Resources, Row, Rows, RunEntry, ScanRequest, SecondEntry,
    StartTask, TaskAction, TaskCommand, TaskReport, TaskRun, TaskSpec, TaskState, ThrottleTask,
    Transaction, Vm, VmRole, VmState, Vms, WorkerRefusal, WorkerReport, WorkerReports, WorkerSpec,
    WorkerSpecs, Write, WrittenRow,
};

/// Header with the name of the platform's client.
pub const CLIENT_HEADER: &str = "snipevane-client";
/// Path of the call that reads one row.
pub const READ_PATH: &str = "/table/read";
/// Path of the call that reads all rows whose keys start with a prefix.
pub const SCAN_PATH: &str = "/table/scan";
/// Path of the call that commits a transaction.
pub const COMMIT_PATH: &str = "/table/commit";
/// Prefix of the paths of objects.
pub const OBJECTS_PATH: &str = "/objects/";
/// Path of the call that returns the VM list.
pub const VMS_PATH: &str = "/vms";
/// Path of the call that reboots a VM.
pub const REBOOT_PATH: &str = "/vms/reboot";
/// Path of the call that returns the reports of the workers.
pub const WORKERS_PATH: &str = "/workers";
/// Path of the call that acquires or renews the lease on a worker.
pub const LEASE_PATH: &str = "/workers/lease";
/// Path of the call that sends a command about a task.
pub const TASK_PATH: &str = "/workers/task";
/// Path of the call that sets the faults to inject into a stand-in.
pub const FAULTS_PATH: &str = "/faults";
/// Path of the call that returns what a stand-in has recorded.
pub const RECORD_PATH: &str = "/record";
