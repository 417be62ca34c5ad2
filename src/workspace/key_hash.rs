//! A key, as it is held and compared.

use std::fmt::Write;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use sha2::Digest;
use sha2::Sha256;

const HASH_BYTES: usize = 16;

/// The first half of the SHA-256 of a key; written as hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// The hash of a key as callers send it.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let mut bytes = [0; HASH_BYTES];
        bytes.copy_from_slice(&Sha256::digest(key)[..HASH_BYTES]);
        Self(bytes)
    }

    /// As hexadecimal digits.
    #[must_use]
    pub fn to_hex(self) -> String {
        let mut text = String::with_capacity(2 * HASH_BYTES);
        for byte in self.0 {
            // Writing to a text does not fail.
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
        // The text stays out of the message: it may be a key.
        Self::from_hex(&text).ok_or_else(|| D::Error::custom("not the hash of a key"))
    }
}
