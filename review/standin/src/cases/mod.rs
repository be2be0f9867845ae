//! The cases; each returns whether the rule held, or `None` if it could not run.

pub mod crashes;
pub mod dropped_route;
pub mod pending;
pub mod restarts;
