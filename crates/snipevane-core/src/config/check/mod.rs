//! Check of a manifest before it is put in force.

mod capacity;
mod checker;
mod names;
mod pools;
mod services;
mod teams;
mod zones;

use snipevane_proto::manifest::{Manifest, Parsed};

use crate::config::Findings;

use checker::Checker;

/// Reads and checks a manifest; `file` is its name in the findings.
///
/// A value that doesn't follow the schema is reported for that and for nothing that follows from
/// it.
///
/// # Errors
///
/// Returns every finding at once, each with its place, in the order of the places.
pub fn check(text: &str, file: &str) -> Result<Manifest, Findings> {
    let parsed = Parsed::from_text(text);
    let mut findings = Findings::new(file);
    for mismatch in parsed.mismatches {
        findings.add(mismatch.pointer, mismatch.message, mismatch.hint);
    }
    let Some(manifest) = parsed.manifest else {
        return Err(findings);
    };
    let mut checker = Checker::new(&manifest, &parsed.repaired, findings);
    checker.check_names();
    checker.check_zones();
    checker.check_teams();
    checker.check_pools();
    checker.check_services();
    checker.check_queues();
    checker.check_capacity();
    checker.check_maintenance();
    let mut findings = checker.into_findings();
    findings.sort();
    findings.into_result(manifest)
}
