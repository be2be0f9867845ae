//! Background loops of a node.

use std::time::Duration;

use super::MemberNode;
use super::published::publish;
use crate::membership::Input;
use crate::prelude::*;

/// Interval between ticks of the membership state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of members up to which each one reads the VM list at the configured interval.
const SMALL_REGION: u64 = 8;

impl MemberNode {
    pub(super) fn spawn_loops(self: &Arc<Self>) {
        let node = self.clone();
        self.spawn(async move { node.run_ticks().await });
        let node = self.clone();
        self.spawn(async move { node.run_vm_reads().await });
        let node = self.clone();
        self.spawn(async move { node.run_regions().await });
    }

    async fn run_ticks(self: &Arc<Self>) {
        let mut timer = tokio::time::interval(TICK_INTERVAL);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            timer.tick().await;
            self.step(Input::Tick);
            let epoch = self.state.lock().epoch();
            self.step(Input::InFlight(epoch, self.local.in_flight_by_endpoint()));
            self.publish_vms();
            let peers = self.peers.lock().clone();
            publish(&self.published.peers, peers);
        }
    }

    async fn run_vm_reads(self: &Arc<Self>) {
        loop {
            match self.vm_list.list().await {
                Ok(vms) => {
                    self.step(Input::VmListRead(vms));
                    self.publish_vms();
                }
                Err(err) => tracing::debug!(%err, "VM list cannot be read"),
            }
            tokio::time::sleep(self.vm_list_interval().into()).await;
        }
    }

    /// Returns the interval between reads of the VM list.
    ///
    /// The interval grows with the members, because members relay leave notices to each other.
    fn vm_list_interval(&self) -> Millis {
        let members = self.published.view.borrow().members.len() as u64;
        let share = members.div_ceil(SMALL_REGION).max(1);
        Millis(self.config.vms_poll.0.saturating_mul(share))
    }
}
