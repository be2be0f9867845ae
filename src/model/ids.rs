//! Identifiers of members, VMs, places, teams, jobs, operators and keys.

use super::newtype::text_id;

text_id!(
    /// One incarnation of an entry process. A restarted process gets a new id.
    MemberId
);
text_id!(
    /// A VM of the platform.
    VmId
);
text_id!(
    /// A worker: one VM that runs tasks, under the id by which it registers itself.
    WorkerId
);
text_id!(
    /// A rack of workers.
    RackId
);
text_id!(
    /// An availability zone.
    ZoneId
);
text_id!(
    /// A region of availability zones.
    RegionId
);
text_id!(
    /// A site with its own bundle, such as `tulua`.
    SiteId
);
text_id!(
    /// A service that answers requests.
    ServiceId
);
text_id!(
    /// A team with quotas and shares.
    TeamId
);
text_id!(
    /// Name of a request class or batch class of the bundle.
    ClassName
);
text_id!(
    /// A batch job.
    JobId
);
text_id!(
    /// A task of a batch job.
    TaskId
);
text_id!(
    /// A checkpoint that a worker saved for a task.
    CheckpointId
);
text_id!(
    /// Identifies one write. If the response is lost, the token in the record shows whether the
    /// write took effect.
    WriterToken
);
text_id!(
    /// A person who configures or monitors the system.
    OperatorId
);
text_id!(
    /// A proposed bundle.
    ProposalId
);
text_id!(
    /// A public key, named by the start of its digest.
    KeyId
);
