//! A limit on the bytes of one response.

/// Maximum size of a response body, from a backend server or another instance. Without it, one that
/// never ends would be passed on until the deadline, however many bytes that is.
pub const RESPONSE_MAX_BYTES: u64 = 1 << 30;

/// Bytes that may still be received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteLimit {
    left_bytes: u64,
}

/// More bytes than allowed were received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyBytes;

impl ByteLimit {
    /// Allows `max_bytes` in total.
    #[must_use]
    pub const fn new(max_bytes: u64) -> Self {
        Self { left_bytes: max_bytes }
    }

    /// Counts received bytes.
    ///
    /// # Errors
    /// If they exceed the limit.
    pub fn count(&mut self, bytes: usize) -> Result<(), TooManyBytes> {
        let left_bytes = self.left_bytes.checked_sub(bytes as u64).ok_or(TooManyBytes)?;
        self.left_bytes = left_bytes;
        Ok(())
    }

    /// Whether a part of this size can still be received.
    #[must_use]
    pub const fn allows(&self, bytes: u64) -> bool {
        bytes <= self.left_bytes
    }
}
