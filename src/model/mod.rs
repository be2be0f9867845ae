//! Identifiers, quantities and times that all other modules use.

mod address;
mod bounded_vec;
mod hex_bytes;
mod ids;
mod millis;
mod newtype;
mod resources;
mod units;

pub use address::Address;
pub use bounded_vec::bounded_vec;
pub use hex_bytes::{Digest, PublicKey, Signature};
pub use ids::{
    CheckpointId, ClassName, JobId, KeyId, MemberId, OperatorId, ProposalId, RackId, RegionId,
    ServiceId, SiteId, TaskId, TeamId, VmId, WorkerId, WriterToken, ZoneId,
};
pub use millis::Millis;
pub use resources::Resources;
pub use units::{
    Accelerators, Attempt, ClaimNumber, Epoch, Mebibytes, Millicores, Permille, Revision,
    Timestamp, Version,
};
