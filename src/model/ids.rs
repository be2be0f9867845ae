//! Identifiers of everything that other parts refer to by name.

use super::newtype::text_id;

text_id!(
    /// One run of an entry process; a restarted process gets a new one.
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
    /// A class of urgency, as named in the bundle.
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
    /// Identifies one write, so that a lost answer can be resolved by reading the record.
    WriterToken
);
text_id!(
    /// A person who changes the configuration or watches over the system.
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
