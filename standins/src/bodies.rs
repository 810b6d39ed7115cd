//! Bodies of the answers of listed backend servers.

use cartvane::link::http1::{ChunkWriter, body::LAST_CHUNK};

/// Events of a stream.
pub const EVENTS: usize = 8;

/// Returns the body of the answer to a request.
pub fn expected(received_target: &str, body: &[u8]) -> String {
    format!(
        "{received_target} {} bytes, hash {:016x}",
        body.len(),
        xxhash_rust::xxh3::xxh3_64(body)
    )
}

/// Returns a stream's events from `first` on.
pub fn events(first: usize) -> String {
    (first..=EVENTS).map(event).collect()
}

/// Returns an event that names the version of the server that made it.
pub fn marked_event(number: usize, version: &str) -> String {
    format!("id: {number}\ndata: {version}\n\n")
}

fn event(number: usize) -> String {
    large_event(number, 0)
}

/// Returns an event whose data has this many bytes more than usual.
pub fn large_event(number: usize, bytes: usize) -> String {
    format!("id: {number}\ndata: part {number}{}\n\n", "x".repeat(bytes))
}

/// Returns the body of an answer to a request that asks for this many bytes.
pub fn large_body(bytes: usize) -> Vec<u8> {
    let period: Vec<u8> = (0..7 * 26).map(|at| b'a' + (at / 7) as u8).collect();
    // Copied in blocks: made byte by byte, a body of megabytes would take longer than routers wait for its head.
    let mut body = period.repeat(bytes.div_ceil(period.len()));
    body.truncate(bytes);
    body
}

/// Size of the chunks of an answer that is asked for in chunks, in bytes.
const CHUNK: usize = 30_000;

/// Returns a whole answer in chunks instead of with a length.
pub(crate) fn in_chunks(bytes: &[u8]) -> Vec<u8> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n").unwrap_or_default();
    let (head, body) = (String::from_utf8_lossy(&bytes[..end]), &bytes[end + 4..]);
    let lines = head.split("\r\n").filter(|line| !line.starts_with("content-length"));
    let head: Vec<&str> = lines.chain(["transfer-encoding: chunked", "", ""]).collect();
    let mut buf = head.join("\r\n").into_bytes();
    for chunk in body.chunks(CHUNK) {
        buf.extend_from_slice(ChunkWriter::default().frame(chunk));
    }
    buf.extend_from_slice(LAST_CHUNK);
    buf
}
