//! INI files that are checked against a schema in one pass.

mod check;
mod document;
mod fault;

pub use check::SchemaCheck;
pub use document::{Document, Entry};
pub use fault::{Fault, Faults};
