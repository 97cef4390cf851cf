//! Child process of a measured site.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use serde_json::Value;
use uuid::Uuid;

/// Child process of a measured site; it is killed when this value is dropped.
pub(super) struct SiteProcess {
    child: Child,
    settings: PathBuf,
    /// Addresses in the first line that the process printed.
    pub(super) addresses: Vec<SocketAddr>,
}

impl SiteProcess {
    /// Starts a process, and waits until it is ready.
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
            let message = format!("the process {kind} didn't start");
            return Err(io::Error::other(message));
        }
        Ok(process)
    }

    /// Returns the identifier of the process.
    pub(super) fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for SiteProcess {
    fn drop(&mut self) {
        // Errors are ignored: the process may have ended, and the file may be gone.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}
