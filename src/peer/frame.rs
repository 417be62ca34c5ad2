//! Encoding of messages: `bincode`, limited in size, compressed when large.

use std::io::Read;
use std::io::Write;

use bincode::config;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::Code;
use crate::errors::CodedError;

/// Maximum size of an encoded message.
pub const FRAME_MAX_BYTES: usize = 4 << 20;

/// Messages of at least this size are compressed. A configuration of 2,000 routes takes 325 KB
/// plain and some 20 KB compressed; sent plain to fifty peers over slow links, it took seconds,
/// longer than the timeouts of calls between instances. Below this size compression costs more than
/// it saves.
const COMPRESS_MIN_BYTES: usize = 4 << 10;
/// First byte of an encoded message: how the rest is encoded.
const PLAIN: u8 = 0;
const COMPRESSED: u8 = 1;

/// A message between instances.
pub trait Message: Serialize {
    /// Number of its bytes that are already compressed.
    fn packed_bytes(&self) -> usize {
        0
    }
}

/// Encodes a message.
#[must_use]
pub fn encode<T: Message>(message: &T) -> Vec<u8> {
    encode_value(message, message.packed_bytes())
}

/// Encodes a value; `packed_bytes` of it are already compressed and do not count towards the
/// compression threshold.
///
/// # Panics
/// Never for the message types of this crate, whose encoding into memory cannot fail.
pub(super) fn encode_value<T: Serialize>(value: &T, packed_bytes: usize) -> Vec<u8> {
    let mut bytes = vec![PLAIN];
    bincode::serde::encode_into_std_write(value, &mut bytes, config::standard())
        .expect("encoding into memory cannot fail");
    if bytes.len() < COMPRESS_MIN_BYTES + packed_bytes {
        return bytes;
    }
    compress(&bytes[1..]).unwrap_or(bytes)
}

/// Compresses an encoded value; `None` on failure, in which case the value is sent plain.
fn compress(plain: &[u8]) -> Option<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(vec![COMPRESSED], Compression::fast());
    encoder.write_all(plain).ok()?;
    encoder.finish().ok()
}

/// Decompresses a message, up to one byte more than the maximum size, so that a decompression bomb
/// cannot exhaust memory.
fn decompress(compressed: &[u8]) -> Result<Vec<u8>, CodedError> {
    let mut plain = Vec::new();
    let mut bounded = DeflateDecoder::new(compressed).take(FRAME_MAX_BYTES as u64 + 1);
    let read = bounded.read_to_end(&mut plain);
    read.map_err(|err| CodedError::new(Code::PeerFrame, err.to_string()))?;
    Ok(plain)
}

/// Decodes a message, which must take up all of `bytes`.
///
/// The size limit bounds what a forged length can make the decoder allocate.
///
/// # Errors
/// `PeerFrame` for malformed bytes, `PeerFrameTooLarge` above the maximum size.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodedError> {
    match bytes.split_first() {
        Some((&PLAIN, plain)) => decode_plain(plain),
        Some((&COMPRESSED, compressed)) => decode_plain(&decompress(compressed)?),
        _ => Err(CodedError::new(Code::PeerFrame, "unknown encoding")),
    }
}

fn decode_plain<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodedError> {
    if bytes.len() > FRAME_MAX_BYTES {
        return Err(CodedError::new(Code::PeerFrameTooLarge, format!("{} bytes", bytes.len())));
    }
    let bounded = config::standard().with_limit::<FRAME_MAX_BYTES>();
    let decoded = bincode::serde::decode_from_slice(bytes, bounded);
    let (message, read) = decoded.map_err(|e| CodedError::new(Code::PeerFrame, e.to_string()))?;
    if read != bytes.len() {
        return Err(CodedError::new(
            Code::PeerFrame,
            format!("{} trailing bytes", bytes.len() - read),
        ));
    }
    Ok(message)
}

/// Maximum encoded size of the rows in one message, well below [`FRAME_MAX_BYTES`] to leave space
/// for the rest of the message.
const ROWS_MAX_BYTES: usize = 1 << 20;

/// Splits rows into groups that each fit into one message. Rows larger than that are dropped;
/// callers keep rows below that size.
#[must_use]
pub fn split_rows<T: Serialize + Clone>(rows: &[T]) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut free_bytes = 0;
    for row in rows {
        let size = encode_value(row, 0).len();
        if size > ROWS_MAX_BYTES {
            continue;
        }
        if size > free_bytes {
            parts.push(Vec::new());
            free_bytes = ROWS_MAX_BYTES;
        }
        free_bytes -= size;
        if let Some(part) = parts.last_mut() {
            part.push(row.clone());
        }
    }
    parts
}
