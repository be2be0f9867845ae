//! The configuration bundle that operators drive the system by.

mod active;

pub use active::{ActiveBundle, BundleInForce};
