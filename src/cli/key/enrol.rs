//! `sapphirecroft key enrol`.

use bpaf::{Parser, construct, long, positional};

use super::ring::{RingChange, describe, ring_change};
use crate::bundle::key_id;
use crate::cli::{CliError, Output};
use crate::prelude::*;
use crate::schema::config::{OperatorKey, OperatorRecord, Role};

/// An operator with roles and teams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Enrol {
    ring: RingChange,
    public: Option<PublicKey>,
    token_digest: Option<Digest>,
    roles: Vec<Role>,
    teams: Vec<TeamId>,
    all_teams: bool,
    operator: OperatorId,
}

pub(super) fn enrol() -> impl Parser<Enrol> {
    let ring = ring_change();
    let public = long("public")
        .help("Public key of a new operator who signs off, as printed by generate")
        .argument::<PublicKey>("PUBLIC")
        .optional();
    let token_digest = long("token-digest")
        .help("Digest of a new operator's token, as printed by generate")
        .argument::<Digest>("SHA256")
        .optional();
    let roles = long("role")
        .help("propose, review, sign_off, roll_out, keys, audit or operate; may be repeated")
        .argument::<Role>("ROLE")
        .many();
    let teams = long("team")
        .help("Team whose settings and jobs the operator may change; may be repeated")
        .argument::<TeamId>("TEAM")
        .many();
    let all_teams = long("all-teams")
        .help("Let the operator change every team's and all shared settings")
        .switch();
    let operator = positional::<OperatorId>("OPERATOR").help("Name of the operator");
    construct!(Enrol {
        ring,
        public,
        token_digest,
        roles,
        teams,
        all_teams,
        operator
    })
    .to_options()
    .descr("Add an operator, or give a known one new roles and teams; keys and token then stay")
    .command("enrol")
    .help("Add an operator or change roles and teams")
}

impl Enrol {
    pub(super) async fn run(self) -> Result<Output, CliError> {
        let change = format!("enrol {}", self.operator);
        let Self {
            ring,
            public,
            token_digest,
            roles,
            teams,
            all_teams,
            operator,
        } = self;
        let view = ring
            .apply(change, |ring, version| {
                let from = Version(version.get() + 1);
                let key = public.map(|public| OperatorKey {
                    id: key_id(&public),
                    public,
                    from,
                    until: None,
                });
                let known = ring.operator(&operator).is_some();
                if known && (key.is_some() || token_digest.is_some()) {
                    return Err(BundleError::Refused(format!(
                        "{operator} is enrolled; use rotate for a new key or token"
                    )));
                }
                let record = OperatorRecord {
                    name: operator,
                    roles,
                    teams,
                    all_teams,
                    keys: key.into_iter().collect(),
                    token: token_digest,
                };
                ring.put_operator(record, version);
                Ok(())
            })
            .await?;
        Output::data(ring.api.json, &view, describe)
    }
}
