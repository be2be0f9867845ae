//! Which entry processes there are, and who owns what.
//!
//! `Membership` is the state machine of one process. The member record lists the members and the
//! changes that some member may not have adopted yet, so that ownership is handed over without
//! overlap and a removal is safe for every epoch that the removed member may be in.

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
