//! At-most-once execution: idempotency keys, and the recorded outcomes of their requests.
//!
//! A key is owned by an incarnation: one process of an instance, from its start to its stop.

mod claim_witnesses;
mod claims;
mod idempotency_key;
mod recorded_outcome;
mod table;

pub use claim_witnesses::ClaimWitnesses;
pub use claim_witnesses::claim_hash;
pub use claims::claim;
pub use idempotency_key::IdempotencyKey;
pub use idempotency_key::KEY_MAX_BYTES;
pub use idempotency_key::KeyPrefix;
pub use recorded_outcome::HandoverRow;
pub use recorded_outcome::OwnerSnapshot;
pub use recorded_outcome::RecordedAnswer;
pub use recorded_outcome::RecordedOutcome;
pub use table::KeyDecision;
pub use table::OutcomeTable;
pub use table::RunGuard;
