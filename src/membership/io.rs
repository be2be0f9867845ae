//! Inputs and outputs of the membership state machine.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::schema::peer::{Heartbeat, Member, MemberRecord};
use crate::schema::vm::VmRecord;

/// An event that the membership state machine processes.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The store granted or renewed the lease; the call was sent at this time.
    LeaseGranted(Millis),
    /// The store no longer knows the lease.
    LeaseExpired,
    /// A call about the lease failed or got no response.
    LeaseCallFailed,
    /// The record was read, followed by the entries of all processes with a valid lease.
    RecordRead {
        /// Time before the first of the two reads was sent.
        started: Millis,
        /// The record with its revision, or `None` if the store has no record.
        record: Option<(MemberRecord, Revision)>,
        /// Processes with a valid lease.
        entries: Vec<Member>,
    },
    /// A read of the record failed, or a write certainly had no effect.
    RecordFailed,
    /// The record was written.
    RecordWritten,
    /// The record was not written because it had changed to this one.
    RecordConflict(Option<MemberRecord>),
    /// The response to a write was lost, so the record may or may not have been written.
    WriteInDoubt,
    /// A peer sent its member record.
    ViewReceived(MemberRecord),
    /// A peer responded to a heartbeat that was sent at this time.
    HeartbeatResponse(Millis, Heartbeat),
    /// The VM list was read.
    VmListRead(Vec<VmRecord>),
    /// Requests in flight at each endpoint that has any, counted while the slot shares of this
    /// epoch applied.
    InFlight(Epoch, BTreeMap<VmId, u32>),
    /// An endpoint announced that it is leaving.
    Leaving(VmId),
    /// This process shuts down and gives up its ownership.
    Leave,
}

/// An action that the caller of the state machine carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Grant the store lease and write this entry, which is bound to the lease.
    CreateLease(Member),
    /// Renew the store lease.
    RenewLease,
    /// Read the record, then the entries.
    ReadRecord {
        /// Whether the entry of this process is deleted first because the process leaves.
        leave: bool,
    },
    /// Write the record if the stored one is still at this revision; `None` expects no record.
    WriteRecord(Option<Revision>, MemberRecord),
    /// Send a heartbeat to the peer at this address.
    SendHeartbeat(String, Heartbeat),
    /// Exchange member records with the peer at this address.
    ExchangeView(String),
    /// A new epoch was adopted.
    Adopted(Epoch),
    /// The record of this epoch no longer lists this process.
    Removed(Epoch),
    /// This process has left the record and may stop.
    Left,
}
