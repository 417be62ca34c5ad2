//! Limits the memory for the body of a request that another instance forwards.

/// Memory for one body, released on drop.
pub trait BodyRoom: Send + 'static {
    /// Reserves more bytes; `false` if the body gets too large.
    fn try_grow(&mut self, bytes: usize) -> bool;
}

/// A fixed number of bytes.
#[derive(Clone, Copy, Debug)]
pub struct FixedRoom {
    pub free_bytes: usize,
}

impl BodyRoom for FixedRoom {
    fn try_grow(&mut self, bytes: usize) -> bool {
        let Some(free_bytes) = self.free_bytes.checked_sub(bytes) else {
            return false;
        };
        self.free_bytes = free_bytes;
        true
    }
}
