//! Idempotency keys, and the prefix that binds a key to one instance.

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Code;
use crate::errors::CodedError;

/// Longest key that callers may send, in bytes.
pub const KEY_MAX_BYTES: usize = 200;
/// Hexadecimal digits of the incarnation in a prefix.
const INCARNATION_DIGITS: usize = 16;
/// Most hexadecimal digits of the epoch in a prefix.
const EPOCH_DIGITS_MAX: usize = 10;

/// Names the only process that may run the key, and when the prefix was issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyPrefix {
    pub incarnation: u64,
    /// Epochs from the start of that process to the issue of the prefix; may be too small, but
    /// never too large.
    pub epoch: u64,
}

impl std::fmt::Display for KeyPrefix {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}-{:x}", self.incarnation, self.epoch)
    }
}

impl KeyPrefix {
    /// Parses a prefix at the start of `text`; returns it and the text after its dash.
    #[must_use]
    pub fn parse(text: &str) -> Option<(Self, &str)> {
        let (incarnation, rest) = text.split_once('-')?;
        let (epoch, rest) = rest.split_once('-')?;
        let is_hex = |part: &str| part.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let valid_lengths = incarnation.len() == INCARNATION_DIGITS
            && (1..=EPOCH_DIGITS_MAX).contains(&epoch.len());
        if !valid_lengths || !is_hex(incarnation) || !is_hex(epoch) || rest.is_empty() {
            return None;
        }
        let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
        let epoch = u64::from_str_radix(epoch, 16).ok()?;
        Some((Self { incarnation, epoch }, rest))
    }
}

/// An idempotency key as a caller sent it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// `None` for a plain key, whose owner is recorded in the platform's store.
    pub prefix: Option<KeyPrefix>,
    /// The whole key, prefix included.
    pub text: String,
}

impl IdempotencyKey {
    /// Parses the value of the `idempotency-key` header.
    ///
    /// # Errors
    /// `KeyMalformed` for an empty, overlong or unprintable key.
    pub fn parse(text: &str) -> Result<Self, CodedError> {
        let printable = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > KEY_MAX_BYTES || !printable {
            let detail = format!("a key is 1 to {KEY_MAX_BYTES} printable ASCII characters");
            return Err(CodedError::new(Code::KeyMalformed, detail));
        }
        let prefix = KeyPrefix::parse(text).map(|(prefix, _)| prefix);
        Ok(Self { prefix, text: text.into() })
    }
}
