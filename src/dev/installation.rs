//! A whole site on loopback: the platform's stand-ins, operators and entry processes.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use parking_lot::Mutex;
use serde_json::Value;
use tokio::time::Instant;

use super::{DevInstance, DevOperators, DevPlatform, ReservedPort, Site, id};
use crate::admin::ADMIN_PREFIX;
use crate::prelude::*;
use crate::schema::settings::{
    ListenSettings, LogSettings, NodeSettings, PlatformSettings, Settings, TrustSettings,
};

/// Longest wait until all entry processes are members and have the bundle.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest wait for an administration call.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval at which the installation looks whether it is ready.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// A running site.
pub struct Installation {
    /// The platform's stand-ins.
    pub platform: DevPlatform,
    /// The operators.
    pub operators: DevOperators,
    /// The entry processes.
    pub entries: Vec<DevInstance>,
    started: usize,
    /// Ports of the settings that were given out; held so that no other process gets them.
    ports: Mutex<Vec<ReservedPort>>,
}

impl Installation {
    /// Starts a site with its first bundle rolled out and waits until every process is ready.
    pub async fn start(
        site: Site,
        workers: usize,
        entries: usize,
        cancel: &CancellationToken,
    ) -> Result<Self, DevError> {
        let platform = DevPlatform::start(site, workers, cancel).await?;
        let operators = DevOperators::enrol(site, platform.kv.clone()).await?;
        operators.roll_out(site.bundle().to_string()).await?;
        let mut installation = Self {
            platform,
            operators,
            entries: Vec::new(),
            started: 0,
            ports: Mutex::default(),
        };
        for _ in 0..entries {
            installation.add_entry().await?;
        }
        installation.until_ready().await?;
        Ok(installation)
    }

    /// Starts one more entry process.
    pub async fn add_entry(&mut self) -> Result<(), DevError> {
        self.started += 1;
        let settings = self.settings(self.started)?;
        self.entries.push(DevInstance::start(settings).await?);
        Ok(())
    }

    /// Returns the settings of the entry process with a number, on free ports.
    pub fn settings(&self, number: usize) -> Result<Settings, DevError> {
        let site = self.platform.site;
        let zones = site.zones();
        Ok(Settings {
            node: NodeSettings {
                vm: id(&format!("entry-{number}")),
                region: id(site.region()),
                zone: id(zones[number % zones.len()]),
                rack: id(&format!("entry-rack-{}", number % zones.len())),
            },
            listen: ListenSettings {
                callers: self.reserve_address()?,
                peers: self.reserve_address()?,
                admin: self.reserve_address()?,
            },
            platform: PlatformSettings {
                store: Address(self.platform.kv_addr),
                vms: Address(self.platform.vms_addr),
                store_timeout_ms: Millis(500),
                vms_poll_ms: Millis(500),
            },
            log: LogSettings::default(),
            trust: TrustSettings {
                site: id(&site.to_string()),
                root_keys: vec![self.operators.root_key()],
            },
        })
    }

    fn reserve_address(&self) -> Result<Address, DevError> {
        let port = ReservedPort::new()?;
        let address = Address(port.addr());
        self.ports.lock().push(port);
        Ok(address)
    }

    /// Waits until every entry process is an active member with a bundle.
    pub async fn until_ready(&self) -> Result<(), DevError> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let ready = self.entries.iter().all(|entry| {
                entry.daemon().is_active() && entry.daemon().bundle_version() > Version(0)
            });
            if ready {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(DevError::NotReady);
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Calls the administration API as an operator, of one entry process after the other until
    /// one carries it out.
    ///
    /// Calls must be idempotent: while members change, a call may be refused as not accepted.
    pub async fn call_admin(&self, path: &str, body: &Value) -> Result<Value, DevError> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let mut last = DevError::NotReady;
            for entry in &self.entries {
                let addr = &entry.settings.listen.admin;
                match self.call_entry(addr, path, body).await {
                    Ok(answer) => return Ok(answer),
                    Err(err) => last = err,
                }
            }
            if Instant::now() >= deadline {
                return Err(last);
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Calls the administration API of one entry process as an operator.
    pub async fn call_entry(
        &self,
        addr: &Address,
        path: &str,
        body: &Value,
    ) -> Result<Value, DevError> {
        let failed = |reason: String| DevError::Admin(reason);
        let client: Client<HttpConnector, Full<Bytes>> =
            Client::builder(TokioExecutor::new()).build_http();
        let req = Request::post(format!("http://{addr}{ADMIN_PREFIX}{path}"))
            .header(
                "authorization",
                format!("Bearer {}", self.operators.token()),
            )
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|err| failed(err.to_string()))?;
        let res = tokio::time::timeout(ADMIN_TIMEOUT, client.request(req))
            .await
            .map_err(|err| failed(err.to_string()))?
            .map_err(|err| failed(err.to_string()))?;
        let status = res.status();
        let body = res
            .into_body()
            .collect()
            .await
            .map_err(|err| failed(err.to_string()))?;
        let body = body.to_bytes();
        if status != StatusCode::OK {
            return Err(failed(String::from_utf8_lossy(&body).into_owned()));
        }
        serde_json::from_slice(&body).map_err(|err| failed(err.to_string()))
    }

    /// Describes how to reach the site.
    pub fn guide(&self) -> String {
        let site = self.platform.site;
        let mut lines = vec![format!(
            "site {site}: {} workers, {} entry processes",
            self.platform.workers.len(),
            self.entries.len()
        )];
        for entry in &self.entries {
            let listen = &entry.settings.listen;
            lines.push(format!(
                "{}: requests to http://{}/{}/..., administration at http://{}",
                entry.settings.node.vm,
                listen.callers,
                site.service(),
                listen.admin
            ));
        }
        lines.push(format!(
            "bearer token of operator ana: {}",
            self.operators.token()
        ));
        lines.push(format!(
            "request: curl -H 'sapphirecroft-class: {}' http://{}/{}/hello",
            site.classes()[0],
            self.entries
                .first()
                .map(|entry| entry.callers_addr().to_string())
                .unwrap_or_default(),
            site.service()
        ));
        lines.join("\n")
    }
}
