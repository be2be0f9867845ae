//! The calls of a node to its peers.

use super::MemberNode;
use super::codec::{pack, unpack};
use crate::membership::Input;
use crate::prelude::*;
use crate::schema::peer::{Heartbeat, MemberRecord};

/// Longest wait for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Millis = Millis(1000);

/// Longest wait for a peer's member record or bundle.
const TRANSFER_TIMEOUT: Millis = Millis(2000);

impl MemberNode {
    pub(super) async fn send_heartbeat(self: &Arc<Self>, address: &str, mut beat: Heartbeat) {
        self.fill(&mut beat);
        let sent = self.now();
        let answer = match pack(&beat) {
            Ok(body) => {
                self.caller
                    .post(address, "/peer/heartbeat", body, HEARTBEAT_TIMEOUT)
                    .await
            }
            Err(_) => return,
        };
        let answer: Heartbeat = match answer.map(|buf| unpack(&buf)) {
            Ok(Ok(answer)) => answer,
            Ok(Err(err)) => return tracing::warn!(address, err, "invalid answer to a heartbeat"),
            Err(err) => return tracing::debug!(address, %err, "no answer to a heartbeat"),
        };
        self.note_peer(&answer);
        self.step(Input::HeartbeatResponse(sent, answer));
    }

    pub(super) async fn exchange_view(
        self: &Arc<Self>,
        address: &str,
        record: Option<MemberRecord>,
    ) {
        let Ok(body) = pack(&record) else {
            return;
        };
        let answer = self
            .caller
            .post(address, "/peer/view", body, TRANSFER_TIMEOUT)
            .await;
        match answer.map(|buf| unpack::<Option<MemberRecord>>(&buf)) {
            Ok(Ok(Some(record))) => self.step(Input::ViewReceived(record)),
            Ok(Ok(None)) => {}
            Ok(Err(err)) => tracing::warn!(address, err, "invalid member record of a peer"),
            Err(err) => tracing::debug!(address, %err, "no member record from a peer"),
        }
    }

    /// Fetches the newest bundle of a peer, unless a fetch is in progress.
    pub(super) fn fetch_bundle(self: &Arc<Self>, address: String) {
        if std::mem::replace(&mut *self.fetching.lock(), true) {
            return;
        }
        let node = self.clone();
        self.spawn(async move {
            let answer = node
                .caller
                .post(&address, "/peer/bundle", Vec::new(), TRANSFER_TIMEOUT)
                .await;
            match answer {
                Ok(bundle) => node.local.offer_bundle(bundle.to_vec()),
                Err(err) => tracing::debug!(address, %err, "no bundle from a peer"),
            }
            *node.fetching.lock() = false;
        });
    }
}
