//! The `snipevane explain` command: shows the history of one job or task from the logs of several
//! processes.

mod history;
mod line;

use std::io::Read;
use std::path::{Path, PathBuf};

use crate::output::print_json;
use crate::{CliError, flags};

pub use history::{Gap, History};
pub use line::{LogLine, parse_log};

/// Prints the history of a job, step or task.
pub(crate) fn run(cmd: &flags::Explain, json: bool) -> Result<(), CliError> {
    let lines = read_logs(&cmd.log)?;
    let history = explain(&cmd.id, &lines)?;
    if json {
        return print_json(&history);
    }
    print!("{history}");
    Ok(())
}

/// Collects the history of a job, step or task from log lines.
///
/// # Errors
///
/// Returns an error if `id` isn't a valid identifier, or no line concerns it.
pub fn explain(id: &str, lines: &[LogLine]) -> Result<History, CliError> {
    if !line::is_id(id) {
        let reason = format!("{id:?} isn't the identifier of a job, step or task");
        return Err(CliError::Usage(reason));
    }
    History::collect(id, lines)
        .ok_or_else(|| CliError::Incomplete(format!("the logs have no line about {id}")))
}

fn read_logs(files: &[PathBuf]) -> Result<Vec<LogLine>, CliError> {
    if files.is_empty() {
        let mut text = String::new();
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|source| file_error(Path::new("standard input"), source))?;
        return Ok(parse_log(&text));
    }
    let mut lines = Vec::new();
    for path in files {
        let text = std::fs::read_to_string(path).map_err(|source| file_error(path, source))?;
        lines.extend(parse_log(&text));
    }
    Ok(lines)
}

fn file_error(path: &Path, source: std::io::Error) -> CliError {
    CliError::File {
        path: path.to_owned(),
        source,
    }
}
