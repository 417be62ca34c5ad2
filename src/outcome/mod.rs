//! At-most-once: idempotency keys, and the record of what became of them.

mod claims;
mod kept;
mod key;
mod table;

pub use claims::claim;
pub use kept::Kept;
pub use kept::KeptRow;
pub use kept::OwnerSnapshot;
pub use kept::WholeAnswer;
pub use key::KEY_MAX_BYTES;
pub use key::Key;
pub use key::KeyPrefix;
pub use table::Begin;
pub use table::OutcomeTable;
pub use table::RunGuard;
