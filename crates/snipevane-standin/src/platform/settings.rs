//! Settings of the platform stand-in.

use std::net::{Ipv4Addr, SocketAddr};

use serde::Deserialize;
use snipevane_proto::platform::Vm;

use crate::settings_file::{FieldKind, SettingsFile};

/// Settings of the platform stand-in.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformStandinSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Maximum number of writes per second; unlimited if 0.
    pub writes_per_second: u32,
    /// Maximum number of reads per second; unlimited if 0.
    pub reads_per_second: u32,
    /// Number of rows in a transaction that cost one write.
    pub rows_per_write: u32,
    /// Delay with which changes of the VM list become visible, in milliseconds.
    pub list_lag_ms: u32,
    /// Delay with which worker reports become visible, in milliseconds.
    pub report_lag_ms: u32,
    /// Initial VM list.
    pub vms: Vec<Vm>,
}

impl Default for PlatformStandinSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            writes_per_second: 0,
            reads_per_second: 0,
            rows_per_write: 25,
            list_lag_ms: 0,
            report_lag_ms: 0,
            vms: Vec::new(),
        }
    }
}

impl SettingsFile for PlatformStandinSettings {
    const FIELDS: &'static [(&'static str, FieldKind)] = &[
        ("listen", FieldKind::Address),
        ("writes_per_second", FieldKind::Number),
        ("reads_per_second", FieldKind::Number),
        ("rows_per_write", FieldKind::Number),
        ("list_lag_ms", FieldKind::Number),
        ("report_lag_ms", FieldKind::Number),
        ("vms", FieldKind::List),
    ];
}
