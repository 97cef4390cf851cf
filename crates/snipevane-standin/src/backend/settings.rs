//! Settings of the backend server stand-in.

use std::net::{Ipv4Addr, SocketAddr};

use serde::Deserialize;
use smol_str::SmolStr;

use crate::settings_file::{FieldKind, SettingsFile};

/// Settings of the backend server stand-in.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendStandinSettings {
    /// Address to listen on for requests.
    pub listen: SocketAddr,
    /// Address of the control API (faults and record), which no fault affects.
    pub control: SocketAddr,
    /// Name of the server in the record.
    pub name: SmolStr,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
}

impl Default for BackendStandinSettings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            listen: any_port,
            control: any_port,
            name: SmolStr::new_static("backend"),
            slots: 8,
            connections: 64,
        }
    }
}

impl SettingsFile for BackendStandinSettings {
    const FIELDS: &'static [(&'static str, FieldKind)] = &[
        ("listen", FieldKind::Address),
        ("control", FieldKind::Address),
        ("name", FieldKind::Text),
        ("slots", FieldKind::Number),
        ("connections", FieldKind::Number),
    ];
}
