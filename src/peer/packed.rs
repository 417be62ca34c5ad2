//! A value that is encoded once and sent to many peers.

use std::ops::Deref;
use std::sync::Arc;
use std::sync::OnceLock;

use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::DeserializeOwned;

use super::frame::decode;
use super::frame::encode_value;

/// A value whose encoded and compressed form is computed on first use and shared by clones.
#[derive(Clone, Debug)]
pub struct Packed<T>(Arc<Inner<T>>);

#[derive(Debug)]
struct Inner<T> {
    value: T,
    /// The value encoded as a frame, once it has been sent.
    bytes: OnceLock<Bytes>,
}

impl<T: Serialize> Packed<T> {
    /// The encoded value.
    #[must_use]
    pub fn bytes(&self) -> &Bytes {
        self.0.bytes.get_or_init(|| encode_value(&self.0.value, 0).into())
    }
}

impl<T> From<T> for Packed<T> {
    fn from(value: T) -> Self {
        Self(Arc::new(Inner { value, bytes: OnceLock::new() }))
    }
}

impl<T> Deref for Packed<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0.value
    }
}

impl<T: PartialEq> PartialEq for Packed<T> {
    fn eq(&self, other: &Self) -> bool {
        self.0.value == other.0.value
    }
}

impl<T: Eq> Eq for Packed<T> {}

impl<T: Serialize> Serialize for Packed<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.bytes().serialize(serializer)
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Packed<T> {
    /// The received bytes are not kept: an instance that relays the value usually sends more or
    /// less of it.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes = Bytes::deserialize(deserializer)?;
        let value: T = decode(&bytes).map_err(serde::de::Error::custom)?;
        Ok(value.into())
    }
}
