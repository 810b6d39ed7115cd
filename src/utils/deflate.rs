//! DEFLATE compression of large parts of messages between instances.

use std::io::{self, Read as _, Write as _};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

/// Maximum number of decompressed bytes: ten times an intent of the planned size.
const DECOMPRESSED_MAX: u64 = 64 << 20;

/// Compresses bytes. An intent with 1,400 routes takes 19 KB, compared with 371 KB as the store sends it.
///
/// # Panics
///
/// Never: writing to a vector cannot fail.
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let compressed = encoder.write_all(bytes).and_then(|()| encoder.finish());
    compressed.expect("writing to a vector cannot fail")
}

/// Decompresses bytes. What exceeds 64 MiB is cut off, so that a small message cannot take all memory.
///
/// # Errors
///
/// The bytes are no valid DEFLATE stream.
pub fn decompress(compressed: &[u8]) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(compressed).take(DECOMPRESSED_MAX).read_to_end(&mut bytes)?;
    Ok(bytes)
}
