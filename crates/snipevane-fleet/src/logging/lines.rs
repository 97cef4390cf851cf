//! Writes lines on a thread of its own.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Lines that wait to be written at most.
const MAX_WAITING: usize = 2_000;

/// Writes lines on a thread of its own; takes any number without waiting.
pub struct Lines {
    queue: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
}

impl Lines {
    /// Starts the thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (queue, waiting) = sync_channel(MAX_WAITING);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        std::thread::spawn(move || write_lines(&waiting, &counted, out));
        Self {
            queue,
            dropped,
            line: Vec::new(),
        }
    }
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    /// Hands the line over; counts it if too many wait.
    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        if !line.is_empty() && self.queue.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

fn write_lines(waiting: &Receiver<Vec<u8>>, dropped: &AtomicU64, mut out: impl Write) {
    while let Ok(line) = waiting.recv() {
        let lost = dropped.swap(0, Ordering::Relaxed);
        let noted = if lost > 0 {
            writeln!(out, "{}", serde_json::json!({ "dropped_lines": lost }))
        } else {
            Ok(())
        };
        let written = noted
            .and_then(|()| out.write_all(&line))
            .and_then(|()| out.flush());
        if written.is_err() {
            // Nobody reads the log any more, and there is no other place to say so.
            return;
        }
    }
}
