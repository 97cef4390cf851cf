//! `snipevane check`.

use std::fs;
use std::path::Path;

use snipevane_core::config::Findings;
use snipevane_proto::manifest::Manifest;

use crate::CliError;

/// Checks a manifest and prints its findings.
pub(crate) fn run(path: &Path, json: bool) -> Result<(), CliError> {
    let (file, text) = read(path)?;
    match parse(&text, &file) {
        Ok(_) => {
            if !json {
                println!("{file}: no findings");
            }
            Ok(())
        }
        Err(findings) => Err(CliError::Findings(findings)),
    }
}

/// Reads a file; returns its name as shown in findings, and its text.
pub(crate) fn read(path: &Path) -> Result<(String, String), CliError> {
    let text = fs::read_to_string(path).map_err(|source| CliError::File {
        path: path.to_owned(),
        source,
    })?;
    Ok((path.display().to_string(), text))
}

/// Parses a manifest.
pub(crate) fn parse(text: &str, file: &str) -> Result<Manifest, Findings> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let mut findings = Findings::new(file);
        findings.add(error.path().to_string(), error.inner().to_string(), "");
        findings
    })
}
