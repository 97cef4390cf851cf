//! Runs the command line as a process, as an operator does.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};

use serde_json::Value;

use crate::site::Site;

const OPERATOR_KEY: &str = "operator-key-of-tests";

/// What a command printed, and how it ended.
pub struct Run {
    /// Exit code.
    pub code: Option<i32>,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

impl Run {
    /// Parses the standard output; null if it isn't JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_default()
    }
}

impl From<Output> for Run {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code(),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

/// Files of one test, removed at its end.
pub struct Files {
    folder: PathBuf,
}

impl Files {
    /// Creates a folder for a test.
    ///
    /// # Panics
    ///
    /// Panics if it can't be created.
    pub fn new(test: &str) -> Self {
        let name = format!("snipevane-{}-{test}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        assert!(fs::create_dir_all(&folder).is_ok());
        Self { folder }
    }

    /// Writes a file and returns its path.
    ///
    /// # Panics
    ///
    /// Panics if it can't be written.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        assert!(fs::write(&path, text).is_ok());
        path.display().to_string()
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// An operator's terminal: the entry VMs that are named, and the files.
pub struct Operator {
    program: &'static str,
    /// Operator listeners that are named.
    pub entries: Vec<SocketAddr>,
    /// File of the operator key.
    pub key_file: String,
    /// Files of the test.
    pub files: Files,
}

impl Operator {
    /// Names operator listeners.
    pub fn new(program: &'static str, test: &str, entries: Vec<SocketAddr>) -> Self {
        let files = Files::new(test);
        let key_file = files.write("operator-key", OPERATOR_KEY);
        Self {
            program,
            entries,
            key_file,
            files,
        }
    }

    /// Names all entry VMs of a site.
    pub fn of_site(program: &'static str, test: &str, site: &Site) -> Self {
        let entries = site.entries.iter();
        Self::new(
            program,
            test,
            entries.map(|entry| entry.process.addresses[2]).collect(),
        )
    }

    /// Runs a command with the entry VMs and the key.
    ///
    /// # Panics
    ///
    /// Panics if the process doesn't start.
    pub fn run(&self, args: &[&str]) -> Run {
        let mut command = Command::new(self.program);
        command
            .args(args)
            .arg("--operator-key-file")
            .arg(&self.key_file);
        for entry in &self.entries {
            command.arg("--entry").arg(entry.to_string());
        }
        command
            .output()
            .unwrap_or_else(|error| panic!("{error}"))
            .into()
    }
}

/// Runs a command as it stands.
///
/// # Panics
///
/// Panics if the process doesn't start.
pub fn bare(program: &str, args: &[&str]) -> Run {
    let output = Command::new(program).args(args).output();
    output.unwrap_or_else(|error| panic!("{error}")).into()
}
