//! What goes into the membership machine and what comes out of it.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::schema::peer::{Heartbeat, Member, MemberRecord};
use crate::schema::vm::VmRecord;

/// Something that happened to this process.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The store lease was granted or extended by a call sent at this time.
    LeaseGranted(Millis),
    /// The store no longer knows the lease.
    LeaseExpired,
    /// A call about the lease was not answered.
    LeaseCallFailed,
    /// The record was read, and after it the entries of all processes whose leases are valid.
    RecordRead {
        /// Time before the first of the two reads was sent.
        started: Millis,
        /// The record with its revision, if there is one.
        record: Option<(MemberRecord, Revision)>,
        /// Processes with a valid lease.
        entries: Vec<Member>,
    },
    /// A read failed, or a write was certainly not carried out.
    RecordFailed,
    /// The record was written.
    RecordWritten,
    /// The record had changed; this one was found.
    RecordConflict(Option<MemberRecord>),
    /// The answer to a write was lost.
    WriteInDoubt,
    /// A peer sent a member record.
    ViewReceived(MemberRecord),
    /// A peer answered a heartbeat that was sent at this time.
    HeartbeatResponse(Millis, Heartbeat),
    /// The VM list was read.
    VmListRead(Vec<VmRecord>),
    /// Requests in progress at each endpoint with any, counted while this epoch's shares applied.
    InFlight(Epoch, BTreeMap<VmId, u32>),
    /// An endpoint announced that it is leaving.
    Leaving(VmId),
    /// This process shuts down and gives up what it owns.
    Leave,
}

/// Something that the shell must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Grant the store lease and write this entry, which is bound to it.
    CreateLease(Member),
    /// Extend the store lease.
    RenewLease,
    /// Read the record, and after it the entries.
    ReadRecord {
        /// Whether the entry of this process is deleted first, because it leaves.
        leave: bool,
    },
    /// Write the record if it is still at this revision; `None` expects no record.
    WriteRecord(Option<Revision>, MemberRecord),
    /// Send a heartbeat to the peer at this address.
    SendHeartbeat(String, Heartbeat),
    /// Exchange member records with the peer at this address.
    ExchangeView(String),
    /// A new epoch was adopted.
    Adopted(Epoch),
    /// This process is no longer listed.
    Removed(Epoch),
    /// This process has left the record and may stop.
    Left,
}
