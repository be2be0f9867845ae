//! Generated from `schema/worker.json` by `cargo run -p schema-gen`; do not edit.

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
///Lets the agent forget the reports of ended attempts.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AcknowledgeTasks {
    pub epoch: crate::model::Epoch,
    pub tasks: ::std::vec::Vec<TaskAttempt>,
}
impl ::std::convert::From<&AcknowledgeTasks> for AcknowledgeTasks {
    fn from(value: &AcknowledgeTasks) -> Self {
        value.clone()
    }
}
///Why an agent refused a command; nothing was changed.
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
pub enum AgentRefusal {
    #[serde(rename = "stale-epoch")]
    StaleEpoch,
    #[serde(rename = "fenced-attempt")]
    FencedAttempt,
    #[serde(rename = "no-capacity")]
    NoCapacity,
    #[serde(rename = "already-running")]
    AlreadyRunning,
    #[serde(rename = "unknown-task")]
    UnknownTask,
    #[serde(rename = "lease-ended")]
    LeaseEnded,
}
impl ::std::convert::From<&Self> for AgentRefusal {
    fn from(value: &AgentRefusal) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for AgentRefusal {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::StaleEpoch => f.write_str("stale-epoch"),
            Self::FencedAttempt => f.write_str("fenced-attempt"),
            Self::NoCapacity => f.write_str("no-capacity"),
            Self::AlreadyRunning => f.write_str("already-running"),
            Self::UnknownTask => f.write_str("unknown-task"),
            Self::LeaseEnded => f.write_str("lease-ended"),
        }
    }
}
impl ::std::str::FromStr for AgentRefusal {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "stale-epoch" => Ok(Self::StaleEpoch),
            "fenced-attempt" => Ok(Self::FencedAttempt),
            "no-capacity" => Ok(Self::NoCapacity),
            "already-running" => Ok(Self::AlreadyRunning),
            "unknown-task" => Ok(Self::UnknownTask),
            "lease-ended" => Ok(Self::LeaseEnded),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for AgentRefusal {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for AgentRefusal {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for AgentRefusal {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Answer of a worker agent.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum AgentReply {
    #[serde(rename = "done")]
    Done(WorkerState),
    #[serde(rename = "refused")]
    Refused(AgentRefusal),
}
impl ::std::convert::From<&Self> for AgentReply {
    fn from(value: &AgentReply) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<WorkerState> for AgentReply {
    fn from(value: WorkerState) -> Self {
        Self::Done(value)
    }
}
impl ::std::convert::From<AgentRefusal> for AgentReply {
    fn from(value: AgentRefusal) -> Self {
        Self::Refused(value)
    }
}
///Takes over a worker for an epoch; older epochs are refused from then on.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClaimWorker {
    pub epoch: crate::model::Epoch,
    pub owner: crate::model::MemberId,
}
impl ::std::convert::From<&ClaimWorker> for ClaimWorker {
    fn from(value: &ClaimWorker) -> Self {
        value.clone()
    }
}
///Renews the leases of the listed attempts.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RenewLeases {
    ///Newest worker clock that the sender has read; the lease ends at this time plus its length.
    pub as_of: crate::model::Millis,
    pub epoch: crate::model::Epoch,
    pub lease: crate::model::Millis,
    pub tasks: ::std::vec::Vec<TaskAttempt>,
}
impl ::std::convert::From<&RenewLeases> for RenewLeases {
    fn from(value: &RenewLeases) -> Self {
        value.clone()
    }
}
///Starts one attempt of a task under a lease.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StartTask {
    ///Newest worker clock that the sender has read; the lease ends at this time plus its length.
    pub as_of: crate::model::Millis,
    pub attempt: crate::model::Attempt,
    ///Whether the task can save a checkpoint.
    pub can_checkpoint: bool,
    pub epoch: crate::model::Epoch,
    ///Kind of task, the key of interference estimates.
    pub kind: ::std::string::String,
    pub lease: crate::model::Millis,
    pub resources: crate::model::Resources,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub resume_from: ::std::option::Option<crate::model::CheckpointId>,
    pub run_time: crate::model::Millis,
    pub task: crate::model::TaskId,
}
impl ::std::convert::From<&StartTask> for StartTask {
    fn from(value: &StartTask) -> Self {
        value.clone()
    }
}
///Stops an attempt, saving a checkpoint first if asked; also fences an attempt that never started.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StopTask {
    pub attempt: crate::model::Attempt,
    ///Whether to save a checkpoint before stopping.
    pub checkpoint: bool,
    pub epoch: crate::model::Epoch,
    pub task: crate::model::TaskId,
}
impl ::std::convert::From<&StopTask> for StopTask {
    fn from(value: &StopTask) -> Self {
        value.clone()
    }
}
///One attempt of one task.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TaskAttempt {
    pub attempt: crate::model::Attempt,
    pub task: crate::model::TaskId,
}
impl ::std::convert::From<&TaskAttempt> for TaskAttempt {
    fn from(value: &TaskAttempt) -> Self {
        value.clone()
    }
}
///What an attempt is doing on its worker.
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
pub enum TaskPhase {
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "stopping")]
    Stopping,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "finished")]
    Finished,
    #[serde(rename = "failed")]
    Failed,
    #[serde(rename = "lapsed")]
    Lapsed,
}
impl ::std::convert::From<&Self> for TaskPhase {
    fn from(value: &TaskPhase) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for TaskPhase {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Running => f.write_str("running"),
            Self::Stopping => f.write_str("stopping"),
            Self::Stopped => f.write_str("stopped"),
            Self::Finished => f.write_str("finished"),
            Self::Failed => f.write_str("failed"),
            Self::Lapsed => f.write_str("lapsed"),
        }
    }
}
impl ::std::str::FromStr for TaskPhase {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "running" => Ok(Self::Running),
            "stopping" => Ok(Self::Stopping),
            "stopped" => Ok(Self::Stopped),
            "finished" => Ok(Self::Finished),
            "failed" => Ok(Self::Failed),
            "lapsed" => Ok(Self::Lapsed),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for TaskPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for TaskPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for TaskPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///State of one attempt on a worker.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    pub attempt: crate::model::Attempt,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub checkpoint: ::std::option::Option<crate::model::CheckpointId>,
    ///Kind of task.
    pub kind: ::std::string::String,
    ///Age of the measurement when it was reported.
    pub measured_age: crate::model::Millis,
    pub phase: TaskPhase,
    pub resources: crate::model::Resources,
    ///Measured run speed loss; 1000 is full speed.
    pub slowdown: crate::model::Permille,
    pub task: crate::model::TaskId,
    ///Measured use.
    pub used: crate::model::Resources,
}
impl ::std::convert::From<&TaskReport> for TaskReport {
    fn from(value: &TaskReport) -> Self {
        value.clone()
    }
}
///Limits the processor time of a running task.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ThrottleTask {
    pub attempt: crate::model::Attempt,
    pub epoch: crate::model::Epoch,
    pub share: crate::model::Permille,
    pub task: crate::model::TaskId,
}
impl ::std::convert::From<&ThrottleTask> for ThrottleTask {
    fn from(value: &ThrottleTask) -> Self {
        value.clone()
    }
}
///Everything that runs or ended on a worker.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WorkerState {
    pub capacity: crate::model::Resources,
    ///The worker's monotonic clock.
    pub clock: crate::model::Millis,
    pub epoch: crate::model::Epoch,
    pub tasks: ::std::vec::Vec<TaskReport>,
    pub vm: crate::model::VmId,
}
impl ::std::convert::From<&WorkerState> for WorkerState {
    fn from(value: &WorkerState) -> Self {
        value.clone()
    }
}
