//! Embedded installations of both sites on loopback, for development and checks.

mod load;
mod platform;
mod promise;
mod site;
mod verify;

pub use load::{Answer, Ask, LoadClient, Reported};
pub use platform::{DevPlatform, DevWorker};
pub use promise::Promise;
pub use site::Site;
pub use verify::{verify_leaving, verify_limits, verify_requests, verify_tasks};
