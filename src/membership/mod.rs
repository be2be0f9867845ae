//! Which entry processes there are, and who owns what.

mod ownership;

pub use ownership::{Ownership, SoleOwner};
