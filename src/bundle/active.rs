//! The bundle that is in force in this process, shared with the modules that apply it.

use parking_lot::RwLock;

use crate::prelude::*;
use crate::schema::bundle::Bundle;

/// A bundle together with the version under which it was rolled out.
#[derive(Clone, Debug, PartialEq)]
pub struct BundleInForce {
    /// Version that was signed off and rolled out.
    pub version: Version,
    /// Content of the bundle.
    pub bundle: Bundle,
}

/// Shared cell with the bundle in force, whose version never decreases.
#[derive(Debug, Default)]
pub struct ActiveBundle {
    current: RwLock<Option<Arc<BundleInForce>>>,
}

impl ActiveBundle {
    /// Returns the bundle in force; `None` before the first one is received.
    pub fn current(&self) -> Option<Arc<BundleInForce>> {
        self.current.read().clone()
    }

    /// Returns the version in force; zero before the first bundle is received.
    pub fn version(&self) -> Version {
        self.current
            .read()
            .as_ref()
            .map_or(Version(0), |in_force| in_force.version)
    }

    /// Puts a bundle in force if its version is higher; returns whether it was.
    pub fn raise(&self, next: BundleInForce) -> bool {
        let mut current = self.current.write();
        if current
            .as_ref()
            .is_some_and(|in_force| in_force.version >= next.version)
        {
            return false;
        }
        *current = Some(Arc::new(next));
        true
    }
}
