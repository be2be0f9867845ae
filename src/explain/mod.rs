//! Tells from the logs of several processes what became of one job, and why.

mod line;
mod story;

pub use line::LogLine;
pub use story::Story;
