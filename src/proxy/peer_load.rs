//! Load reports in the responses to forwarded requests.
//!
//! Heartbeats are too rare to keep a busy peer's load fresh while many requests are forwarded.

use http::HeaderMap;

use super::head::header_value;
use super::shared::Shared;
use crate::prelude::*;

/// Header of the number of free slots at the responding process.
pub(super) const FREE_SLOTS: &str = "sapphirecroft-free-slots";

/// Header of the queue delay at the responding process, in milliseconds.
pub(super) const QUEUE_DELAY: &str = "sapphirecroft-queue-delay-ms";

/// Adds the load of a service at this process to the headers of a response.
pub(super) fn report_load(shared: &Shared, service: &ServiceId, headers: &mut HeaderMap) {
    let load = shared.router.read(|dispatcher| dispatcher.load(service));
    headers.insert(FREE_SLOTS, header_value(load.free_slots));
    headers.insert(QUEUE_DELAY, header_value(load.queue_delay));
}

/// Records the load that a peer reported in the headers of a response.
pub(super) fn record_load(
    shared: &Shared,
    service: &ServiceId,
    member: &MemberId,
    headers: &HeaderMap,
) {
    let number = |name: &str| headers.get(name)?.to_str().ok()?.parse::<u64>().ok();
    let (Some(free), Some(delay)) = (number(FREE_SLOTS), number(QUEUE_DELAY)) else {
        return;
    };
    let free = u32::try_from(free).unwrap_or(u32::MAX);
    shared.router.change(|dispatcher, now| {
        dispatcher.record_peer_load(service, member, free, Millis(delay), now);
        Vec::new()
    });
}
