//! Membership for tests, which ranks key holders by a hash of key and member.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::RwLock;
use sapphirecroft::dedup::KeyView;
use sapphirecroft::membership::Ownership;
use sapphirecroft::model::*;

use super::id;

/// View of the members of one epoch.
#[derive(Clone)]
pub struct TestView {
    pub epoch: Epoch,
    pub members: Vec<MemberId>,
}

impl KeyView for TestView {
    fn epoch(&self) -> Epoch {
        self.epoch
    }

    fn members(&self) -> Vec<MemberId> {
        self.members.clone()
    }

    fn holders(&self, key: &str) -> Vec<MemberId> {
        let mut ranked = self.members.clone();
        ranked.sort_by_key(|member| {
            let mut hasher = DefaultHasher::new();
            (key, member).hash(&mut hasher);
            hasher.finish()
        });
        ranked.truncate(2);
        ranked
    }
}

/// Membership that a test changes explicitly.
#[derive(Clone)]
pub struct TestMembership {
    view: Arc<RwLock<TestView>>,
    addrs: Arc<RwLock<HashMap<MemberId, SocketAddr>>>,
}

impl TestMembership {
    pub fn new(names: &[&str]) -> Self {
        Self::at(1, names)
    }

    pub fn at(epoch: u64, names: &[&str]) -> Self {
        let view = TestView {
            epoch: Epoch(epoch),
            members: names.iter().map(|name| id(name)).collect(),
        };
        Self {
            view: Arc::new(RwLock::new(view)),
            addrs: Arc::default(),
        }
    }

    pub fn view(&self) -> TestView {
        self.view.read().clone()
    }

    /// Starts the next epoch with these members.
    pub fn change(&self, names: &[&str]) -> TestView {
        let mut view = self.view.write();
        view.epoch = Epoch(view.epoch.get() + 1);
        view.members = names.iter().map(|name| id(name)).collect();
        view.clone()
    }

    pub fn set_addr(&self, member: &MemberId, addr: SocketAddr) {
        self.addrs.write().insert(member.clone(), addr);
    }

    pub fn addr(&self, member: &MemberId) -> SocketAddr {
        self.addrs.read()[member]
    }

    pub fn ownership(&self, me: &MemberId) -> TestOwnership {
        TestOwnership {
            me: me.clone(),
            membership: self.clone(),
        }
    }

    /// Returns a request name whose key has these holders, its home and its backup.
    ///
    /// Requests of the tests have the service `booking` and no team.
    pub fn key_of(&self, home: &str, backup: &str) -> String {
        let expected: Vec<MemberId> = vec![id(home), id(backup)];
        let view = self.view();
        let mut names = (0..10_000).map(|i| format!("key-{i}"));
        names
            .find(|name| view.holders(&format!("booking  {name}")) == expected)
            .expect("some key has these holders")
    }
}

pub struct TestOwnership {
    me: MemberId,
    membership: TestMembership,
}

impl Ownership for TestOwnership {
    fn me(&self) -> MemberId {
        self.me.clone()
    }

    fn epoch(&self) -> Epoch {
        self.membership.view().epoch
    }

    fn is_active(&self) -> bool {
        true
    }

    fn epoch_adopted_at(&self) -> Millis {
        Millis::ZERO
    }

    fn rack_owner(&self, _rack: &RackId) -> Option<MemberId> {
        None
    }

    fn shard_owner(&self, _shard: u32) -> Option<MemberId> {
        None
    }

    fn key_holders(&self, key: &str) -> Vec<MemberId> {
        self.membership.view().holders(key)
    }

    fn peer_addr(&self, member: &MemberId) -> Option<String> {
        let addrs = self.membership.addrs.read();
        addrs.get(member).map(SocketAddr::to_string)
    }
}
