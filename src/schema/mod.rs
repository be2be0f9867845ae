//! Messages and settings, generated from `schema/*.json`.
//!
//! `cargo run -p schema-gen` writes these files anew.

#[rustfmt::skip]
pub mod batch;
#[rustfmt::skip]
pub mod bundle;
#[rustfmt::skip]
pub mod config;
#[rustfmt::skip]
pub mod dedup;
#[rustfmt::skip]
pub mod drain;
#[rustfmt::skip]
pub mod peer;
#[rustfmt::skip]
pub mod settings;
#[rustfmt::skip]
pub mod vm;
#[rustfmt::skip]
pub mod worker;
