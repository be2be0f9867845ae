//! The configuration bundle that operators drive the system by.

mod active;
mod check;
mod desk;
mod diff;
mod keeper;
mod news;
mod proposal;
mod release;
mod ring;
mod signing;

pub use active::{ActiveBundle, BundleInForce};
pub use check::{CheckedBundle, MAX_BUNDLE_BYTES, check_bundle, parse_bundle};
pub use desk::BundleDesk;
pub use diff::diff_bundles;
pub use keeper::BundleKeeper;
pub use news::BundleNews;
pub use ring::{Trust, sign_ring};
pub use signing::{PrivateKey, SignOffSubject, digest_of, key_id, verify};
