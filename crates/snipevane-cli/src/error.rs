//! Errors of commands and their exit codes.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use snipevane_core::config::Findings;
use snipevane_proto::operator::Problem;
use thiserror::Error;

/// Exit code of a command that was refused or failed.
const FAILED: u8 = 1;
/// Exit code for invalid input or usage.
const BAD_INPUT: u8 = 2;
/// Exit code if no entry VM was reached.
const UNREACHABLE: u8 = 3;

/// Error of a command.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum CliError {
    /// A flag or argument is invalid or missing.
    #[error("{0}")]
    Usage(String),
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The manifest has findings.
    #[error("{0}")]
    Findings(Findings),
    /// No entry VM was reached; no request that changes state was sent.
    #[error("no entry VM was reached: {0}")]
    Unreachable(String),
    /// The request may have been sent, but no response arrived, so it may have taken effect.
    #[error("the outcome isn't known, the answer was lost: {0}")]
    OutcomeUnknown(String),
    /// The entry VM refused the request.
    #[error("{}", render_refusal(problem, *retry_after_s))]
    Refused {
        /// Problem details of the refusal.
        problem: Box<Problem>,
        /// Delay after which to retry, in seconds, from the `Retry-After` header.
        retry_after_s: Option<u64>,
    },
    /// The response of the entry VM can't be decoded, or the output can't be encoded.
    #[error("invalid response: {0}")]
    InvalidResponse(String),
    /// The command didn't achieve its result, for example within its time limit.
    #[error("{0}")]
    Incomplete(String),
    /// The async runtime, or the demo's site, didn't start.
    #[error("the runtime didn't start: {0}")]
    Runtime(io::Error),
}

impl CliError {
    /// Returns the exit code of a command that failed with this error.
    pub fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::Usage(_) | Self::File { .. } | Self::Findings(_) => BAD_INPUT,
            Self::Unreachable(_) => UNREACHABLE,
            Self::Refused { problem, .. } if !problem.findings.is_empty() => BAD_INPUT,
            Self::Refused { .. }
            | Self::OutcomeUnknown(_)
            | Self::InvalidResponse(_)
            | Self::Incomplete(_)
            | Self::Runtime(_) => FAILED,
        };
        ExitCode::from(code)
    }
}

fn render_refusal(problem: &Problem, retry_after_s: Option<u64>) -> String {
    let mut text = format!("refused ({}): {}", problem.status, problem.title);
    match (&problem.detail, problem.in_force) {
        (Some(detail), _) => text.push_str(&format!("; {detail}")),
        (None, Some(version)) => text.push_str(&format!("; version {version} is in force")),
        (None, None) => {}
    }
    if let Some(seconds) = retry_after_s {
        text.push_str(&format!("; try again after {seconds} s"));
    }
    for finding in &problem.findings {
        text.push_str(&format!("\n  {}: {}", finding.pointer, finding.message));
        if !finding.hint.is_empty() {
            text.push_str(&format!("; {}", finding.hint));
        }
    }
    text
}
