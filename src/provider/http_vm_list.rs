//! Adapter of the VM list over HTTP with MessagePack.

use async_trait::async_trait;

use super::vm_list::VmList;
use crate::prelude::*;
use crate::schema::vm::{VmRecord, VmRecords};
use crate::web::Caller;

/// Longest wait for the VM list.
const TIMEOUT: Millis = Millis(1000);

/// Reads a VM list that is served at `/vms`.
pub struct HttpVmList {
    addr: String,
    caller: Caller,
}

impl HttpVmList {
    /// Reaches the list at `addr`.
    pub fn new(addr: String) -> Self {
        Self {
            addr,
            caller: Caller::new(),
        }
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn list(&self) -> Result<Vec<VmRecord>, PlatformError> {
        let records: VmRecords = self
            .caller
            .exchange(&self.addr, "/vms", &(), TIMEOUT)
            .await
            .map_err(|err| err.for_platform("VM list"))?;
        Ok(records.vms)
    }
}
