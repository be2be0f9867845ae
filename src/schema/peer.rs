//! Generated from `schema/peer.json` by `cargo run -p schema-gen`; do not edit.

#![allow(clippy::all, missing_docs)]

/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
///What a member tells another one; the answer has the same form.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    ///Whether the sender counts the receiver as alive; false in an answer withholds the acknowledgement.
    pub acknowledged: bool,
    ///Newest bundle version of the sender.
    pub bundle: crate::model::Version,
    ///Digests of other modules by short name.
    pub digests: ::std::collections::BTreeMap<
        ::std::string::String,
        ::std::vec::Vec<u8>,
    >,
    ///Newest epoch whose slot shares the sender keeps to.
    pub drained: crate::model::Epoch,
    ///Newest epoch that the sender has adopted; zero before the first.
    pub epoch: crate::model::Epoch,
    ///Members whose store lease has lapsed, as far as the sender knows.
    pub lapsed: ::std::vec::Vec<crate::model::MemberId>,
    ///Endpoints that the sender has lately seen leaving.
    pub leaving: ::std::vec::Vec<crate::model::VmId>,
    pub loads: ::std::vec::Vec<ServiceLoad>,
    pub member: crate::model::MemberId,
    ///Number of the heartbeat at its sender; the answer repeats it.
    pub sequence: u64,
    ///Members whose heartbeats the sender does not acknowledge in its epoch.
    pub silent: ::std::vec::Vec<crate::model::MemberId>,
}
impl ::std::convert::From<&Heartbeat> for Heartbeat {
    fn from(value: &Heartbeat) -> Self {
        value.clone()
    }
}
///One entry process in the member record.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Member {
    ///IP address and port of the peer interface.
    pub address: ::std::string::String,
    pub id: crate::model::MemberId,
    ///Whether the VM list had shown the VM when the process joined.
    pub listed: bool,
    pub vm: crate::model::VmId,
    pub zone: crate::model::ZoneId,
}
impl ::std::convert::From<&Member> for Member {
    fn from(value: &Member) -> Self {
        value.clone()
    }
}
///What one epoch changed, kept until every member has adopted it.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MemberChange {
    ///Epoch that the change led to.
    pub epoch: crate::model::Epoch,
    pub joined: ::std::vec::Vec<crate::model::MemberId>,
    ///Members that left with no request in progress.
    pub left: ::std::vec::Vec<crate::model::MemberId>,
    ///Members that others removed; their requests may still be in progress.
    pub removed: ::std::vec::Vec<crate::model::MemberId>,
}
impl ::std::convert::From<&MemberChange> for MemberChange {
    fn from(value: &MemberChange) -> Self {
        value.clone()
    }
}
///The record `members/<region>` of the key-value service.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MemberRecord {
    pub changes: ::std::vec::Vec<MemberChange>,
    pub epoch: crate::model::Epoch,
    pub members: ::std::vec::Vec<Member>,
    ///Identifies the last write, so that a lost answer can be resolved.
    pub writer: crate::model::WriterToken,
}
impl ::std::convert::From<&MemberRecord> for MemberRecord {
    fn from(value: &MemberRecord) -> Self {
        value.clone()
    }
}
///What one region tells another.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RegionSummary {
    pub bundle: crate::model::Version,
    pub loads: ::std::vec::Vec<ServiceLoad>,
    ///Members of the region.
    pub members: u32,
    pub region: crate::model::RegionId,
}
impl ::std::convert::From<&RegionSummary> for RegionSummary {
    fn from(value: &RegionSummary) -> Self {
        value.clone()
    }
}
///Load of one service at one member.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceLoad {
    ///Time that a new request waits in the queue.
    pub delay: crate::model::Millis,
    ///Request slots that are free now.
    pub free: u32,
    pub service: crate::model::ServiceId,
}
impl ::std::convert::From<&ServiceLoad> for ServiceLoad {
    fn from(value: &ServiceLoad) -> Self {
        value.clone()
    }
}
