//! Reads and validates the settings file, and reports all errors at once.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;
use smol_str::SmolStr;
use snipevane_core::config::Findings;
use snipevane_proto::schema;
use snipevane_proto::settings::{ENTRY_SCHEMA, EntrySettings, LogLevel};

use super::{PeerSeed, Settings, Timings};

const ADDRESS_HINT: &str = "write an IP number and a port, such as 10.0.0.7:8080";
const ADDRESSES: [&str; 4] = [
    "/caller_address",
    "/peer_address",
    "/operator_address",
    "/platform_address",
];

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns all findings, each with its location in the file.
pub fn load(path: &Path) -> Result<Settings, Findings> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => parse(&file, &text),
        Err(error) => {
            let mut findings = Findings::new(file);
            findings.add(
                "",
                format!("can't be read: {error}"),
                "specify a readable file",
            );
            Err(findings)
        }
    }
}

/// Validates the text of a settings file; `file` is its name for the findings.
///
/// # Errors
///
/// Returns all findings, each with its location in the file.
pub fn parse(file: &str, text: &str) -> Result<Settings, Findings> {
    let mut findings = Findings::new(file);
    if let Err(mismatches) = schema::parse(ENTRY_SCHEMA, text) {
        for mismatch in mismatches {
            findings.add(
                mismatch.pointer,
                mismatch.message,
                "see docs/operators/settings.md",
            );
        }
    }
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    check_addresses(&value, &mut findings);
    check_peers(&value, &mut findings);
    if !findings.list.is_empty() {
        return Err(findings);
    }
    match serde_json::from_value::<EntrySettings>(value) {
        Ok(settings) => Ok(resolve(&settings)),
        Err(error) => {
            findings.add("", error.to_string(), "");
            Err(findings)
        }
    }
}

fn check_addresses(value: &Value, findings: &mut Findings) {
    for pointer in ADDRESSES {
        check_address(value, pointer, findings);
    }
    let listeners = &ADDRESSES[..3];
    for (position, pointer) in listeners.iter().enumerate() {
        let Some(address) = text_at(value, pointer).filter(|text| !text.ends_with(":0")) else {
            continue;
        };
        let duplicate = listeners[..position]
            .iter()
            .find(|other| text_at(value, other) == Some(address));
        if let Some(other) = duplicate {
            let message = format!("{address} is already the address of {other}");
            findings.add(*pointer, message, "give each listener a port of its own");
        }
    }
}

fn check_peers(value: &Value, findings: &mut Findings) {
    let Some(peers) = value.pointer("/peers").and_then(Value::as_array) else {
        return;
    };
    for position in 0..peers.len() {
        check_address(value, &format!("/peers/{position}/address"), findings);
    }
}

fn check_address(value: &Value, pointer: &str, findings: &mut Findings) {
    let Some(text) = text_at(value, pointer) else {
        return;
    };
    if text.parse::<SocketAddr>().is_err() {
        findings.add(
            pointer,
            format!("{text:?} is no IP number with a port"),
            ADDRESS_HINT,
        );
    }
}

fn text_at<'a>(value: &'a Value, pointer: &str) -> Option<&'a str> {
    value.pointer(pointer).and_then(Value::as_str)
}

fn resolve(settings: &EntrySettings) -> Settings {
    let defaults = settings
        .memory_bytes
        .map_or_else(Settings::default, Settings::with_memory);
    let address = |text: &str| text.parse().unwrap_or(defaults.caller_address);
    let limits = settings.caller_limits.clone().unwrap_or_default();
    let peer_limits = settings.peer_limits.clone().unwrap_or_default();
    let operator_limits = settings.operator_limits.clone().unwrap_or_default();
    let share_bytes = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
    let to_usize = |count: u32| usize::try_from(count).unwrap_or(usize::MAX);
    Settings {
        vm: SmolStr::new(settings.vm.as_str()),
        zone: SmolStr::new(settings.zone.as_str()),
        caller_address: address(&settings.caller_address),
        peer_address: address(&settings.peer_address),
        operator_address: address(&settings.operator_address),
        platform_address: address(&settings.platform_address),
        peer_key: SmolStr::new(settings.peer_key.as_str()),
        operator_key: SmolStr::new(settings.operator_key.as_str()),
        peers: settings
            .peers
            .iter()
            .map(|peer| PeerSeed {
                vm: SmolStr::new(&peer.vm),
                zone: SmolStr::new(&peer.zone),
                address: address(&peer.address),
            })
            .collect(),
        log_level: settings.log_level.unwrap_or(LogLevel::Info),
        timings: Timings::from(&settings.timings.clone().unwrap_or_default()),
        max_header_bytes: to_usize(limits.max_header_bytes),
        max_connections: to_usize(limits.max_connections.get()),
        max_answer_bytes: to_usize(limits.max_answer_bytes.get()),
        memory_bytes: defaults.memory_bytes,
        receive_buffer_bytes: to_usize(limits.receive_buffer_bytes),
        max_peer_connections: to_usize(peer_limits.max_connections.get()),
        max_operator_connections: to_usize(operator_limits.max_connections.get()),
        max_caller_bodies_bytes: limits
            .max_bodies_bytes
            .map_or(defaults.max_caller_bodies_bytes, share_bytes),
        max_peer_bodies_bytes: peer_limits
            .max_bodies_bytes
            .map_or(defaults.max_peer_bodies_bytes, share_bytes),
        max_operator_bodies_bytes: operator_limits
            .max_bodies_bytes
            .map_or(defaults.max_operator_bodies_bytes, share_bytes),
        max_answers_bytes: limits
            .max_answers_bytes
            .map_or(defaults.max_answers_bytes, share_bytes),
        max_discarded_bytes: to_usize(limits.max_discarded_bytes),
    }
}
