//! Two operators of a development site, so that bundles are signed off as in production.

use rand::RngCore;

use super::{Site, id};
use crate::audit::AuditTrail;
use crate::bundle::{
    ActiveBundle, BundleKeeper, BundleManager, PrivateKey, Trust, digest_of, key_id, sign_ring,
};
use crate::prelude::*;
use crate::provider::{Store, wall_clock};
use crate::records::Records;
use crate::schema::config::{
    KeyRing, OperatorKey, OperatorRecord, ProposeRequest, ReviewRequest, RingRequest, Role,
    SignOffRequest,
};

/// Roles of both operators; the rules still ask for two different people.
const ROLES: [Role; 7] = [
    Role::Propose,
    Role::Review,
    Role::SignOff,
    Role::RollOut,
    Role::Keys,
    Role::Audit,
    Role::Operate,
];

/// Operators with keys that live as long as the process.
pub struct DevOperators {
    site: SiteId,
    root: PrivateKey,
    signer: PrivateKey,
    token: String,
    manager: BundleManager,
}

impl DevOperators {
    /// Generates keys and writes the first key ring to the store.
    pub async fn enrol(site: Site, store: Arc<dyn Store>) -> Result<Self, BundleError> {
        let site_id: SiteId = id(&site.to_string());
        let root = PrivateKey::from_seed(random_seed());
        let trust = Trust {
            site: site_id.clone(),
            roots: vec![root.public()],
        };
        let member: MemberId = id("operator");
        let records = Arc::new(Records::new(store, member));
        let audit = Arc::new(AuditTrail::new(records.clone(), wall_clock()));
        let keeper = Arc::new(BundleKeeper::new(
            trust.clone(),
            Arc::new(ActiveBundle::default()),
        ));
        let operators = Self {
            site: site_id,
            root,
            signer: PrivateKey::from_seed(random_seed()),
            token: hex::encode(random_seed()),
            manager: BundleManager::new(records, trust, audit, keeper, wall_clock()),
        };
        operators.write_ring().await?;
        Ok(operators)
    }

    /// Returns the public root key, for settings of processes.
    pub fn root_key(&self) -> PublicKey {
        self.root.public()
    }

    /// Returns the bearer token of the proposer.
    pub fn token(&self) -> &str {
        &self.token
    }

    /// Proposes, reviews, signs off and rolls out a bundle; returns its version.
    pub async fn roll_out(&self, text: String) -> Result<Version, BundleError> {
        let (proposer, signer): (OperatorId, OperatorId) = (id("ana"), id("binh"));
        let req = ProposeRequest { text, base: None };
        let proposal = self.manager.propose(&proposer, req).await?.proposal;
        let review = ReviewRequest {
            digest: proposal.digest,
            approve: true,
            note: String::new(),
        };
        self.manager.review(&signer, &proposal.id, review).await?;
        let message = proposal.subject(&self.site).message();
        let sign_off = SignOffRequest {
            key: self.signer.id(),
            signature: self.signer.sign(&message),
        };
        self.manager
            .sign_off(&signer, &proposal.id, sign_off)
            .await?;
        let release = self.manager.roll_out(&proposer, &proposal.id).await?;
        Ok(release.version)
    }

    async fn write_ring(&self) -> Result<(), BundleError> {
        let ring = KeyRing {
            site: self.site.clone(),
            serial: 1,
            operators: vec![self.operator("ana", false), self.operator("binh", true)],
        };
        let req = RingRequest {
            ring: sign_ring(&ring, &self.root)?,
            change: "first key ring of a development site".to_string(),
        };
        self.manager.change_ring(None, req).await.map(|_| ())
    }

    fn operator(&self, name: &str, signs: bool) -> OperatorRecord {
        let public = self.signer.public();
        let key = OperatorKey {
            id: key_id(&public),
            public,
            from: Version(1),
            until: None,
        };
        OperatorRecord {
            name: id(name),
            roles: ROLES.to_vec(),
            teams: Vec::new(),
            all_teams: true,
            keys: signs.then_some(key).into_iter().collect(),
            token: (!signs).then(|| digest_of(self.token.as_bytes())),
        }
    }
}

fn random_seed() -> [u8; 32] {
    let mut seed = [0; 32];
    rand::rng().fill_bytes(&mut seed);
    seed
}
