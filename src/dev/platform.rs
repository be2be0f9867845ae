//! The platform's stand-ins for one site.

use std::io;
use std::net::SocketAddr;

use tokio::time::Instant;

use super::{Site, id};
use crate::prelude::*;
use crate::schema::vm::{VmRecord, VmRole, VmState};
use crate::standin::{AgentHost, Checkpoints, Endpoint, KvServer, VmServer, WorkerServer};
use crate::web::Server;

/// Age of the VM list's answers.
const VM_LIST_LAG: Millis = Millis(500);

/// Worker threads of each stand-in server.
const SERVER_THREADS: usize = 1;

/// A worker VM: its agent and the service endpoint beside it.
pub struct DevWorker {
    /// Name of the VM.
    pub vm: VmId,
    /// The worker agent.
    pub agent: Arc<WorkerServer>,
    /// The service endpoint.
    pub endpoint: Arc<Endpoint>,
}

/// Key-value service, VM list, worker agents and endpoints of a site.
pub struct DevPlatform {
    /// The site.
    pub site: Site,
    /// The key-value service.
    pub kv: Arc<KvServer>,
    /// The VM list.
    pub vms: Arc<VmServer>,
    /// The workers.
    pub workers: Vec<DevWorker>,
    /// Address of the key-value service.
    pub kv_addr: SocketAddr,
    /// Address of the VM list.
    pub vms_addr: SocketAddr,
}

impl DevPlatform {
    /// Starts the stand-ins on loopback until `cancel` fires.
    pub async fn start(site: Site, workers: usize, cancel: &CancellationToken) -> io::Result<Self> {
        let kv = KvServer::new();
        let vms = VmServer::new(VM_LIST_LAG);
        let kv_addr = serve(kv.clone(), cancel)?;
        let vms_addr = serve(vms.clone(), cancel)?;
        let workers = start_workers(site, workers, cancel).await?;
        let host = AgentHost::new(
            workers
                .iter()
                .map(|worker| (worker.vm.clone(), worker.agent.clone())),
        );
        let agents_addr = serve(Arc::new(host), cancel)?;
        let records = workers
            .iter()
            .enumerate()
            .map(|(index, worker)| worker_record(site, index, worker, agents_addr));
        vms.seed(records.collect::<Vec<_>>());
        Ok(Self {
            site,
            kv,
            vms,
            workers,
            kv_addr,
            vms_addr,
        })
    }
}

fn serve(
    service: Arc<dyn crate::web::WebService>,
    cancel: &CancellationToken,
) -> io::Result<SocketAddr> {
    let server = Server::start("127.0.0.1:0", service, SERVER_THREADS, cancel.child_token())?;
    Ok(server.addr())
}

async fn start_workers(
    site: Site,
    count: usize,
    cancel: &CancellationToken,
) -> io::Result<Vec<DevWorker>> {
    let checkpoints = Checkpoints::default();
    let started = Instant::now();
    let mut workers = Vec::with_capacity(count);
    for index in 0..count {
        let vm = vm_id(index);
        let agent = WorkerServer::new(vm.clone(), site.capacity(), checkpoints.clone(), started);
        let endpoint = Endpoint::start("127.0.0.1:0", cancel.child_token()).await?;
        workers.push(DevWorker {
            vm,
            agent,
            endpoint,
        });
    }
    Ok(workers)
}

fn vm_id(index: usize) -> VmId {
    id(&format!("worker-{}", index + 1))
}

fn worker_record(
    site: Site,
    index: usize,
    worker: &DevWorker,
    agents_addr: SocketAddr,
) -> VmRecord {
    let (_, per_rack) = site.workers();
    let zones = site.zones();
    let rack = index / per_rack;
    VmRecord {
        vm: worker.vm.clone(),
        role: VmRole::Worker,
        state: VmState::Live,
        zone: id(zones[rack % zones.len()]),
        region: id(site.region()),
        rack: id(&format!("rack-{}", rack + 1)),
        address: worker.endpoint.addr().to_string(),
        agent: format!("{agents_addr}/{}", worker.vm),
        service: Some(id(site.service())),
        capacity: site.capacity(),
    }
}
