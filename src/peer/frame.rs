//! Encoding of messages, bounded in size.

use bincode::config;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::Code;
use crate::errors::Coded;

/// Largest encoded message.
pub const FRAME_MAX_BYTES: usize = 4 << 20;

/// Encodes a message.
///
/// # Panics
/// Never for the message types of this crate: encoding to memory cannot fail for them.
#[must_use]
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, config::standard()).expect("messages can be encoded")
}

/// Decodes a message that must fill `bytes`.
///
/// The limit bounds what a forged length can make the decoder allocate.
///
/// # Errors
/// `PeerFrame` for bytes that are no such message, `PeerFrameTooLarge` over the limit.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Coded> {
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
const PART_MAX_BYTES: usize = 1 << 20;

/// Splits rows so that each part fits a message. A row that fits none is in no part; the caller
/// keeps rows below that size.
#[must_use]
pub fn parts<T: Serialize + Clone>(rows: &[T]) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut room = 0;
    for row in rows {
        let size = encode(row).len();
        if size > PART_MAX_BYTES {
            continue;
        }
        if size > room {
            parts.push(Vec::new());
            room = PART_MAX_BYTES;
        }
        room -= size;
        if let Some(part) = parts.last_mut() {
            part.push(row.clone());
        }
    }
    parts
}
