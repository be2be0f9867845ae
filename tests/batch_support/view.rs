//! Ownership as one simulated member sees it.

use std::sync::Mutex;

use sapphirecroft::membership::Ownership;
use sapphirecroft::prelude::*;

/// Shards that the simulation uses; fewer shards make more of them collide.
pub const USED_SHARDS: [u32; 2] = [0, 1];

pub struct ViewState {
    pub epoch: Epoch,
    pub members: Vec<MemberId>,
    pub active: bool,
}

pub struct View {
    me: MemberId,
    pub state: Mutex<ViewState>,
}

impl View {
    pub fn new(me: MemberId, epoch: Epoch, members: Vec<MemberId>) -> Arc<Self> {
        let state = ViewState {
            epoch,
            members,
            active: true,
        };
        Arc::new(Self {
            me,
            state: Mutex::new(state),
        })
    }

    fn owner_of(&self, what: &str) -> Option<MemberId> {
        let state = self.state.lock().expect("not poisoned");
        let weight = |member: &MemberId| {
            let text = format!("{what}/{member}");
            text.bytes().fold(7u64, |hash, byte| {
                sapphirecroft::placement::next_random(hash ^ u64::from(byte))
            })
        };
        state
            .members
            .iter()
            .max_by_key(|member| weight(member))
            .cloned()
    }
}

impl Ownership for View {
    fn me(&self) -> MemberId {
        self.me.clone()
    }
    fn epoch(&self) -> Epoch {
        self.state.lock().expect("not poisoned").epoch
    }
    fn is_active(&self) -> bool {
        let state = self.state.lock().expect("not poisoned");
        state.active && state.members.contains(&self.me)
    }
    fn epoch_seen_at(&self) -> Millis {
        Millis::ZERO
    }
    fn rack_owner(&self, rack: &RackId) -> Option<MemberId> {
        self.owner_of(rack.as_str())
    }
    fn shard_owner(&self, shard: u32) -> Option<MemberId> {
        if !USED_SHARDS.contains(&shard) {
            return None;
        }
        self.owner_of(&format!("shard{shard}"))
    }
    fn key_holders(&self, _key: &str) -> Vec<MemberId> {
        Vec::new()
    }
    fn peer_addr(&self, _member: &MemberId) -> Option<String> {
        None
    }
}
