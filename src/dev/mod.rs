//! Embedded installations of both sites on loopback, for development and checks.

mod check;
mod installation;
mod instance;
mod load;
mod operators;
mod platform;
mod promise;
mod reserved_port;
mod scenario;
mod site;
mod verify;

pub use check::{CheckReport, ClassRow, run_check};
pub use installation::Installation;
pub use instance::DevInstance;
pub use load::{Answer, Ask, LoadClient, Reported};
pub use operators::DevOperators;
pub use platform::{DevPlatform, DevWorker};
pub use promise::Promise;
pub use reserved_port::ReservedPort;
pub use site::Site;
pub use verify::{verify_leaving, verify_limits, verify_requests, verify_tasks};

/// Builds an identifier from text of this program's own making.
fn id<T: TryFrom<String> + Default>(text: &str) -> T {
    T::try_from(text.to_string()).unwrap_or_default()
}
