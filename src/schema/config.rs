//! Generated from `schema/config.json` by `cargo run -p schema-gen`; do not edit.

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
///Body of every answer that is not a success.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ApiError {
    ///Faults of a bundle.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub faults: ::std::vec::Vec<PlacedFault>,
    pub kind: ErrorKind,
    ///What went wrong, for people.
    pub message: ::std::string::String,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub other: ::std::option::Option<OtherChange>,
}
impl ::std::convert::From<&ApiError> for ApiError {
    fn from(value: &ApiError) -> Self {
        value.clone()
    }
}
///What was attempted.
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
pub enum AuditAction {
    #[serde(rename = "bootstrap")]
    Bootstrap,
    #[serde(rename = "propose")]
    Propose,
    #[serde(rename = "review")]
    Review,
    #[serde(rename = "sign_off")]
    SignOff,
    #[serde(rename = "roll_out")]
    RollOut,
    #[serde(rename = "roll_back")]
    RollBack,
    #[serde(rename = "change_keys")]
    ChangeKeys,
    #[serde(rename = "job")]
    Job,
    #[serde(rename = "drain")]
    Drain,
    #[serde(rename = "other")]
    Other,
}
impl ::std::convert::From<&Self> for AuditAction {
    fn from(value: &AuditAction) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for AuditAction {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Bootstrap => f.write_str("bootstrap"),
            Self::Propose => f.write_str("propose"),
            Self::Review => f.write_str("review"),
            Self::SignOff => f.write_str("sign_off"),
            Self::RollOut => f.write_str("roll_out"),
            Self::RollBack => f.write_str("roll_back"),
            Self::ChangeKeys => f.write_str("change_keys"),
            Self::Job => f.write_str("job"),
            Self::Drain => f.write_str("drain"),
            Self::Other => f.write_str("other"),
        }
    }
}
impl ::std::str::FromStr for AuditAction {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "bootstrap" => Ok(Self::Bootstrap),
            "propose" => Ok(Self::Propose),
            "review" => Ok(Self::Review),
            "sign_off" => Ok(Self::SignOff),
            "roll_out" => Ok(Self::RollOut),
            "roll_back" => Ok(Self::RollBack),
            "change_keys" => Ok(Self::ChangeKeys),
            "job" => Ok(Self::Job),
            "drain" => Ok(Self::Drain),
            "other" => Ok(Self::Other),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for AuditAction {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for AuditAction {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for AuditAction {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///One entry of the audit trail.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AuditEntry {
    pub action: AuditAction,
    pub at: crate::model::Timestamp,
    ///Reason or further data.
    pub detail: ::std::string::String,
    ///SHA-256 over all other fields.
    pub hash: crate::model::Digest,
    pub outcome: AuditOutcome,
    ///Hash of the entry before.
    pub previous: crate::model::Digest,
    ///Position in the trail, starting at one.
    pub seq: u64,
    ///What was changed.
    pub subject: ::std::string::String,
    ///Bundle version concerned.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub version: ::std::option::Option<crate::model::Version>,
    pub who: crate::model::OperatorId,
    ///Token of the append.
    pub writer: crate::model::WriterToken,
}
impl ::std::convert::From<&AuditEntry> for AuditEntry {
    fn from(value: &AuditEntry) -> Self {
        value.clone()
    }
}
///A place where the trail does not hold.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AuditFault {
    ///What is wrong.
    pub message: ::std::string::String,
    ///Position in the trail.
    pub seq: u64,
}
impl ::std::convert::From<&AuditFault> for AuditFault {
    fn from(value: &AuditFault) -> Self {
        value.clone()
    }
}
///How a change ended.
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
pub enum AuditOutcome {
    #[serde(rename = "attempted")]
    Attempted,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "refused")]
    Refused,
    #[serde(rename = "conflict")]
    Conflict,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::convert::From<&Self> for AuditOutcome {
    fn from(value: &AuditOutcome) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for AuditOutcome {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Attempted => f.write_str("attempted"),
            Self::Done => f.write_str("done"),
            Self::Refused => f.write_str("refused"),
            Self::Conflict => f.write_str("conflict"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for AuditOutcome {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "attempted" => Ok(Self::Attempted),
            "done" => Ok(Self::Done),
            "refused" => Ok(Self::Refused),
            "conflict" => Ok(Self::Conflict),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for AuditOutcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for AuditOutcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for AuditOutcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A part of the audit trail.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AuditPage {
    ///Entries in order.
    pub entries: ::std::vec::Vec<AuditEntry>,
    ///Position of the newest entry of the trail.
    pub last: u64,
}
impl ::std::convert::From<&AuditPage> for AuditPage {
    fn from(value: &AuditPage) -> Self {
        value.clone()
    }
}
///Result of checking the whole trail.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AuditReport {
    ///Places where the trail does not hold.
    pub faults: ::std::vec::Vec<AuditFault>,
    ///Oldest entry.
    pub first: u64,
    ///Hash of the newest entry.
    pub head: crate::model::Digest,
    ///Newest entry.
    pub last: u64,
    ///Attempts without an outcome.
    pub open: ::std::vec::Vec<AuditFault>,
}
impl ::std::convert::From<&AuditReport> for AuditReport {
    fn from(value: &AuditReport) -> Self {
        value.clone()
    }
}
///Entries in order; stored at `audit/open` while it grows and at `audit/segment/<n>` when full.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AuditSegment {
    ///Hash of the entry before the first one.
    pub anchor: crate::model::Digest,
    ///Entries in order.
    pub entries: ::std::vec::Vec<AuditEntry>,
    ///Number of the segment, starting at zero.
    pub number: u64,
    ///Oldest segment that is kept.
    pub oldest: u64,
    pub writer: crate::model::WriterToken,
}
impl ::std::convert::From<&AuditSegment> for AuditSegment {
    fn from(value: &AuditSegment) -> Self {
        value.clone()
    }
}
///One value that differs between two bundles.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Change {
    ///Key.
    pub key: ::std::string::String,
    ///New value; absent if the key is gone.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub new: ::std::option::Option<::std::string::String>,
    ///Old value; absent if the key is new.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub old: ::std::option::Option<::std::string::String>,
    ///Section.
    pub section: ::std::string::String,
}
impl ::std::convert::From<&Change> for Change {
    fn from(value: &Change) -> Self {
        value.clone()
    }
}
///The bundle in force with the key ring that verifies it; stored at `bundle/current`.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CurrentRecord {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub release: ::std::option::Option<Release>,
    pub ring: SignedRing,
    pub ring_changed_at: crate::model::Timestamp,
    pub ring_changed_by: crate::model::OperatorId,
    ///Version in force; zero before the first roll-out.
    pub version: crate::model::Version,
    pub writer: crate::model::WriterToken,
}
impl ::std::convert::From<&CurrentRecord> for CurrentRecord {
    fn from(value: &CurrentRecord) -> Self {
        value.clone()
    }
}
///The bundle in force.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CurrentView {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub release: ::std::option::Option<Release>,
    pub version: crate::model::Version,
}
impl ::std::convert::From<&CurrentView> for CurrentView {
    fn from(value: &CurrentView) -> Self {
        value.clone()
    }
}
///What changes in effect.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DiffView {
    ///Values by section and key.
    pub changes: ::std::vec::Vec<Change>,
    pub from: crate::model::Version,
    ///Version that the change makes or made.
    pub to: crate::model::Version,
}
impl ::std::convert::From<&DiffView> for DiffView {
    fn from(value: &DiffView) -> Self {
        value.clone()
    }
}
///Kind of an error, for programs.
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
pub enum ErrorKind {
    #[serde(rename = "bad_input")]
    BadInput,
    #[serde(rename = "unauthenticated")]
    Unauthenticated,
    #[serde(rename = "forbidden")]
    Forbidden,
    #[serde(rename = "not_found")]
    NotFound,
    #[serde(rename = "refused")]
    Refused,
    #[serde(rename = "conflict")]
    Conflict,
    #[serde(rename = "unavailable")]
    Unavailable,
    #[serde(rename = "unknown_outcome")]
    UnknownOutcome,
    #[serde(rename = "internal")]
    Internal,
}
impl ::std::convert::From<&Self> for ErrorKind {
    fn from(value: &ErrorKind) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::BadInput => f.write_str("bad_input"),
            Self::Unauthenticated => f.write_str("unauthenticated"),
            Self::Forbidden => f.write_str("forbidden"),
            Self::NotFound => f.write_str("not_found"),
            Self::Refused => f.write_str("refused"),
            Self::Conflict => f.write_str("conflict"),
            Self::Unavailable => f.write_str("unavailable"),
            Self::UnknownOutcome => f.write_str("unknown_outcome"),
            Self::Internal => f.write_str("internal"),
        }
    }
}
impl ::std::str::FromStr for ErrorKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "bad_input" => Ok(Self::BadInput),
            "unauthenticated" => Ok(Self::Unauthenticated),
            "forbidden" => Ok(Self::Forbidden),
            "not_found" => Ok(Self::NotFound),
            "refused" => Ok(Self::Refused),
            "conflict" => Ok(Self::Conflict),
            "unavailable" => Ok(Self::Unavailable),
            "unknown_outcome" => Ok(Self::UnknownOutcome),
            "internal" => Ok(Self::Internal),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ErrorKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for ErrorKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ErrorKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///One version.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HistoryEntry {
    pub digest: crate::model::Digest,
    pub proposer: crate::model::OperatorId,
    pub rolled_out_at: crate::model::Timestamp,
    pub rolled_out_by: crate::model::OperatorId,
    pub signer: crate::model::OperatorId,
    pub version: crate::model::Version,
}
impl ::std::convert::From<&HistoryEntry> for HistoryEntry {
    fn from(value: &HistoryEntry) -> Self {
        value.clone()
    }
}
///All operators of a site; a root key signs it.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct KeyRing {
    ///Operators by name.
    pub operators: ::std::vec::Vec<OperatorRecord>,
    ///Number of the ring; it grows by one with every change.
    pub serial: u64,
    pub site: crate::model::SiteId,
}
impl ::std::convert::From<&KeyRing> for KeyRing {
    fn from(value: &KeyRing) -> Self {
        value.clone()
    }
}
///A public key with the bundle versions that it may sign off.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OperatorKey {
    ///First bundle version that the key may sign off.
    pub from: crate::model::Version,
    pub id: crate::model::KeyId,
    pub public: crate::model::PublicKey,
    ///Last bundle version that the key may sign off; absent while the key is valid.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub until: ::std::option::Option<crate::model::Version>,
}
impl ::std::convert::From<&OperatorKey> for OperatorKey {
    fn from(value: &OperatorKey) -> Self {
        value.clone()
    }
}
///An operator with roles, teams, keys and the digest of the bearer token.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OperatorRecord {
    ///Whether the operator may change every team's and all shared settings.
    pub all_teams: bool,
    ///Keys for sign-off, ended ones included.
    pub keys: ::std::vec::Vec<OperatorKey>,
    pub name: crate::model::OperatorId,
    ///What the operator may do.
    pub roles: ::std::vec::Vec<Role>,
    ///Teams whose settings and jobs the operator may change.
    pub teams: ::std::vec::Vec<crate::model::TeamId>,
    ///SHA-256 of the bearer token; absent if the operator may not call.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub token: ::std::option::Option<crate::model::Digest>,
}
impl ::std::convert::From<&OperatorRecord> for OperatorRecord {
    fn from(value: &OperatorRecord) -> Self {
        value.clone()
    }
}
///The change that a call is in conflict with.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OtherChange {
    pub at: crate::model::Timestamp,
    ///Bundle version that is in force with it.
    pub version: crate::model::Version,
    ///What was changed.
    pub what: ::std::string::String,
    pub who: crate::model::OperatorId,
}
impl ::std::convert::From<&OtherChange> for OtherChange {
    fn from(value: &OtherChange) -> Self {
        value.clone()
    }
}
///A fault in an INI text.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlacedFault {
    ///Key, or empty.
    pub key: ::std::string::String,
    ///Line, starting at one; zero if none.
    pub line: u64,
    ///What is wrong.
    pub message: ::std::string::String,
    ///Section.
    pub section: ::std::string::String,
}
impl ::std::convert::From<&PlacedFault> for PlacedFault {
    fn from(value: &PlacedFault) -> Self {
        value.clone()
    }
}
///A proposed bundle; stored at `bundle/proposal/<version>/<id>`.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    ///Version in force that the proposal starts from.
    pub base: crate::model::Version,
    ///SHA-256 of the text.
    pub digest: crate::model::Digest,
    pub id: crate::model::ProposalId,
    pub kind: ProposalKind,
    pub proposed_at: crate::model::Timestamp,
    pub proposer: crate::model::OperatorId,
    ///Verdicts in order.
    pub reviews: ::std::vec::Vec<Review>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub sign_off: ::std::option::Option<SignOff>,
    ///The bundle as INI text.
    pub text: ::std::string::String,
    pub writer: crate::model::WriterToken,
}
impl ::std::convert::From<&Proposal> for Proposal {
    fn from(value: &Proposal) -> Self {
        value.clone()
    }
}
///What a proposal is.
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
pub enum ProposalKind {
    #[serde(rename = "change")]
    Change,
    #[serde(rename = "roll_back")]
    RollBack,
}
impl ::std::convert::From<&Self> for ProposalKind {
    fn from(value: &ProposalKind) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for ProposalKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Change => f.write_str("change"),
            Self::RollBack => f.write_str("roll_back"),
        }
    }
}
impl ::std::str::FromStr for ProposalKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "change" => Ok(Self::Change),
            "roll_back" => Ok(Self::RollBack),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ProposalKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for ProposalKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ProposalKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Where a proposal stands.
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
pub enum ProposalState {
    #[serde(rename = "proposed")]
    Proposed,
    #[serde(rename = "reviewed")]
    Reviewed,
    #[serde(rename = "rejected")]
    Rejected,
    #[serde(rename = "signed_off")]
    SignedOff,
    #[serde(rename = "rolled_out")]
    RolledOut,
    #[serde(rename = "superseded")]
    Superseded,
}
impl ::std::convert::From<&Self> for ProposalState {
    fn from(value: &ProposalState) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for ProposalState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Proposed => f.write_str("proposed"),
            Self::Reviewed => f.write_str("reviewed"),
            Self::Rejected => f.write_str("rejected"),
            Self::SignedOff => f.write_str("signed_off"),
            Self::RolledOut => f.write_str("rolled_out"),
            Self::Superseded => f.write_str("superseded"),
        }
    }
}
impl ::std::str::FromStr for ProposalState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "proposed" => Ok(Self::Proposed),
            "reviewed" => Ok(Self::Reviewed),
            "rejected" => Ok(Self::Rejected),
            "signed_off" => Ok(Self::SignedOff),
            "rolled_out" => Ok(Self::RolledOut),
            "superseded" => Ok(Self::Superseded),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ProposalState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for ProposalState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ProposalState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A proposal as shown to operators.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ProposalView {
    ///Remarks on the text.
    pub notes: ::std::vec::Vec<PlacedFault>,
    pub proposal: Proposal,
    pub state: ProposalState,
    ///Version that it becomes.
    pub version: crate::model::Version,
}
impl ::std::convert::From<&ProposalView> for ProposalView {
    fn from(value: &ProposalView) -> Self {
        value.clone()
    }
}
///Proposes a bundle.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ProposeRequest {
    ///Version that the text was made from; the version in force if absent.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub base: ::std::option::Option<crate::model::Version>,
    ///The bundle as INI text.
    pub text: ::std::string::String,
}
impl ::std::convert::From<&ProposeRequest> for ProposeRequest {
    fn from(value: &ProposeRequest) -> Self {
        value.clone()
    }
}
///A signed bundle version; stored at `bundle/version/<n>` once it is no longer in force.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Release {
    pub digest: crate::model::Digest,
    pub proposal: crate::model::ProposalId,
    pub proposed_at: crate::model::Timestamp,
    pub proposer: crate::model::OperatorId,
    ///Verdicts in order.
    pub reviews: ::std::vec::Vec<Review>,
    pub rolled_out_at: crate::model::Timestamp,
    pub rolled_out_by: crate::model::OperatorId,
    pub sign_off: SignOff,
    pub site: crate::model::SiteId,
    ///The bundle as INI text.
    pub text: ::std::string::String,
    pub version: crate::model::Version,
    ///Token of the roll-out.
    pub writer: crate::model::WriterToken,
}
impl ::std::convert::From<&Release> for Release {
    fn from(value: &Release) -> Self {
        value.clone()
    }
}
///A reviewer's verdict.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Review {
    ///Whether the reviewer agrees.
    pub approve: bool,
    pub at: crate::model::Timestamp,
    ///Reason, for the proposer.
    pub note: ::std::string::String,
    pub reviewer: crate::model::OperatorId,
}
impl ::std::convert::From<&Review> for Review {
    fn from(value: &Review) -> Self {
        value.clone()
    }
}
///Gives a verdict.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ReviewRequest {
    ///Whether the reviewer agrees.
    pub approve: bool,
    ///Digest of the text that was reviewed.
    pub digest: crate::model::Digest,
    ///Reason.
    pub note: ::std::string::String,
}
impl ::std::convert::From<&ReviewRequest> for ReviewRequest {
    fn from(value: &ReviewRequest) -> Self {
        value.clone()
    }
}
///Replaces the key ring.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RingRequest {
    ///What changes, for the audit trail.
    pub change: ::std::string::String,
    pub ring: SignedRing,
}
impl ::std::convert::From<&RingRequest> for RingRequest {
    fn from(value: &RingRequest) -> Self {
        value.clone()
    }
}
///The key ring.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RingView {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub ring: ::std::option::Option<SignedRing>,
    pub site: crate::model::SiteId,
    ///Bundle version in force.
    pub version: crate::model::Version,
}
impl ::std::convert::From<&RingView> for RingView {
    fn from(value: &RingView) -> Self {
        value.clone()
    }
}
///What an operator may do.
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
pub enum Role {
    #[serde(rename = "propose")]
    Propose,
    #[serde(rename = "review")]
    Review,
    #[serde(rename = "sign_off")]
    SignOff,
    #[serde(rename = "roll_out")]
    RollOut,
    #[serde(rename = "keys")]
    Keys,
    #[serde(rename = "audit")]
    Audit,
    #[serde(rename = "operate")]
    Operate,
}
impl ::std::convert::From<&Self> for Role {
    fn from(value: &Role) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for Role {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Propose => f.write_str("propose"),
            Self::Review => f.write_str("review"),
            Self::SignOff => f.write_str("sign_off"),
            Self::RollOut => f.write_str("roll_out"),
            Self::Keys => f.write_str("keys"),
            Self::Audit => f.write_str("audit"),
            Self::Operate => f.write_str("operate"),
        }
    }
}
impl ::std::str::FromStr for Role {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "propose" => Ok(Self::Propose),
            "review" => Ok(Self::Review),
            "sign_off" => Ok(Self::SignOff),
            "roll_out" => Ok(Self::RollOut),
            "keys" => Ok(Self::Keys),
            "audit" => Ok(Self::Audit),
            "operate" => Ok(Self::Operate),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Proposes the content of an older version.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RollBackRequest {
    ///Version whose content comes back.
    pub to: crate::model::Version,
}
impl ::std::convert::From<&RollBackRequest> for RollBackRequest {
    fn from(value: &RollBackRequest) -> Self {
        value.clone()
    }
}
///A signature over site, version, digest and proposer.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SignOff {
    pub at: crate::model::Timestamp,
    pub key: crate::model::KeyId,
    pub signature: crate::model::Signature,
    pub signer: crate::model::OperatorId,
}
impl ::std::convert::From<&SignOff> for SignOff {
    fn from(value: &SignOff) -> Self {
        value.clone()
    }
}
///Signs a proposal off.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SignOffRequest {
    pub key: crate::model::KeyId,
    pub signature: crate::model::Signature,
}
impl ::std::convert::From<&SignOffRequest> for SignOffRequest {
    fn from(value: &SignOffRequest) -> Self {
        value.clone()
    }
}
///A key ring as signed text.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SignedRing {
    ///Root key that signed.
    pub root: crate::model::KeyId,
    pub signature: crate::model::Signature,
    ///The key ring as JSON, exactly as it was signed.
    pub text: ::std::string::String,
}
impl ::std::convert::From<&SignedRing> for SignedRing {
    fn from(value: &SignedRing) -> Self {
        value.clone()
    }
}
