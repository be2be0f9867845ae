//! Stand-in of the platform's VM list.

use std::collections::BTreeMap;

use async_trait::async_trait;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::prelude::*;
use crate::provider::VmList;
use crate::schema::vm::{VmRecord, VmRecords, VmState};
use crate::web::{WebReq, WebRes, WebService, packed};

/// A list of VMs whose answers lag behind its changes.
pub struct VmServer {
    started: Instant,
    lag: Millis,
    history: Mutex<Vec<(Millis, BTreeMap<VmId, VmRecord>)>>,
}

impl VmServer {
    /// Creates a list whose answers are `lag` old.
    pub fn new(lag: Millis) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            lag,
            history: Mutex::new(vec![(Millis::ZERO, BTreeMap::new())]),
        })
    }

    /// Adds or replaces VMs that were there before the list is first read.
    pub fn seed(&self, vms: impl IntoIterator<Item = VmRecord>) {
        let mut history = self.history.lock();
        for (_, state) in history.iter_mut() {
            state.clear();
        }
        let first = history.first_mut().map(|(_, state)| state);
        if let Some(state) = first {
            state.extend(vms.into_iter().map(|record| (record.vm.clone(), record)));
        }
    }

    /// Adds or replaces one VM.
    pub fn put(&self, record: VmRecord) {
        self.change(|state| {
            state.insert(record.vm.clone(), record);
        });
    }

    /// Marks a VM as leaving.
    pub fn set_leaving(&self, vm: &VmId) {
        self.change(|state| {
            if let Some(record) = state.get_mut(vm) {
                record.state = VmState::Leaving;
            }
        });
    }

    /// Removes a VM that the platform has terminated.
    pub fn remove(&self, vm: &VmId) {
        self.change(|state| {
            state.remove(vm);
        });
    }

    fn change(&self, edit: impl FnOnce(&mut BTreeMap<VmId, VmRecord>)) {
        let now: Millis = self.started.elapsed().into();
        let mut history = self.history.lock();
        let mut state = history
            .last()
            .map(|(_, state)| state.clone())
            .unwrap_or_default();
        edit(&mut state);
        history.push((now, state));
    }

    fn visible(&self) -> Vec<VmRecord> {
        let now: Millis = self.started.elapsed().into();
        let mut history = self.history.lock();
        let shown = history
            .iter()
            .rposition(|(at, _)| now.since(*at) >= self.lag)
            .unwrap_or_default();
        history.drain(..shown);
        history
            .first()
            .map(|(_, state)| state.values().cloned().collect())
            .unwrap_or_default()
    }
}

#[async_trait]
impl VmList for VmServer {
    async fn list(&self) -> Result<Vec<VmRecord>, PlatformError> {
        Ok(self.visible())
    }
}

#[async_trait(?Send)]
impl WebService for VmServer {
    async fn call(&self, _req: WebReq) -> WebRes {
        packed(&VmRecords {
            vms: self.visible(),
        })
    }
}
