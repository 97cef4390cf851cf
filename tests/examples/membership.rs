//! Measures the traffic between the entry VMs of an idle site, and what each process takes.
//!
//! `cargo run -p snipevane-tests --example membership -- PROGRAM`, where PROGRAM is the
//! path of the built `site-process`. Starts 7, 14 and 28 entry VMs in 7 availability zones, one
//! site after the other, with the daemon's own timings.

#![allow(clippy::unwrap_used, reason = "a failed step ends the run")]

use std::fs;
use std::time::Duration;

use http::Method;
use serde_json::json;
use snipevane_tests::site::{EntryVm, Site, SiteOptions};
use tokio::time::sleep;

/// Time over which an idle site is measured.
const TIME: Duration = Duration::from_secs(10);
/// Processor time units a second of `/proc`.
const TICKS: f64 = 100.0;

#[tokio::main]
async fn main() {
    let program: &'static str = std::env::args().nth(1).unwrap().leak();
    println!("| entry VMs | bytes/s of one | processor time of one, % of a core | resident, MB |");
    println!("|---|---|---|---|");
    for entries_per_zone in [1, 2, 4] {
        let options = SiteOptions {
            zones: vec!["a", "b", "c", "d", "e", "f", "g"],
            entries_per_zone,
            backends_per_zone: 1,
            teams: vec![("ledger", 8, 24), ("audit", 1, 8), ("registry", 20, 40)],
            timings: json!({}),
            ..SiteOptions::default()
        };
        let site = Site::start(program, options).await;
        measure(&site).await;
    }
}

async fn measure(site: &Site) {
    // What the start took isn't part of an idle site.
    sleep(Duration::from_secs(2)).await;
    let (bytes, ticks) = sums(site).await;
    sleep(TIME).await;
    let (bytes_after, ticks_after) = sums(site).await;
    let count = site.entries.len() as f64;
    let seconds = TIME.as_secs_f64();
    // Each byte passes one listener, and one entry VM sent it and another one received it.
    let of_one = (bytes_after - bytes) * 2.0 / count / seconds;
    let processor = (ticks_after - ticks) / TICKS / count / seconds * 100.0;
    let resident = site.entries.iter().map(resident_kb).sum::<f64>() / count / 1000.0;
    println!("| {count} | {of_one:.0} | {processor:.2} | {resident:.1} |");
}

/// Returns the bytes of all peer listeners and the processor time of all entry VMs.
async fn sums(site: &Site) -> (f64, f64) {
    let mut bytes = 0.0;
    let mut ticks = 0.0;
    for entry in &site.entries {
        let operator = entry.operator();
        let page = operator.send(Method::GET, "/metrics", &[], "").await;
        let page = String::from_utf8(page.unwrap().body.to_vec()).unwrap();
        let lines = page
            .lines()
            .filter(|line| line.starts_with("snipevane_peer_bytes_total"));
        bytes += lines.filter_map(last_number).sum::<f64>();
        ticks += processor_ticks(entry);
    }
    (bytes, ticks)
}

fn last_number(line: &str) -> Option<f64> {
    line.split_whitespace().last()?.parse().ok()
}

fn processor_ticks(entry: &EntryVm) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", entry.process.id())).unwrap();
    let after_name = stat.rsplit_once(')').unwrap().1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    // User and system time are the 14th and 15th field, the name is the second.
    fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()
}

fn resident_kb(entry: &EntryVm) -> f64 {
    let status = fs::read_to_string(format!("/proc/{}/status", entry.process.id())).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}
