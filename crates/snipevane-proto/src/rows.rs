//! Rows of the platform's table.

pub use crate::generated::rows::{
    ConfigHead, ConfigVersion, KeyRecord, OperationName, OperationRecord, PoolCoordination,
    ShardHolder, VmRecord, VmStage,
};

/// Key of the row that names the accepted configuration.
pub const CONFIG_HEAD: &str = "config/head";
/// Prefix of the rows of accepted configuration versions.
pub const CONFIG_VERSION: &str = "config/version/";
/// Prefix of the objects that hold manifests.
pub const MANIFEST: &str = "manifest/";
/// Prefix of the rows of shards.
pub const SHARD: &str = "shard/";
/// Prefix of the rows of keys.
pub const KEY: &str = "key/";
/// Prefix of the rows of pools' coordinators.
pub const POOL: &str = "pool/";
/// Prefix of the rows of VMs.
pub const VM: &str = "vm/";
