//! What a client of the crowd sends.

use std::fmt::Write;

use bytes::Bytes;

/// Size of a body that is within the limit of the tests' configuration, in bytes.
const BODY_BYTES: usize = 262_000;

/// Size of a head that is over any limit, in bytes.
const HEAD_BYTES: usize = 900_000;

/// Length of a header line of a head without an end, in bytes; a head has fewer than 100 lines.
const LINE_BYTES: usize = 4_000;
const LINES: usize = 99;

/// Number of bytes of empty lines before a request.
const EMPTY_LINE_BYTES: usize = 400_000;

/// Number of chunks of one byte.
const SMALL_CHUNKS: usize = 64_000;

/// Number of requests at once whose answers are read.
const REQUESTS_AT_ONCE: usize = 200;

/// Number of requests at once whose answers aren't read; the requests don't fit in the buffers of a connection.
const UNREAD_REQUESTS: usize = 60_000;

/// Size of the pieces of a body that is sent piece by piece, in bytes.
const PIECE_BYTES: usize = 4_096;

/// Kind of misbehaviour.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    HeadOverTheLimit,
    HeadWithoutEnd,
    EmptyLinesWithoutEnd,
    BodyWhole,
    BodyShortOfItsEnd,
    BodyInPiecesShortOfItsEnd,
    LargeChunkWhole,
    LargeChunkWithoutEnd,
    SmallChunksWithoutEnd,
    ManyRequests,
    AnswersNeverRead,
    OpenAndSilent,
}

/// Bytes that a client sends, and how.
#[derive(Clone)]
pub(crate) struct Script {
    pub(crate) bytes: Bytes,
    /// Number of bytes after which other clients get their turn.
    pub(crate) piece_bytes: usize,
    pub(crate) reads_answers: bool,
}

impl Script {
    /// Returns what a client of a kind sends to a path.
    pub(crate) fn new(kind: Kind, path: &str) -> Self {
        let bytes = bytes(kind, path);
        let piece_bytes = match kind {
            Kind::HeadWithoutEnd => LINE_BYTES,
            Kind::BodyInPiecesShortOfItsEnd => PIECE_BYTES,
            _ => bytes.len().max(1),
        };
        Self {
            bytes: bytes.into(),
            piece_bytes,
            reads_answers: !matches!(kind, Kind::AnswersNeverRead),
        }
    }
}

fn bytes(kind: Kind, path: &str) -> String {
    let without_last = |mut text: String| {
        text.pop();
        text
    };
    match kind {
        Kind::HeadOverTheLimit => format!("{}X-Filler: {}", head("GET", path), fill(HEAD_BYTES)),
        Kind::HeadWithoutEnd => head("GET", path) + &header_lines(),
        Kind::EmptyLinesWithoutEnd => "\r\n".repeat(EMPTY_LINE_BYTES / 2),
        Kind::BodyWhole => body(path),
        Kind::BodyShortOfItsEnd | Kind::BodyInPiecesShortOfItsEnd => without_last(body(path)),
        Kind::LargeChunkWhole => format!("{}0\r\n\r\n", chunked(path, 1, BODY_BYTES)),
        Kind::LargeChunkWithoutEnd => chunked(path, 1, BODY_BYTES),
        Kind::SmallChunksWithoutEnd => chunked(path, SMALL_CHUNKS, 1),
        Kind::ManyRequests => format!("{}\r\n", head("GET", path)).repeat(REQUESTS_AT_ONCE),
        Kind::AnswersNeverRead => format!("{}\r\n", head("GET", path)).repeat(UNREAD_REQUESTS),
        Kind::OpenAndSilent => String::new(),
    }
}

/// Returns a head without the empty line that ends it.
fn head(method: &str, path: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Api-Key: key\r\n\
         X-Snipevane-Deadline-Ms: 600000\r\n"
    )
}

fn header_lines() -> String {
    (0..LINES).fold(String::new(), |mut text, line| {
        let filler = fill(LINE_BYTES);
        // Writing to a string doesn't fail.
        let _ = write!(text, "X-{line}: {filler}\r\n");
        text
    })
}

fn body(path: &str) -> String {
    let head = head("POST", path);
    format!(
        "{head}Content-Length: {BODY_BYTES}\r\n\r\n{}",
        fill(BODY_BYTES)
    )
}

fn chunked(path: &str, chunks: usize, chunk_bytes: usize) -> String {
    let head = head("POST", path);
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", fill(chunk_bytes));
    format!(
        "{head}Transfer-Encoding: chunked\r\n\r\n{}",
        chunk.repeat(chunks)
    )
}

fn fill(bytes: usize) -> String {
    "x".repeat(bytes)
}
