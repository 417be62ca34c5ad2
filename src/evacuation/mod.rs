//! Availability zones that the operators evacuate: their backend servers are given nothing.

mod evacuations;

pub use evacuations::Evacuations;
