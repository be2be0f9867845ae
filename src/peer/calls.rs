//! Calls of a node to its peers.

use super::MemberNode;
use super::codec::{pack, unpack};
use crate::membership::Input;
use crate::prelude::*;
use crate::schema::peer::{Heartbeat, MemberRecord};

/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Millis = Millis(1000);

/// Timeout of the transfer of a member record or bundle from a peer.
const TRANSFER_TIMEOUT: Millis = Millis(2000);

impl MemberNode {
    pub(super) async fn send_heartbeat(self: &Arc<Self>, address: &str, mut beat: Heartbeat) {
        self.add_local_state(&mut beat);
        let sent = self.now();
        let response = match pack(&beat) {
            Ok(body) => {
                self.caller
                    .post(address, "/peer/heartbeat", body, HEARTBEAT_TIMEOUT)
                    .await
            }
            Err(_) => return,
        };
        let response: Heartbeat = match response.map(|buf| unpack(&buf)) {
            Ok(Ok(response)) => response,
            Ok(Err(err)) => return tracing::warn!(address, err, "invalid heartbeat response"),
            Err(err) => return tracing::debug!(address, %err, "no response to a heartbeat"),
        };
        self.record_peer_status(&response);
        self.step(Input::HeartbeatResponse(sent, response));
    }

    /// Sends the member record of this process to a peer, and applies the peer's if it is newer.
    pub(super) async fn exchange_view(
        self: &Arc<Self>,
        address: &str,
        record: Option<MemberRecord>,
    ) {
        let Ok(body) = pack(&record) else {
            return;
        };
        let response = self
            .caller
            .post(address, "/peer/view", body, TRANSFER_TIMEOUT)
            .await;
        match response.map(|buf| unpack::<Option<MemberRecord>>(&buf)) {
            Ok(Ok(Some(record))) => self.step(Input::ViewReceived(record)),
            Ok(Ok(None)) => {}
            Ok(Err(err)) => tracing::warn!(address, err, "invalid member record from a peer"),
            Err(err) => tracing::debug!(address, %err, "no member record from a peer"),
        }
    }

    /// Fetches the newest bundle of a peer in the background, unless a fetch is in progress.
    pub(super) fn fetch_bundle(self: &Arc<Self>, address: String) {
        if std::mem::replace(&mut *self.fetching.lock(), true) {
            return;
        }
        let node = self.clone();
        self.spawn(async move {
            let response = node
                .caller
                .post(&address, "/peer/bundle", Vec::new(), TRANSFER_TIMEOUT)
                .await;
            match response {
                Ok(bundle) => node.local.offer_bundle(bundle.to_vec()),
                Err(err) => tracing::debug!(address, %err, "bundle cannot be fetched from a peer"),
            }
            *node.fetching.lock() = false;
        });
    }
}
