//! Finds in the logs of several processes what happened to one job, and why.

mod line;
mod story;

pub use line::LogLine;
pub use story::Story;
