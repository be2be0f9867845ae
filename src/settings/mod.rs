//! Settings of one entry process.

mod load;
mod render;

pub use load::{load_settings, parse_settings};
pub use render::render_settings;
