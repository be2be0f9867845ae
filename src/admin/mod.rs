//! Administration API for operators: HTTP with JSON, described in `docs/ADMIN-API.md`.

mod answer;
mod audit_calls;
mod auth;
mod bundle_calls;
mod extension;
mod key_calls;
mod request;
mod service;

pub use answer::AdminAnswer;
pub use extension::AdminExtension;
pub use service::{ADMIN_PREFIX, AdminService};
