//! The platform's list of VMs.

use async_trait::async_trait;

use crate::prelude::*;
use crate::schema::vm::VmRecord;

/// Lagging list of live and leaving VMs.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Reads the list.
    async fn list(&self) -> Result<Vec<VmRecord>, PlatformError>;
}
