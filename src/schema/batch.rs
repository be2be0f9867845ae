//! Generated from `schema/batch.json` by `cargo run -p schema-gen`; do not edit.

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
///Proof that an attempt no longer runs.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AttemptEnd {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub checkpoint: ::std::option::Option<crate::model::CheckpointId>,
    pub kind: EndKind,
    ///Whether the worker is quarantined.
    #[serde(default)]
    pub suspect: bool,
}
impl ::std::convert::From<&AttemptEnd> for AttemptEnd {
    fn from(value: &AttemptEnd) -> Self {
        value.clone()
    }
}
///What a rack owner knows about an attempt.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum AttemptState {
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "ended")]
    Ended(AttemptEnd),
}
impl ::std::convert::From<&Self> for AttemptState {
    fn from(value: &AttemptState) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<AttemptEnd> for AttemptState {
    fn from(value: AttemptEnd) -> Self {
        Self::Ended(value)
    }
}
///State of an attempt on a worker.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AttemptStatus {
    pub attempt: crate::model::Attempt,
    pub place: Place,
    pub state: AttemptState,
    pub task: crate::model::TaskId,
}
impl ::std::convert::From<&AttemptStatus> for AttemptStatus {
    fn from(value: &AttemptStatus) -> Self {
        value.clone()
    }
}
///Tells that a task failed on a worker while its job succeeds elsewhere.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BlameWorker {
    pub job: crate::model::JobId,
    pub place: Place,
}
impl ::std::convert::From<&BlameWorker> for BlameWorker {
    fn from(value: &BlameWorker) -> Self {
        value.clone()
    }
}
///How an attempt ended; `never-started` is fenced, and the lease of `gone` has certainly expired.
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
pub enum EndKind {
    #[serde(rename = "finished")]
    Finished,
    #[serde(rename = "failed")]
    Failed,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "lapsed")]
    Lapsed,
    #[serde(rename = "never-started")]
    NeverStarted,
    #[serde(rename = "gone")]
    Gone,
}
impl ::std::convert::From<&Self> for EndKind {
    fn from(value: &EndKind) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for EndKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Finished => f.write_str("finished"),
            Self::Failed => f.write_str("failed"),
            Self::Stopped => f.write_str("stopped"),
            Self::Lapsed => f.write_str("lapsed"),
            Self::NeverStarted => f.write_str("never-started"),
            Self::Gone => f.write_str("gone"),
        }
    }
}
impl ::std::str::FromStr for EndKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "finished" => Ok(Self::Finished),
            "failed" => Ok(Self::Failed),
            "stopped" => Ok(Self::Stopped),
            "lapsed" => Ok(Self::Lapsed),
            "never-started" => Ok(Self::NeverStarted),
            "gone" => Ok(Self::Gone),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for EndKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for EndKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for EndKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Task indices from `from` up to but not including `to`.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct IndexRange {
    ///First index.
    pub from: u32,
    ///Index after the last.
    pub to: u32,
}
impl ::std::convert::From<&IndexRange> for IndexRange {
    fn from(value: &IndexRange) -> Self {
        value.clone()
    }
}
///Which jobs a call is about; every condition that is given must hold.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct JobFilter {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub job: ::std::option::Option<crate::model::JobId>,
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub labels: ::std::collections::BTreeMap<
        ::std::string::String,
        ::std::string::String,
    >,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub team: ::std::option::Option<crate::model::TeamId>,
}
impl ::std::convert::From<&JobFilter> for JobFilter {
    fn from(value: &JobFilter) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for JobFilter {
    fn default() -> Self {
        Self {
            job: Default::default(),
            labels: Default::default(),
            team: Default::default(),
        }
    }
}
///Durable phase of a job.
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
pub enum JobPhase {
    #[serde(rename = "open")]
    Open,
    #[serde(rename = "cancelling")]
    Cancelling,
    #[serde(rename = "cancelled")]
    Cancelled,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "parked")]
    Parked,
}
impl ::std::convert::From<&Self> for JobPhase {
    fn from(value: &JobPhase) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for JobPhase {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Open => f.write_str("open"),
            Self::Cancelling => f.write_str("cancelling"),
            Self::Cancelled => f.write_str("cancelled"),
            Self::Done => f.write_str("done"),
            Self::Parked => f.write_str("parked"),
        }
    }
}
impl ::std::str::FromStr for JobPhase {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "open" => Ok(Self::Open),
            "cancelling" => Ok(Self::Cancelling),
            "cancelled" => Ok(Self::Cancelled),
            "done" => Ok(Self::Done),
            "parked" => Ok(Self::Parked),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for JobPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for JobPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for JobPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Durable state of a job.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct JobRecord {
    ///Finished tasks.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub done: ::std::vec::Vec<IndexRange>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub ended: ::std::option::Option<crate::model::Millis>,
    ///First task index that was never assigned.
    pub fresh: u32,
    pub id: crate::model::JobId,
    pub phase: JobPhase,
    ///Why the job is parked.
    #[serde(default)]
    pub reason: ::std::string::String,
    pub spec: JobSpec,
    ///Wall-clock time of submission.
    pub submitted: crate::model::Millis,
    ///Tasks that were assigned and are not finished, by index.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub tasks: ::std::vec::Vec<TaskRecord>,
}
impl ::std::convert::From<&JobRecord> for JobRecord {
    fn from(value: &JobRecord) -> Self {
        value.clone()
    }
}
///Report of a rack owner to a job owner.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct JobReport {
    pub epoch: crate::model::Epoch,
    pub from: crate::model::MemberId,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub status: ::std::vec::Vec<AttemptStatus>,
}
impl ::std::convert::From<&JobReport> for JobReport {
    fn from(value: &JobReport) -> Self {
        value.clone()
    }
}
///What a submitter asks for.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    ///Whether a task can save a checkpoint.
    #[serde(default)]
    pub can_checkpoint: bool,
    ///Batch class of the bundle.
    pub class: crate::model::ClassName,
    ///Submission key; a repeated submission with the same key and team gives the same job.
    pub key: ::std::string::String,
    ///Kind of task, the key of interference estimates.
    pub kind: ::std::string::String,
    ///Labels for listing and cancelling.
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub labels: ::std::collections::BTreeMap<
        ::std::string::String,
        ::std::string::String,
    >,
    ///Declared size of one task.
    pub resources: crate::model::Resources,
    ///Declared run time of one task.
    pub run_time: crate::model::Millis,
    ///Number of tasks.
    pub tasks: u32,
    pub team: crate::model::TeamId,
    ///Fewest availability zones over which running tasks are spread.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub zone_spread: ::std::option::Option<u32>,
}
impl ::std::convert::From<&JobSpec> for JobSpec {
    fn from(value: &JobSpec) -> Self {
        value.clone()
    }
}
///A job as shown to operators.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct JobView {
    ///Tasks that run or are being started or stopped.
    pub assigned: u32,
    ///Cancelled tasks.
    pub cancelled: u32,
    ///Finished tasks.
    pub done: u32,
    pub id: crate::model::JobId,
    ///Parked tasks.
    pub parked: u32,
    ///Tasks that wait.
    pub pending: u32,
    pub phase: JobPhase,
    ///Why the job is parked.
    #[serde(default)]
    pub reason: ::std::string::String,
    ///Why tasks are parked.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub reasons: ::std::vec::Vec<::std::string::String>,
    pub spec: JobSpec,
    pub submitted: crate::model::Millis,
}
impl ::std::convert::From<&JobView> for JobView {
    fn from(value: &JobView) -> Self {
        value.clone()
    }
}
///Where an attempt is assigned.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Place {
    pub rack: crate::model::RackId,
    pub worker: crate::model::VmId,
}
impl ::std::convert::From<&Place> for Place {
    fn from(value: &Place) -> Self {
        value.clone()
    }
}
///Answer of a rack owner.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RackAnswer {
    ///Whether the owner is active in the epoch of the call; otherwise nothing was done.
    pub accepted: bool,
    pub digest: RackDigest,
    pub epoch: crate::model::Epoch,
    pub from: crate::model::MemberId,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub reserved: ::std::vec::Vec<Reserved>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub status: ::std::vec::Vec<AttemptStatus>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub teams: ::std::vec::Vec<TeamUse>,
}
impl ::std::convert::From<&RackAnswer> for RackAnswer {
    fn from(value: &RackAnswer) -> Self {
        value.clone()
    }
}
///One exchange from a job owner to a rack owner.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RackCall {
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub blame: ::std::vec::Vec<BlameWorker>,
    pub epoch: crate::model::Epoch,
    pub from: crate::model::MemberId,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub release: ::std::vec::Vec<ReleaseAttempt>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub reserve: ::std::vec::Vec<ReserveTask>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub start: ::std::vec::Vec<StartAttempt>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub stop: ::std::vec::Vec<StopAttempt>,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub teams: ::std::vec::Vec<TeamUse>,
}
impl ::std::convert::From<&RackCall> for RackCall {
    fn from(value: &RackCall) -> Self {
        value.clone()
    }
}
///Free capacity of a rack owner's workers.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RackDigest {
    pub free: crate::model::Resources,
    ///Largest free amount of each resource on any one worker.
    pub largest: crate::model::Resources,
    ///Workers that take new tasks.
    pub workers: u32,
}
impl ::std::convert::From<&RackDigest> for RackDigest {
    fn from(value: &RackDigest) -> Self {
        value.clone()
    }
}
///Tells that an attempt is durably resolved.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ReleaseAttempt {
    pub attempt: crate::model::Attempt,
    pub place: Place,
    pub task: crate::model::TaskId,
}
impl ::std::convert::From<&ReleaseAttempt> for ReleaseAttempt {
    fn from(value: &ReleaseAttempt) -> Self {
        value.clone()
    }
}
///Asks for capacity for one attempt.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ReserveTask {
    pub attempt: crate::model::Attempt,
    ///Workers on which the task failed.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub avoid_workers: ::std::vec::Vec<crate::model::VmId>,
    ///Availability zones that hold their part of the job.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub avoid_zones: ::std::vec::Vec<crate::model::ZoneId>,
    ///Kind of task.
    pub kind: ::std::string::String,
    pub resources: crate::model::Resources,
    pub task: crate::model::TaskId,
}
impl ::std::convert::From<&ReserveTask> for ReserveTask {
    fn from(value: &ReserveTask) -> Self {
        value.clone()
    }
}
///Capacity that is held for one attempt.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Reserved {
    pub attempt: crate::model::Attempt,
    pub place: Place,
    pub task: crate::model::TaskId,
}
impl ::std::convert::From<&Reserved> for Reserved {
    fn from(value: &Reserved) -> Self {
        value.clone()
    }
}
///Record of a job shard.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ShardRecord {
    pub epoch: crate::model::Epoch,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub jobs: ::std::vec::Vec<JobRecord>,
    ///Number of the next job.
    pub next_job: u64,
    pub writer: crate::model::WriterToken,
}
impl ::std::convert::From<&ShardRecord> for ShardRecord {
    fn from(value: &ShardRecord) -> Self {
        value.clone()
    }
}
///Asks the rack owner to start a durably assigned attempt, or to confirm that it runs.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StartAttempt {
    pub attempt: crate::model::Attempt,
    ///Whether the task can save a checkpoint.
    pub can_checkpoint: bool,
    ///Whether the task may be evicted for services.
    pub evictable: bool,
    ///Kind of task.
    pub kind: ::std::string::String,
    pub place: Place,
    pub resources: crate::model::Resources,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub resume_from: ::std::option::Option<crate::model::CheckpointId>,
    pub run_time: crate::model::Millis,
    pub task: crate::model::TaskId,
}
impl ::std::convert::From<&StartAttempt> for StartAttempt {
    fn from(value: &StartAttempt) -> Self {
        value.clone()
    }
}
///Asks the rack owner to stop or fence an attempt.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StopAttempt {
    pub attempt: crate::model::Attempt,
    ///Whether to save a checkpoint first.
    pub checkpoint: bool,
    pub place: Place,
    pub task: crate::model::TaskId,
}
impl ::std::convert::From<&StopAttempt> for StopAttempt {
    fn from(value: &StopAttempt) -> Self {
        value.clone()
    }
}
///Durable state of one task.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TaskRecord {
    pub attempt: crate::model::Attempt,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub checkpoint: ::std::option::Option<crate::model::CheckpointId>,
    ///Workers on which the task failed.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub failed_on: ::std::vec::Vec<crate::model::VmId>,
    ///Failed attempts that count against the job.
    #[serde(default)]
    pub failures: u32,
    ///Index within the job.
    pub index: u32,
    pub state: TaskState,
}
impl ::std::convert::From<&TaskRecord> for TaskRecord {
    fn from(value: &TaskRecord) -> Self {
        value.clone()
    }
}
///Durable state of a task.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum TaskState {
    #[serde(rename = "pending")]
    Pending,
    #[serde(rename = "assigned")]
    Assigned(Place),
    #[serde(rename = "parked")]
    Parked(::std::string::String),
}
impl ::std::convert::From<&Self> for TaskState {
    fn from(value: &TaskState) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<Place> for TaskState {
    fn from(value: Place) -> Self {
        Self::Assigned(value)
    }
}
///What a team uses and wants in the shards of one member.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TeamUse {
    ///Tasks that wait.
    pub pending: u32,
    pub team: crate::model::TeamId,
    pub used: crate::model::Resources,
}
impl ::std::convert::From<&TeamUse> for TeamUse {
    fn from(value: &TeamUse) -> Self {
        value.clone()
    }
}
