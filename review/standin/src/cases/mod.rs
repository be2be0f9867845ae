//! The cases; each returns whether the rule held, or `None` if it could not run.

pub mod dropped_route;
pub mod odd_entry;
pub mod pending;
pub mod restarts;
