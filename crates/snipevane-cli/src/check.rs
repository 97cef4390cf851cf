//! The `snipevane check` command: checks a manifest without contacting the site.

use std::fs;
use std::path::Path;

use serde::Serialize;
use snipevane_core::config::{Finding, Findings, check};
use snipevane_proto::operator::ProblemFinding;

use crate::CliError;
use crate::output::print_json;

/// Result of the command, printed with `--json`.
#[derive(Clone, Debug, Serialize)]
struct Report {
    file: String,
    findings: Vec<ProblemFinding>,
}

/// Checks a manifest and prints its findings.
pub(crate) fn run(path: &Path, json: bool) -> Result<(), CliError> {
    let (file, text) = read_file(path)?;
    let result = check(&text, &file);
    if json {
        let findings = result
            .as_ref()
            .map_or_else(problem_findings, |_| Vec::new());
        print_json(&Report { file, findings })?;
    } else if result.is_ok() {
        println!("{file}: no findings");
    }
    result.map(|_| ()).map_err(CliError::Findings)
}

fn problem_findings(findings: &Findings) -> Vec<ProblemFinding> {
    let to_problem_finding = |finding: &Finding| ProblemFinding {
        pointer: finding.pointer.to_string(),
        message: finding.message.clone(),
        hint: finding.hint.clone(),
    };
    findings.list.iter().map(to_problem_finding).collect()
}

/// Reads a file and returns its name, as shown in findings, and its text.
pub(crate) fn read_file(path: &Path) -> Result<(String, String), CliError> {
    let text = fs::read_to_string(path).map_err(|source| CliError::File {
        path: path.to_owned(),
        source,
    })?;
    Ok((path.display().to_string(), text))
}
