//! The `snipevane timeline` command: merges the events of entry VMs into one timeline.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use snipevane_core::timeline::merge;
use snipevane_proto::operator::{Event, Events, Status, Timeline};

use crate::output::print_json;
use crate::{CliError, Client, flags};

/// Latest time that the text output can represent, in milliseconds since the Unix epoch.
const MAX_PRINTED_MS: u64 = 253_402_300_799_999;

/// Reads and merges the events of all entry VMs given on the command line.
pub(crate) async fn run(
    client: &Client,
    cmd: &flags::Timeline,
    json: bool,
) -> Result<(), CliError> {
    let path = events_path(cmd);
    let mut responses = Vec::new();
    let mut unreachable = Vec::new();
    for (entry, response) in client.get_all::<Events>(&path).await {
        match response {
            Ok(response) => responses.push(response),
            Err(CliError::Unreachable(reason)) => unreachable.push(format!("{entry} ({reason})")),
            Err(error) => return Err(error),
        }
    }
    if responses.is_empty() {
        return Err(CliError::Unreachable(unreachable.join("; ")));
    }
    // Peers that weren't given on the command line are part of the site, too; those whose events
    // are missing are listed as not reached.
    for (_, status) in client.get_all::<Status>("/v1/status").await {
        let peers = status.map(|status| status.peers).unwrap_or_default();
        unreachable.extend(peers.into_iter().map(|peer| peer.vm));
    }
    let timeline = merge(responses, unreachable);
    if json {
        return print_json(&timeline);
    }
    print!("{}", render_timeline(&timeline));
    Ok(())
}

fn events_path(cmd: &flags::Timeline) -> String {
    let mut query = Vec::new();
    if let Some(since) = cmd.since {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let since = now.saturating_sub(since.into());
        query.push(format!("since_ms={}", since.as_millis()));
    }
    if let Some(team) = &cmd.team {
        query.push(format!("team={}", percent_encode(team)));
    }
    if let Some(vm) = &cmd.vm {
        query.push(format!("vm={}", percent_encode(vm)));
    }
    if query.is_empty() {
        return "/v1/events".to_owned();
    }
    format!("/v1/events?{}", query.join("&"))
}

/// Percent-encodes a query parameter's value.
fn percent_encode(text: &str) -> String {
    text.bytes()
        .map(|byte| match byte {
            b'0'..=b'9' | b'a'..=b'z' | b'A'..=b'Z' | b'-' | b'_' | b'.' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        })
        .collect()
}

/// Formats a timeline as text with one event per line.
pub fn render_timeline(timeline: &Timeline) -> String {
    let mut lines: Vec<_> = timeline.events.iter().map(render_event).collect();
    for process in &timeline.dropped {
        lines.push(format!(
            "{} dropped {} older events",
            process.vm, process.count
        ));
    }
    for name in &timeline.unreachable {
        lines.push(format!("not reached: {name}"));
    }
    lines.iter().map(|line| format!("{line}\n")).collect()
}

fn render_event(event: &Event) -> String {
    let time = UNIX_EPOCH + Duration::from_millis(event.wall_ms.min(MAX_PRINTED_MS));
    let mut line = format!(
        "{}+{} {} {} SV{:04} {}",
        humantime::format_rfc3339_millis(time),
        event.logical,
        event.process.vm,
        event.level,
        event.number,
        event.text,
    );
    for (name, value) in &event.fields {
        line.push_str(&format!(" {name}={}", quote_if_needed(value)));
    }
    line
}

/// Quotes a value that is empty or would make the fields of the line ambiguous.
fn quote_if_needed(value: &str) -> String {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"';
    if !value.is_empty() && value.chars().all(plain) {
        return value.to_owned();
    }
    format!("{value:?}")
}
