//! Messages of the platform's services, and the records and fault switches of the stand-ins.

pub use crate::generated::platform::{
    Answer, BackendFaults, BackendRecord, Check, CommitEntry, CommitResult, Committed, Conflict,
    Delete, LeaseRequest, PlatformFaults, PlatformRecord, Put, ReadRequest, RebootEntry,
    RebootRequest, RebootState, Resources, Row, Rows, RunEntry, ScanRequest, SecondEntry,
    StartTask, TaskAction, TaskCommand, TaskReport, TaskRun, TaskSpec, TaskState, ThrottleTask,
    Transaction, Vm, VmRole, VmState, Vms, WorkerRefusal, WorkerReport, WorkerReports, WorkerSpec,
    WorkerSpecs, Write, WrittenRow,
};

/// Header in which a client of the platform gives its name.
pub const CLIENT_HEADER: &str = "snipevane-client";
/// Path that reads one row.
pub const READ_PATH: &str = "/table/read";
/// Path that reads the rows of a prefix.
pub const SCAN_PATH: &str = "/table/scan";
/// Path that commits a transaction.
pub const COMMIT_PATH: &str = "/table/commit";
/// Start of the paths of objects.
pub const OBJECTS_PATH: &str = "/objects/";
/// Path of the VM list.
pub const VMS_PATH: &str = "/vms";
/// Path of the call that reboots a VM.
pub const REBOOT_PATH: &str = "/vms/reboot";
/// Path of the workers' reports.
pub const WORKERS_PATH: &str = "/workers";
/// Path that takes or renews the lease on a worker.
pub const LEASE_PATH: &str = "/workers/lease";
/// Path of commands about tasks.
pub const TASK_PATH: &str = "/workers/task";
/// Path of the fault switches of a stand-in.
pub const FAULTS_PATH: &str = "/faults";
/// Path of the record of a stand-in.
pub const RECORD_PATH: &str = "/record";
