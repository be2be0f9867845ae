//! The platform's services as traits, with adapters that reach them over HTTP.

mod http_agent;
mod http_store;
mod http_vm_list;
mod store;
mod vm_list;
mod wall_clock;
mod worker_agent;

pub use http_agent::HttpAgent;
pub use http_store::HttpStore;
pub use http_vm_list::HttpVmList;
pub use store::{CasOutcome, Expected, Record, Store, StoreCall};
pub use vm_list::VmList;
pub use wall_clock::{WallClock, wall_clock};
pub use worker_agent::{AgentCommand, WorkerAgent};
