//! Reads the key ring, and writes it back signed by a root key.

use std::path::PathBuf;

use bpaf::{Parser, construct, long};

use crate::bundle::{PrivateKey, Trust, sign_ring};
use crate::cli::CliError;
use crate::cli::api::{Api, api};
use crate::cli::secret_file::read_key;
use crate::prelude::*;
use crate::schema::config::{KeyRing, RingRequest, RingView};

/// Options of every verb that changes the ring.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RingChange {
    pub(super) api: Api,
    root_key: PathBuf,
    trusted: Vec<PublicKey>,
}

pub(super) fn ring_change() -> impl Parser<RingChange> {
    let api = api();
    let root_key = long("root-key")
        .help("File that holds the private root key; it is not sent")
        .argument::<PathBuf>("FILE");
    let trusted = long("trusted-root")
        .help("Public key of another root key that may have signed the ring before")
        .argument::<PublicKey>("PUBLIC")
        .many();
    construct!(RingChange {
        api,
        root_key,
        trusted
    })
}

impl RingChange {
    /// Applies `edit` to the verified ring, signs the result and sends it.
    pub async fn apply(
        &self,
        change: String,
        edit: impl FnOnce(&mut KeyRing, Version) -> Result<(), BundleError>,
    ) -> Result<RingView, CliError> {
        let root = read_key(&self.root_key)?;
        let view: RingView = self.api.get("/keys").await?;
        let mut ring = self.open(&view, &root)?;
        edit(&mut ring, view.version)
            .and_then(|()| ring.check())
            .map_err(|err| CliError::refused(err.to_string()))?;
        let ring = sign_ring(&ring, &root).map_err(|err| CliError::bad_input(err.to_string()))?;
        let req = RingRequest { ring, change };
        self.api.post("/keys", &req).await
    }

    fn open(&self, view: &RingView, root: &PrivateKey) -> Result<KeyRing, CliError> {
        let Some(signed) = &view.ring else {
            return Ok(KeyRing {
                site: view.site.clone(),
                serial: 0,
                operators: Vec::new(),
            });
        };
        let mut roots = self.trusted.clone();
        roots.push(root.public());
        let trust = Trust {
            site: view.site.clone(),
            roots,
        };
        trust
            .verify_ring(signed)
            .map_err(|err| CliError::refused(err.to_string()))
    }
}

/// Describes the ring after a change.
pub(super) fn describe(view: &RingView) -> String {
    let Some(signed) = &view.ring else {
        return "there is no key ring".to_string();
    };
    let Ok(ring) = serde_json::from_str::<KeyRing>(&signed.text) else {
        return "key ring cannot be read".to_string();
    };
    let mut lines = vec![format!(
        "key ring {} of site {}, signed by root key {}",
        ring.serial, ring.site, signed.root
    )];
    for operator in &ring.operators {
        let roles: Vec<String> = operator.roles.iter().map(ToString::to_string).collect();
        let teams: Vec<&str> = operator.teams.iter().map(TeamId::as_str).collect();
        let teams = match operator.all_teams {
            true => "all".to_string(),
            false => teams.join(","),
        };
        let token = operator.token.map_or("no token", |_| "token");
        lines.push(format!(
            "{}  roles {}  teams {teams}  {token}",
            operator.name,
            roles.join(",")
        ));
        for key in &operator.keys {
            let until = key
                .until
                .map_or_else(|| "on".to_string(), |until| format!("to {until}"));
            lines.push(format!("  key {}  versions {} {until}", key.id, key.from));
        }
    }
    lines.join("\n")
}
