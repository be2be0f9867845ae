//! Settings of one entry process.

mod load;

pub use load::{load_settings, parse_settings};
