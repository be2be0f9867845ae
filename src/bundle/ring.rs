//! The key ring: the operators with their roles, teams and keys, signed by a root key.

use std::collections::BTreeSet;

use subtle::ConstantTimeEq;

use super::{PrivateKey, key_id, verify};
use crate::prelude::*;
use crate::schema::config::{KeyRing, OperatorKey, OperatorRecord, Role, SignedRing};

/// Domain separation prefix of the bytes that a root key signs.
const RING_DOMAIN: &[u8] = b"sapphirecroft key-ring 1\n";

/// Maximum number of operators in a key ring.
const MAX_OPERATORS: usize = 500;

/// Maximum length of a key ring's text. One stored record of at most 1 MB contains the ring and the
/// bundle.
const MAX_RING_BYTES: usize = 256 << 10;

/// Trust anchor: the site and the root keys from the settings of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trust {
    /// Site whose bundles are accepted.
    pub site: SiteId,
    /// Public root keys that may sign the key ring.
    pub roots: Vec<PublicKey>,
}

impl Trust {
    /// Verifies the signature, site and content of a signed key ring and returns the ring.
    pub fn verify_ring(&self, signed: &SignedRing) -> Result<KeyRing, BundleError> {
        if signed.text.len() > MAX_RING_BYTES {
            return Err(untrusted("key ring is too long"));
        }
        let trusted = self.roots.iter().any(|root| {
            key_id(root) == signed.root && verify(root, &message(&signed.text), &signed.signature)
        });
        if !trusted {
            return Err(untrusted("key ring has no valid signature of a root key"));
        }
        let ring: KeyRing = serde_json::from_str(&signed.text)
            .map_err(|err| untrusted(format!("key ring cannot be read: {err}")))?;
        if ring.site != self.site {
            return Err(untrusted(format!(
                "key ring is for site {}, this is {}",
                ring.site, self.site
            )));
        }
        ring.check()?;
        Ok(ring)
    }
}

/// Signs a key ring with a root key.
pub fn sign_ring(ring: &KeyRing, root: &PrivateKey) -> Result<SignedRing, BundleError> {
    let text =
        serde_json::to_string_pretty(ring).map_err(|err| BundleError::BadInput(err.to_string()))?;
    Ok(SignedRing {
        signature: root.sign(&message(&text)),
        root: root.id(),
        text,
    })
}

impl KeyRing {
    /// Returns the operator with this name.
    pub fn operator(&self, name: &OperatorId) -> Option<&OperatorRecord> {
        self.operators.iter().find(|found| found.name == *name)
    }

    /// Returns the operator whose token has this digest.
    ///
    /// Compares every digest in constant time, so that the duration reveals nothing about them.
    pub fn find_by_token(&self, token: &Digest) -> Option<&OperatorRecord> {
        let mut found = None;
        for operator in &self.operators {
            if let Some(known) = &operator.token
                && bool::from(known.0.ct_eq(&token.0))
            {
                found = Some(operator);
            }
        }
        found
    }

    /// Checks that names, tokens and keys are unique, so that nobody can sign under two names.
    pub fn check(&self) -> Result<(), BundleError> {
        if self.operators.len() > MAX_OPERATORS {
            return Err(untrusted(format!(
                "key ring has more than {MAX_OPERATORS} operators"
            )));
        }
        let mut names = BTreeSet::new();
        let mut keys = BTreeSet::new();
        let mut tokens = BTreeSet::new();
        for operator in &self.operators {
            if !names.insert(&operator.name) {
                return Err(untrusted(format!(
                    "operator {} is listed twice",
                    operator.name
                )));
            }
            if operator
                .token
                .as_ref()
                .is_some_and(|token| !tokens.insert(token))
            {
                return Err(untrusted(format!(
                    "operator {} shares a token with another",
                    operator.name
                )));
            }
            for key in &operator.keys {
                if key.until.is_none() && !operator.may(Role::SignOff) {
                    return Err(untrusted(format!(
                        "operator {} has a key but may not sign off",
                        operator.name
                    )));
                }
                if key.id != key_id(&key.public) || !keys.insert(&key.public) {
                    return Err(untrusted(format!(
                        "key {} is misnamed or listed twice",
                        key.id
                    )));
                }
            }
        }
        Ok(())
    }

    /// Checks that `next` is a valid successor of this ring while `version` is in force.
    ///
    /// The version range of a key may only be closed, and never below the version in force.
    /// Otherwise a process that starts later would reject a bundle that others run.
    pub fn check_successor(&self, next: &Self, version: Version) -> Result<(), BundleError> {
        if next.serial != self.serial.saturating_add(1) {
            return Err(refused(format!(
                "key ring has serial {}, expected {}",
                next.serial,
                self.serial.saturating_add(1)
            )));
        }
        let before: Vec<_> = self.operators.iter().flat_map(keys_of).collect();
        let after: Vec<_> = next.operators.iter().flat_map(keys_of).collect();
        for (owner, key) in &before {
            let found = after
                .iter()
                .find(|(name, other)| name == owner && other.public == key.public);
            let Some((_, kept)) = found else {
                if key.until.is_some_and(|until| until < version) {
                    continue;
                }
                return Err(refused(format!(
                    "key {} of {owner} is still needed; end it instead",
                    key.id
                )));
            };
            let closed_now = key.until.is_none() && kept.until.is_none_or(|until| until >= version);
            if kept.from != key.from || !(kept.until == key.until || closed_now) {
                return Err(refused(format!(
                    "key {} of {owner} changes in the past",
                    key.id
                )));
            }
        }
        for (owner, key) in &after {
            let known = before.iter().any(|(_, other)| other.public == key.public);
            if !known && key.from <= version {
                return Err(refused(format!(
                    "new key {} of {owner} must start after version {version}",
                    key.id
                )));
            }
        }
        Ok(())
    }

    /// Adds an operator, or replaces the roles and teams of an existing one, who keeps keys and
    /// token.
    ///
    /// The keys of an operator who may no longer sign off end after `version`.
    pub fn put_operator(&mut self, next: OperatorRecord, version: Version) {
        self.serial = self.serial.saturating_add(1);
        let Some(known) = self.operators.iter_mut().find(|op| op.name == next.name) else {
            self.operators.push(next);
            return;
        };
        known.roles = next.roles;
        known.teams = next.teams;
        known.all_teams = next.all_teams;
        if !known.may(Role::SignOff) {
            end_keys(known, None, version);
        }
    }

    /// Ends all keys of an operator after `version` and adds a new one that is valid from the next
    /// version. Replaces the token if one is given.
    pub fn rotate(
        &mut self,
        name: &OperatorId,
        public: PublicKey,
        token: Option<Digest>,
        version: Version,
    ) -> Result<(), BundleError> {
        self.serial = self.serial.saturating_add(1);
        let operator = self.operator_mut(name)?;
        end_keys(operator, None, version);
        operator.keys.push(OperatorKey {
            id: key_id(&public),
            public,
            from: Version(version.get().saturating_add(1)),
            until: None,
        });
        if token.is_some() {
            operator.token = token;
        }
        Ok(())
    }

    /// Ends one key after `version`; if `key` is `None`, ends all keys and removes the token.
    pub fn revoke(
        &mut self,
        name: &OperatorId,
        key: Option<&KeyId>,
        version: Version,
    ) -> Result<(), BundleError> {
        self.serial = self.serial.saturating_add(1);
        let operator = self.operator_mut(name)?;
        if let Some(id) = key
            && !operator.keys.iter().any(|key| key.id == *id)
        {
            return Err(BundleError::NotFound(format!("key {id} of {name}")));
        }
        end_keys(operator, key, version);
        if key.is_none() {
            operator.token = None;
        }
        Ok(())
    }

    fn operator_mut(&mut self, name: &OperatorId) -> Result<&mut OperatorRecord, BundleError> {
        self.operators
            .iter_mut()
            .find(|op| op.name == *name)
            .ok_or_else(|| BundleError::NotFound(format!("operator {name}")))
    }
}

impl OperatorRecord {
    /// Returns whether the operator has a role.
    pub fn may(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }

    /// Returns whether the operator may change the settings and jobs of a team.
    pub fn may_change(&self, team: &TeamId) -> bool {
        self.all_teams || self.teams.contains(team)
    }

    /// Returns the key with this id if it is valid for signing off `version`.
    pub fn key_for(&self, id: &KeyId, version: Version) -> Option<&OperatorKey> {
        self.keys.iter().find(|key| {
            key.id == *id && key.from <= version && key.until.is_none_or(|until| version <= until)
        })
    }
}

fn keys_of(operator: &OperatorRecord) -> impl Iterator<Item = (&OperatorId, &OperatorKey)> {
    operator.keys.iter().map(|key| (&operator.name, key))
}

fn end_keys(operator: &mut OperatorRecord, id: Option<&KeyId>, version: Version) {
    for key in &mut operator.keys {
        if key.until.is_none() && id.is_none_or(|id| key.id == *id) {
            key.until = Some(version);
        }
    }
}

fn message(text: &str) -> Vec<u8> {
    [RING_DOMAIN, text.as_bytes()].concat()
}

fn untrusted(message: impl Into<String>) -> BundleError {
    BundleError::Untrusted(message.into())
}

fn refused(message: impl Into<String>) -> BundleError {
    BundleError::Refused(message.into())
}
