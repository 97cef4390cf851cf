//! Rows of the platform's table.

pub use crate::generated::rows::{
    ConfigHead, ConfigVersion, KeyRecord, OperationName, OperationRecord, PoolCoordination,
    ShardHolder, VmRecord, VmStage,
};

/// Key of the row that names the configuration version accepted last.
pub const CONFIG_HEAD_KEY: &str = "config/head";
/// Key prefix of the rows of accepted configuration versions.
pub const CONFIG_VERSION_PREFIX: &str = "config/version/";
/// Name prefix of the objects that hold manifests.
pub const MANIFEST_PREFIX: &str = "manifest/";
/// Key prefix of the rows of shards.
pub const SHARD_PREFIX: &str = "shard/";
/// Key prefix of the rows of API keys.
pub const KEY_PREFIX: &str = "key/";
/// Key prefix of the rows of pool coordinators.
pub const POOL_PREFIX: &str = "pool/";
/// Key prefix of the rows of VMs.
pub const VM_PREFIX: &str = "vm/";
