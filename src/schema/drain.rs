//! Generated from `schema/drain.json` by `cargo run -p schema-gen`; do not edit.

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
///Workers and availability zones of a region that get no new work.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DrainRecord {
    ///Grows with every change; the highest one wins.
    pub serial: u64,
    pub workers: ::std::vec::Vec<crate::model::VmId>,
    pub writer: crate::model::WriterToken,
    pub zones: ::std::vec::Vec<crate::model::ZoneId>,
}
impl ::std::convert::From<&DrainRecord> for DrainRecord {
    fn from(value: &DrainRecord) -> Self {
        value.clone()
    }
}
///An operator's order to drain a target or to end its drain.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    ///Whether the target is to be drained.
    pub drained: bool,
    pub target: DrainTarget,
}
impl ::std::convert::From<&DrainRequest> for DrainRequest {
    fn from(value: &DrainRequest) -> Self {
        value.clone()
    }
}
///What to drain.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum DrainTarget {
    #[serde(rename = "worker")]
    Worker(crate::model::VmId),
    #[serde(rename = "zone")]
    Zone(crate::model::ZoneId),
}
impl ::std::convert::From<&Self> for DrainTarget {
    fn from(value: &DrainTarget) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<crate::model::VmId> for DrainTarget {
    fn from(value: crate::model::VmId) -> Self {
        Self::Worker(value)
    }
}
impl ::std::convert::From<crate::model::ZoneId> for DrainTarget {
    fn from(value: crate::model::ZoneId) -> Self {
        Self::Zone(value)
    }
}
