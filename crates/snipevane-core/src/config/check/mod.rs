//! Validation of a manifest before it is put in force.

mod capacity;
mod checker;
mod names;
mod pools;
mod services;
mod teams;
mod zones;

use snipevane_proto::manifest::{Manifest, ParsedManifest};

use crate::config::Findings;

use checker::Checker;

/// Parses and validates a manifest; `file` is the file name that the findings give.
///
/// A value that doesn't match the schema gives one finding. Errors that only follow from it aren't
/// reported.
///
/// # Errors
///
/// Returns all findings, each with the JSON pointer of its location, sorted by location.
pub fn check(text: &str, file: &str) -> Result<Manifest, Findings> {
    let parsed = ParsedManifest::from_text(text);
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
