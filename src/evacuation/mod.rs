//! Availability zones that the operators evacuate: their backend servers get no requests.

mod evacuations;

pub use evacuations::Doubt;
pub use evacuations::Evacuations;
