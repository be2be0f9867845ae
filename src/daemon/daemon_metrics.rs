//! Metrics of membership and bundle state.

use prometheus::{IntGauge, Registry};

use crate::bundle::BundleKeeper;
use crate::peer::MemberNode;

/// Gauges that are set each time that metrics are scraped.
pub(super) struct DaemonMetrics {
    bundle_version: IntGauge,
    member_epoch: IntGauge,
    members: IntGauge,
    active: IntGauge,
    store_silent: IntGauge,
}

impl DaemonMetrics {
    pub(super) fn register(registry: &Registry) -> prometheus::Result<Self> {
        Ok(Self {
            bundle_version: gauge(
                registry,
                "sapphirecroft_bundle_version",
                "Version of the bundle in force; zero before the first.",
            )?,
            member_epoch: gauge(
                registry,
                "sapphirecroft_member_epoch",
                "Adopted epoch of the member record; zero before the first.",
            )?,
            members: gauge(
                registry,
                "sapphirecroft_members",
                "Members of the adopted epoch.",
            )?,
            active: gauge(
                registry,
                "sapphirecroft_member_active",
                "Whether this process may act as an owner.",
            )?,
            store_silent: gauge(
                registry,
                "sapphirecroft_store_silent",
                "Whether the key-value service does not answer this process.",
            )?,
        })
    }

    pub(super) fn update(&self, node: &MemberNode, keeper: &BundleKeeper) {
        let view = node.watch_view().borrow().clone();
        self.bundle_version.set(signed(keeper.newest().get()));
        self.member_epoch.set(signed(view.epoch.get()));
        self.members.set(signed(view.members.len() as u64));
        self.active.set(i64::from(view.active));
        self.store_silent.set(i64::from(view.store_silent));
    }
}

fn gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
