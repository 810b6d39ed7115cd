//! The bytes of a response that is passed on, between their receipt from the server and their sending to the caller.

use std::{collections::VecDeque, io};

use crate::link::{
    http1::{ChunkWriter, Conn, body::LAST_CHUNK},
    response::{COPIED_PIECE_MAX, ResponseFraming},
};

/// Framed bytes that are to be sent to a caller.
pub(super) struct SendQueue {
    framing: ResponseFraming,
    chunks: ChunkWriter,
    parts: VecDeque<Vec<u8>>,
    /// Number of bytes of the first part that were sent.
    sent: usize,
    /// Number of bytes in memory, including those of the first part that were sent.
    len: usize,
}

impl SendQueue {
    /// Returns an empty queue.
    pub(super) fn new(framing: ResponseFraming) -> SendQueue {
        let chunks = ChunkWriter::default();
        SendQueue { framing, chunks, parts: VecDeque::new(), sent: 0, len: 0 }
    }

    /// Adds a piece of the body.
    pub(super) fn push(&mut self, piece: Vec<u8>) {
        if piece.is_empty() {
            return;
        }
        if self.framing != ResponseFraming::Chunked {
            self.push_part(piece);
        } else if piece.len() <= COPIED_PIECE_MAX {
            let chunk = self.chunks.frame(&piece).to_vec();
            self.push_part(chunk);
        } else {
            self.push_part(format!("{:x}\r\n", piece.len()).into_bytes());
            self.push_part(piece);
            self.push_part(b"\r\n".to_vec());
        }
    }

    /// Ends a complete body.
    pub(super) fn finish(&mut self) {
        if self.framing == ResponseFraming::Chunked {
            self.push_part(LAST_CHUNK.to_vec());
        }
    }

    fn push_part(&mut self, part: Vec<u8>) {
        self.len += part.len();
        self.parts.push_back(part);
    }

    /// Returns whether all bytes have been sent.
    pub(super) fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the number of bytes in memory, including those of the first part that were sent.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Sends bytes of the first part without waiting; returns their number.
    pub(super) fn send(&mut self, conn: &mut Conn) -> io::Result<usize> {
        let Some(part) = self.parts.front() else { return Ok(0) };
        let sent = conn.send_now(&part[self.sent..])?;
        self.sent += sent;
        if self.sent == part.len() {
            self.len -= part.len();
            self.sent = 0;
            self.parts.pop_front();
        }
        Ok(sent)
    }
}
