//! Ownership of racks and shards in the view of one simulated member.

use std::collections::BTreeMap;
use std::sync::Mutex;

use sapphirecroft::membership::Ownership;
use sapphirecroft::placement::splitmix64;
use sapphirecroft::prelude::*;

/// Shards that the simulation uses. There are few, so that jobs share a shard often.
pub const USED_SHARDS: [u32; 2] = [0, 1];

/// Number of racks in the simulation.
const RACKS: usize = 3;

pub struct ViewState {
    pub epoch: Epoch,
    pub active: bool,
    members: Vec<MemberId>,
    racks: BTreeMap<RackId, MemberId>,
    shards: BTreeMap<u32, MemberId>,
}

pub struct View {
    me: MemberId,
    pub state: Mutex<ViewState>,
}

impl View {
    pub fn new(me: MemberId, epoch: Epoch, members: Vec<MemberId>) -> Arc<Self> {
        let mut state = ViewState {
            epoch: Epoch(0),
            active: true,
            members: Vec::new(),
            racks: BTreeMap::new(),
            shards: BTreeMap::new(),
        };
        state.adopt(epoch, members);
        let state = Mutex::new(state);
        Arc::new(Self { me, state })
    }
}

impl ViewState {
    /// Adopts a later epoch and computes who owns what in it.
    pub fn adopt(&mut self, epoch: Epoch, members: Vec<MemberId>) {
        if epoch <= self.epoch {
            return;
        }
        let owner = |what: &str| {
            let weight = |member: &MemberId| {
                let text = format!("{what}/{member}");
                text.bytes()
                    .fold(7u64, |hash, byte| splitmix64(hash ^ u64::from(byte)))
            };
            members.iter().max_by_key(|member| weight(member)).cloned()
        };
        self.racks = (0..RACKS)
            .map(|n| format!("rack{n}"))
            .filter_map(|rack| Some((super::id(&rack), owner(&rack)?)))
            .collect();
        self.shards = USED_SHARDS
            .into_iter()
            .filter_map(|shard| Some((shard, owner(&format!("shard{shard}"))?)))
            .collect();
        self.epoch = epoch;
        self.members = members;
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
    fn epoch_adopted_at(&self) -> Millis {
        Millis::ZERO
    }
    fn rack_owner(&self, rack: &RackId) -> Option<MemberId> {
        let state = self.state.lock().expect("not poisoned");
        state.racks.get(rack).cloned()
    }
    fn shard_owner(&self, shard: u32) -> Option<MemberId> {
        let state = self.state.lock().expect("not poisoned");
        state.shards.get(&shard).cloned()
    }
    fn key_holders(&self, _key: &str) -> Vec<MemberId> {
        Vec::new()
    }
    fn peer_addr(&self, _member: &MemberId) -> Option<String> {
        None
    }
}
