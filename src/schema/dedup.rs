//! Generated from `schema/dedup.json` by `cargo run -p schema-gen`; do not edit.

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
///What a holder knows of one key; ages replace times, since members share no clock.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct KeyRecord {
    pub age_ms: crate::model::Millis,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub answer: ::std::option::Option<RecordedAnswer>,
    pub attempt: crate::model::WriterToken,
    ///Service, team and key of the caller.
    pub key: ::std::string::String,
    ///Method and path, to detect reuse for another request.
    pub request: ::std::string::String,
    pub state: KeyState,
}
impl ::std::convert::From<&KeyRecord> for KeyRecord {
    fn from(value: &KeyRecord) -> Self {
        value.clone()
    }
}
///What is known of the request of a key.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum KeyState {
    #[serde(rename = "in-progress")]
    InProgress,
    #[serde(rename = "not-run")]
    NotRun,
    #[serde(rename = "unknown")]
    Unknown,
    #[serde(rename = "answered")]
    Answered,
}
impl ::std::convert::From<&Self> for KeyState {
    fn from(value: &KeyState) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for KeyState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::InProgress => f.write_str("in-progress"),
            Self::NotRun => f.write_str("not-run"),
            Self::Unknown => f.write_str("unknown"),
            Self::Answered => f.write_str("answered"),
        }
    }
}
impl ::std::str::FromStr for KeyState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "in-progress" => Ok(Self::InProgress),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            "answered" => Ok(Self::Answered),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for KeyState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for KeyState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for KeyState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Hands records over, or completes them.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MergeKeys {
    pub epoch: crate::model::Epoch,
    pub from: crate::model::MemberId,
    ///Whether the sender has now handed over everything for the epoch.
    pub last: bool,
    ///Most members removed at one epoch within the retention, as the sender saw it.
    pub lost: u32,
    pub records: ::std::vec::Vec<KeyRecord>,
    ///Whether the sender itself misses no hand-over of an earlier epoch.
    pub settled: bool,
}
impl ::std::convert::From<&MergeKeys> for MergeKeys {
    fn from(value: &MergeKeys) -> Self {
        value.clone()
    }
}
///Confirms the records of a hand-over.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MergeKeysReply {
    pub merged: u32,
}
impl ::std::convert::From<&MergeKeysReply> for MergeKeysReply {
    fn from(value: &MergeKeysReply) -> Self {
        value.clone()
    }
}
///Asks the backup to record a key before its request is sent.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RecordKey {
    pub epoch: crate::model::Epoch,
    pub record: KeyRecord,
    ///Attempt that certainly did not run and is replaced.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub replaces: ::std::option::Option<crate::model::WriterToken>,
}
impl ::std::convert::From<&RecordKey> for RecordKey {
    fn from(value: &RecordKey) -> Self {
        value.clone()
    }
}
///Answer of the backup.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RecordKeyReply {
    ///The conflicting record.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub record: ::std::option::Option<KeyRecord>,
    pub verdict: RecordKeyVerdict,
}
impl ::std::convert::From<&RecordKeyReply> for RecordKeyReply {
    fn from(value: &RecordKeyReply) -> Self {
        value.clone()
    }
}
///Whether the backup recorded the key.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum RecordKeyVerdict {
    #[serde(rename = "recorded")]
    Recorded,
    #[serde(rename = "conflict")]
    Conflict,
    #[serde(rename = "refused")]
    Refused,
}
impl ::std::convert::From<&Self> for RecordKeyVerdict {
    fn from(value: &RecordKeyVerdict) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for RecordKeyVerdict {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Recorded => f.write_str("recorded"),
            Self::Conflict => f.write_str("conflict"),
            Self::Refused => f.write_str("refused"),
        }
    }
}
impl ::std::str::FromStr for RecordKeyVerdict {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "recorded" => Ok(Self::Recorded),
            "conflict" => Ok(Self::Conflict),
            "refused" => Ok(Self::Refused),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RecordKeyVerdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for RecordKeyVerdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RecordKeyVerdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///An answer that is kept for repeats of its key.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RecordedAnswer {
    pub body: ::std::vec::Vec<u8>,
    pub headers: ::std::vec::Vec<RecordedHeader>,
    pub status: u16,
}
impl ::std::convert::From<&RecordedAnswer> for RecordedAnswer {
    fn from(value: &RecordedAnswer) -> Self {
        value.clone()
    }
}
///One header of a recorded answer.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RecordedHeader {
    pub name: ::std::string::String,
    pub value: ::std::string::String,
}
impl ::std::convert::From<&RecordedHeader> for RecordedHeader {
    fn from(value: &RecordedHeader) -> Self {
        value.clone()
    }
}
