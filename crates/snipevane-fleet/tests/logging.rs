//! A blocked reader of the log loses lines but does not delay the process.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use snipevane_fleet::logging::NonBlockingWriter;

/// Number of lines, far more than the queue holds.
const LINE_COUNT: usize = 10_000;

/// A writer that blocks until it receives a signal, like a pipe without a reader.
struct BlockedWriter {
    unblock_rx: Receiver<()>,
    unblocked: bool,
    written: Sender<Vec<u8>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.unblocked {
            self.unblock_rx.recv().expect("the signal to unblock");
            self.unblocked = true;
        }
        self.written.send(bytes.to_vec()).expect("a reader");
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_reader_does_not_block_writes_and_dropped_lines_are_counted() {
    let (unblock_tx, unblock_rx) = channel();
    let (written, chunks) = channel();
    let mut lines = NonBlockingWriter::start(BlockedWriter {
        unblock_rx,
        unblocked: false,
        written,
    });
    for number in 0..LINE_COUNT {
        writeln!(lines, "line {number}").expect("a line");
        lines.flush().expect("a line");
    }
    unblock_tx.send(()).expect("the pipe");
    drop(lines);
    let text: Vec<u8> = chunks.iter().flatten().collect();
    let text = String::from_utf8(text).expect("text");
    let kept = text
        .lines()
        .filter(|line| line.starts_with("line "))
        .count();
    let lost = text.lines().filter_map(|line| {
        let number = line
            .strip_prefix("{\"dropped_lines\":")?
            .strip_suffix('}')?;
        number.parse::<usize>().ok()
    });
    assert!(kept < LINE_COUNT);
    assert_eq!(kept + lost.sum::<usize>(), LINE_COUNT);
}
