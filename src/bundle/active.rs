//! The bundle that is in force in this process.

use parking_lot::RwLock;

use crate::prelude::*;
use crate::schema::bundle::Bundle;

/// A bundle together with the version under which it was rolled out.
#[derive(Clone, Debug, PartialEq)]
pub struct BundleInForce {
    /// Version that was signed off.
    pub version: Version,
    /// Content of the bundle.
    pub bundle: Bundle,
}

/// Holds the bundle in force; its version never goes down.
#[derive(Debug, Default)]
pub struct ActiveBundle {
    current: RwLock<Option<Arc<BundleInForce>>>,
}

impl ActiveBundle {
    /// Returns the bundle in force, or `None` before the first one arrived.
    pub fn current(&self) -> Option<Arc<BundleInForce>> {
        self.current.read().clone()
    }

    /// Returns the version in force; zero before the first bundle arrived.
    pub fn version(&self) -> Version {
        self.current
            .read()
            .as_ref()
            .map_or(Version(0), |held| held.version)
    }

    /// Puts a bundle in force if its version is higher; tells whether it did.
    pub fn raise(&self, next: BundleInForce) -> bool {
        let mut current = self.current.write();
        if current
            .as_ref()
            .is_some_and(|held| held.version >= next.version)
        {
            return false;
        }
        *current = Some(Arc::new(next));
        true
    }
}
