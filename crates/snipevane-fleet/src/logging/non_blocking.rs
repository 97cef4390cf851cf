//! Non-blocking writer for log lines.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Maximum number of lines in the queue.
const QUEUE_CAPACITY: usize = 2_000;

/// Writes lines on a dedicated thread. A write never blocks: if the queue is full, the line is
/// dropped and counted.
pub struct NonBlockingWriter {
    queue: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    line: Vec<u8>,
}

impl NonBlockingWriter {
    /// Starts the thread that writes to `out`.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (queue, receiver) = sync_channel(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_in_thread = dropped.clone();
        std::thread::spawn(move || write_lines(&receiver, &dropped_in_thread, out));
        Self {
            queue,
            dropped,
            line: Vec::new(),
        }
    }
}

impl Write for NonBlockingWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    /// Queues the buffered line, or drops and counts it if the queue is full.
    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        if !line.is_empty() && self.queue.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Writes queued lines until the sender is dropped or a write fails. The number of dropped lines is
/// reported before the next line.
fn write_lines(receiver: &Receiver<Vec<u8>>, dropped: &AtomicU64, mut out: impl Write) {
    while let Ok(line) = receiver.recv() {
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        let reported = if dropped_lines > 0 {
            writeln!(
                out,
                "{}",
                serde_json::json!({ "dropped_lines": dropped_lines })
            )
        } else {
            Ok(())
        };
        let written = reported
            .and_then(|()| out.write_all(&line))
            .and_then(|()| out.flush());
        if written.is_err() {
            // The log has no reader any more, and there is no other place to report the error.
            return;
        }
    }
}
