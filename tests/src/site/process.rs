//! A process of the site.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use serde_json::Value;

static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

/// A child process, killed when it's dropped.
pub struct Process {
    child: Child,
    settings_file: PathBuf,
    /// Addresses that the process printed when it was ready.
    pub addresses: Vec<SocketAddr>,
}

impl Process {
    /// Starts a process and waits until it prints its addresses.
    ///
    /// # Panics
    ///
    /// Panics if the process doesn't start.
    pub fn start(program: &str, kind: &str, settings: &Value) -> Self {
        let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
        let name = format!("snipevane-{}-{number}.json", std::process::id());
        let settings_file = std::env::temp_dir().join(name);
        fs::write(&settings_file, settings.to_string()).unwrap();
        let mut child = Command::new(program)
            .arg(kind)
            .arg(&settings_file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        let words = line.split(|c: char| c.is_whitespace() || c == '=');
        let addresses = words.filter_map(|word| word.parse().ok()).collect();
        Self {
            child,
            settings_file,
            addresses,
        }
    }

    /// Returns the process's identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process hasn't ended.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be asked.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    ///
    /// Panics if the process is gone.
    pub fn signal(&self, signal: i32) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(pid)
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Kills the process and waits for its end.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be waited for.
    pub fn kill(&mut self) {
        // An error means that the process has ended.
        let _ = self.child.kill();
        self.child.wait().unwrap();
    }

    /// Waits for the end of the process and returns its exit code.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be waited for.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings_file);
    }
}
