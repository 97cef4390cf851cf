//! A child process of the measurement.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use serde_json::Value;
use uuid::Uuid;

/// A part of the site, killed when it's dropped.
pub(super) struct SiteProcess {
    child: Child,
    settings: PathBuf,
    /// Addresses that the process printed in its first line.
    pub(super) addresses: Vec<SocketAddr>,
}

impl SiteProcess {
    /// Starts a part and waits until it's ready.
    pub(super) fn start(kind: &str, settings: &Value) -> io::Result<Self> {
        let name = format!("snipevane-measure-{}.json", Uuid::now_v7());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings.to_string())?;
        let mut child = Command::new(std::env::current_exe()?)
            .args(["part", kind])
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take();
        let mut process = Self {
            child,
            settings: path,
            addresses: Vec::new(),
        };
        let mut line = String::new();
        if let Some(stdout) = stdout {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        let words = line.split(|c: char| c.is_whitespace() || c == '=');
        process.addresses = words.filter_map(|word| word.parse().ok()).collect();
        if process.addresses.is_empty() {
            let message = format!("the part {kind} didn't start");
            return Err(io::Error::other(message));
        }
        Ok(process)
    }

    /// Returns the process's identifier.
    pub(super) fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for SiteProcess {
    fn drop(&mut self) {
        // An error means that the process has ended, or that the file is gone.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}
