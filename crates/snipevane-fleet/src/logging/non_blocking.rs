//! Writes lines on a thread of its own.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Lines that wait to be written at most.
const QUEUE_CAPACITY: usize = 2_000;

/// Writes lines on a thread of its own; takes any number without waiting.
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

    /// Hands the line over; counts it if too many wait.
    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        if !line.is_empty() && self.queue.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

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
            // Nobody reads the log any more, and there is no other place to say so.
            return;
        }
    }
}
