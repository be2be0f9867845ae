//! Small stand-ins of the platform's services for development and tests.

mod agent_host;
mod endpoint;
mod faults;
mod kv;
mod kv_server;
mod vms;
mod worker;
mod worker_server;

pub use agent_host::AgentHost;
pub use endpoint::{Endpoint, EndpointLog};
pub use faults::{EndpointFaults, StoreFaults, WorkerFaults};
pub use kv::Kv;
pub use kv_server::KvServer;
pub use vms::VmServer;
pub use worker::{Checkpoints, Worker, WorkerEvent};
pub use worker_server::WorkerServer;
