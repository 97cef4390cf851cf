//! Rows of the platform's table.

pub use crate::generated::rows::{
    ConfigHead, ConfigVersion, KeyRecord, OperationName, OperationRecord, PoolCoordination,
    ShardHolder, VmRecord, VmStage,
};

/// Key of the row that names the accepted configuration.
pub const CONFIG_HEAD_KEY: &str = "config/head";
/// Prefix of the rows of accepted configuration versions.
pub const CONFIG_VERSION_PREFIX: &str = "config/version/";
/// Prefix of the objects that hold manifests.
pub const MANIFEST_PREFIX: &str = "manifest/";
/// Prefix of the rows of shards.
pub const SHARD_PREFIX: &str = "shard/";
/// Prefix of the rows of keys.
pub const KEY_PREFIX: &str = "key/";
/// Prefix of the rows of pools' coordinators.
pub const POOL_PREFIX: &str = "pool/";
/// Prefix of the rows of VMs.
pub const VM_PREFIX: &str = "vm/";
