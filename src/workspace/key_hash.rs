//! Hashes of API keys.

use std::fmt::Write;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use sha2::Digest;
use sha2::Sha256;

const HASH_BYTES: usize = 16;

/// First half of the SHA-256 of an API key; serialized as hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Hashes a key as sent by a caller.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let mut bytes = [0; HASH_BYTES];
        bytes.copy_from_slice(&Sha256::digest(key)[..HASH_BYTES]);
        Self(bytes)
    }

    /// Lower-case hexadecimal digits.
    #[must_use]
    pub fn to_hex(self) -> String {
        let mut text = String::with_capacity(2 * HASH_BYTES);
        for byte in self.0 {
            // Writing to a `String` never fails.
            let _ = write!(text, "{byte:02x}");
        }
        text
    }

    fn from_hex(text: &str) -> Option<Self> {
        let valid =
            text.len() == 2 * HASH_BYTES && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| valid)?;
        Some(Self(number.to_be_bytes()))
    }
}

impl Serialize for KeyHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.to_hex())
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        // The message does not quote the text, which may be a key.
        Self::from_hex(&text)
            .ok_or_else(|| D::Error::custom("expected a key hash of 32 hexadecimal digits"))
    }
}
