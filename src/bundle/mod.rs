//! The configuration bundle that operators drive the system by.

mod active;
mod check;

pub use active::{ActiveBundle, BundleInForce};
pub use check::{CheckedBundle, MAX_BUNDLE_BYTES, check_bundle, parse_bundle};
