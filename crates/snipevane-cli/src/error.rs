//! Failures of a command and their exit codes.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use snipevane_core::config::Findings;
use snipevane_proto::operator::Problem;
use thiserror::Error;

/// Exit code of a command that was refused or failed.
const FAILED: u8 = 1;
/// Exit code for bad input or usage.
const BAD_INPUT: u8 = 2;
/// Exit code where no entry VM was reached.
const UNREACHABLE: u8 = 3;

/// Failure of a command.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum CliError {
    /// The flags can't be used together, or one is missing.
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
    /// No entry VM was reached; nothing was sent.
    #[error("no entry VM was reached: {0}")]
    Unreachable(String),
    /// The request was sent and its answer was lost.
    #[error("the outcome isn't known, the answer was lost: {0}")]
    OutcomeUnknown(String),
    /// The entry VM refused.
    #[error("{}", render_refusal(problem, *retry_after_s))]
    Refused {
        /// The refusal.
        problem: Box<Problem>,
        /// Time after which a retry makes sense, in seconds.
        retry_after_s: Option<u64>,
    },
    /// The entry VM's answer can't be read.
    #[error("the answer can't be read: {0}")]
    InvalidResponse(String),
    /// The command didn't reach its goal in time.
    #[error("{0}")]
    Incomplete(String),
    /// The runtime didn't start.
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
