//! Membership of entry processes in a region, and the ownership that follows from it.
//!
//! [`Membership`] is the state machine of one process. The member record in the store lists the
//! members of the current epoch and the changes that some member may not have adopted yet. With
//! these changes ownership is handed over without overlap, and a removal is safe for every epoch
//! that the removed member may still be in.

mod hash;
mod io;
mod lease;
mod machine;
mod ownership;
mod peer_state;
mod slots;
mod table;
mod timing;
mod view;
mod vm_tracker;

pub use hash::Domain;
pub use io::{Input, Output};
pub use machine::Membership;
pub use ownership::{Ownership, SoleOwner};
pub use slots::{SlotBound, SlotChange, SlotHandover};
pub use table::MemberTable;
pub use timing::Timing;
pub use view::{MemberView, SLOTS_PER_ENDPOINT};
pub use vm_tracker::VmTracker;
