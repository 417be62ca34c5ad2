//! Encoding of messages, bounded in size; large ones are compressed.

use std::io::Read;
use std::io::Write;

use bincode::config;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::Code;
use crate::errors::Coded;

/// Largest encoded message.
pub const FRAME_MAX_BYTES: usize = 4 << 20;

/// Messages above this are compressed. A configuration of two thousand routes takes 325 KB as it is
/// and some 20 KB compressed; sent whole to fifty neighbours over slow links, it took seconds, and
/// calls between instances give up before. Below this, compressing gains less than it costs.
const COMPRESS_MIN_BYTES: usize = 4 << 10;
/// The first byte of a message tells how the rest is written.
const PLAIN: u8 = 0;
const COMPRESSED: u8 = 1;

/// What instances send each other.
pub trait Message: Serialize {
    /// Bytes of it that are compressed already.
    fn packed_bytes(&self) -> usize {
        0
    }
}

/// Encodes a message.
#[must_use]
pub fn encode<T: Message>(message: &T) -> Vec<u8> {
    encode_value(message, message.packed_bytes())
}

/// Encodes a value of which so many bytes are compressed already.
///
/// # Panics
/// Never for the message types of this crate: encoding to memory cannot fail for them.
pub(super) fn encode_value<T: Serialize>(value: &T, packed_bytes: usize) -> Vec<u8> {
    let mut bytes = vec![PLAIN];
    bincode::serde::encode_into_std_write(value, &mut bytes, config::standard())
        .expect("messages can be encoded");
    if bytes.len() < COMPRESS_MIN_BYTES + packed_bytes {
        return bytes;
    }
    compress(&bytes[1..]).unwrap_or(bytes)
}

/// `None` when it cannot be compressed; it is sent as it is then.
fn compress(plain: &[u8]) -> Option<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(vec![COMPRESSED], Compression::fast());
    encoder.write_all(plain).ok()?;
    encoder.finish().ok()
}

/// The bytes of a message as they were before compression, up to one more than may be there: a
/// forged one that would grow without end is cut.
fn decompress(compressed: &[u8]) -> Result<Vec<u8>, Coded> {
    let mut plain = Vec::new();
    let mut bounded = DeflateDecoder::new(compressed).take(FRAME_MAX_BYTES as u64 + 1);
    let read = bounded.read_to_end(&mut plain);
    read.map_err(|err| Coded::new(Code::PeerFrame, err.to_string()))?;
    Ok(plain)
}

/// Decodes a message that must fill `bytes`.
///
/// The limit bounds what a forged length can make the decoder allocate.
///
/// # Errors
/// `PeerFrame` for bytes that are no such message, `PeerFrameTooLarge` over the limit.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Coded> {
    match bytes.split_first() {
        Some((&PLAIN, plain)) => decode_plain(plain),
        Some((&COMPRESSED, compressed)) => decode_plain(&decompress(compressed)?),
        _ => Err(Coded::new(Code::PeerFrame, "neither plain nor compressed")),
    }
}

fn decode_plain<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Coded> {
    if bytes.len() > FRAME_MAX_BYTES {
        return Err(Coded::new(Code::PeerFrameTooLarge, format!("{} bytes", bytes.len())));
    }
    let bounded = config::standard().with_limit::<FRAME_MAX_BYTES>();
    let decoded = bincode::serde::decode_from_slice(bytes, bounded);
    let (message, read) = decoded.map_err(|e| Coded::new(Code::PeerFrame, e.to_string()))?;
    if read != bytes.len() {
        return Err(Coded::new(Code::PeerFrame, format!("{} bytes left over", bytes.len() - read)));
    }
    Ok(message)
}

/// Bytes of rows in one message; far below the limit, which the rest of a message needs too.
const ROWS_MAX_BYTES: usize = 1 << 20;

/// Splits rows so that each part fits a message. A row that fits none is in no part; the caller
/// keeps rows below that size.
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
