//! The configuration bundle: parsing, signatures, the key ring, roll-out by operators, and
//! distribution to all processes.

mod active;
mod check;
mod diff;
mod keeper;
mod manager;
mod proposal;
mod release;
mod ring;
mod signing;
mod status;

pub use active::{ActiveBundle, BundleInForce};
pub use check::{CheckedBundle, MAX_BUNDLE_BYTES, check_bundle, parse_bundle};
pub use diff::diff_bundles;
pub use keeper::BundleKeeper;
pub use manager::BundleManager;
pub use ring::{Trust, sign_ring};
pub use signing::{PrivateKey, SignOffSubject, digest_of, key_id, verify};
pub use status::BundleStatus;
