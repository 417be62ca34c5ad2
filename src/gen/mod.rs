//! Code generated from `proto/` by `tools/protogen`; not written by hand.

#[allow(
    clippy::all,
    clippy::pedantic,
    clippy::clone_on_ref_ptr,
    clippy::allow_attributes_without_reason,
    missing_debug_implementations,
    reason = "generated code"
)]
#[rustfmt::skip]
#[path = "sorrelwick.v1.rs"]
mod v1;

pub use v1::*;
