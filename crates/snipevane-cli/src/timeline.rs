//! `snipevane timeline`.

use std::collections::BTreeSet;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use snipevane_proto::operator::{Event, Events};

use crate::flags::Timeline;
use crate::output::print_json;
use crate::{CliError, Client};

/// The merged time line, as printed in JSON.
#[derive(Clone, Debug, Serialize)]
struct Merged {
    events: Vec<Event>,
    dropped: u64,
    unreachable: BTreeSet<String>,
}

/// Merges the events of all named entry VMs.
pub(crate) async fn run(client: &Client, cmd: &Timeline, json: bool) -> Result<(), CliError> {
    let path = path(cmd);
    let mut merged = Merged {
        events: Vec::new(),
        dropped: 0,
        unreachable: BTreeSet::new(),
    };
    let mut reached = BTreeSet::new();
    for &entry in client.entries() {
        match client.get_from::<Events>(entry, &path).await {
            Ok(answer) => {
                reached.insert(answer.process.vm.clone());
                merged.dropped += answer.dropped;
                merged.unreachable.extend(answer.unreachable);
                merged.events.extend(answer.events);
            }
            Err(CliError::Unreachable(why)) => {
                merged.unreachable.insert(format!("{entry} ({why})"));
            }
            Err(error) => return Err(error),
        }
    }
    if reached.is_empty() {
        let unreachable: Vec<_> = merged.unreachable.into_iter().collect();
        return Err(CliError::Unreachable(unreachable.join("; ")));
    }
    merged.unreachable.retain(|vm| !reached.contains(vm));
    merged.events.sort_by(|a, b| order(a).cmp(&order(b)));
    merged.events.dedup();
    if json {
        return print_json(&merged);
    }
    print(&merged);
    Ok(())
}

fn path(cmd: &Timeline) -> String {
    let mut query = Vec::new();
    if let Some(since) = cmd.since {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let since = now.saturating_sub(since.into());
        query.push(format!("since_ms={}", since.as_millis()));
    }
    if let Some(team) = &cmd.team {
        query.push(format!("team={}", escape(team)));
    }
    if let Some(vm) = &cmd.vm {
        query.push(format!("vm={}", escape(vm)));
    }
    if query.is_empty() {
        return "/v1/events".to_owned();
    }
    format!("/v1/events?{}", query.join("&"))
}

/// Percent-encodes a value of a query.
fn escape(text: &str) -> String {
    text.bytes()
        .map(|byte| match byte {
            b'0'..=b'9' | b'a'..=b'z' | b'A'..=b'Z' | b'-' | b'_' | b'.' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        })
        .collect()
}

fn order(event: &Event) -> (u64, u32, &str, u64, u16) {
    (
        event.wall_ms,
        event.logical,
        &event.process.vm,
        event.process.incarnation,
        event.number,
    )
}

fn print(merged: &Merged) {
    for event in &merged.events {
        let fields: Vec<_> = event
            .fields
            .iter()
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        println!(
            "{}.{:03} {} SV{:04} {} {}",
            event.wall_ms,
            event.logical,
            event.process.vm,
            event.number,
            event.text,
            fields.join(" "),
        );
    }
    if merged.dropped > 0 {
        println!("{} older events were dropped", merged.dropped);
    }
    for vm in &merged.unreachable {
        println!("not reached: {vm}");
    }
}
