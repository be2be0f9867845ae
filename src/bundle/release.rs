//! Verification of releases, which are signed bundle versions, and of the record in force.

use super::{SignOffSubject, Trust, digest_of, parse_bundle, verify};
use crate::prelude::*;
use crate::schema::bundle::Bundle;
use crate::schema::config::{CurrentRecord, KeyRing, Release, Role};

impl Release {
    /// Returns the data that the sign-off must sign.
    pub fn subject(&self) -> SignOffSubject {
        SignOffSubject {
            site: self.site.clone(),
            version: self.version,
            digest: self.digest,
            proposer: self.proposer.clone(),
        }
    }

    /// Verifies the digest, the sign-off against a key ring, and the text, and returns the parsed
    /// bundle.
    pub fn verify(&self, ring: &KeyRing) -> Result<Bundle, BundleError> {
        if self.site != ring.site {
            return Err(untrusted(format!("bundle is for site {}", self.site)));
        }
        if digest_of(self.text.as_bytes()) != self.digest {
            return Err(untrusted("text does not match its digest"));
        }
        check_sign_off(&self.subject(), &self.sign_off, ring).map_err(untrusted)?;
        let bundle = parse_bundle(&self.text).map_err(BundleError::Invalid)?;
        if bundle.bundle.site != self.site {
            return Err(untrusted(format!(
                "text is for site {}",
                bundle.bundle.site
            )));
        }
        Ok(bundle)
    }
}

/// Checks that a sign-off is by an operator other than the proposer, with a key that is valid for
/// the version and a correct signature.
pub(super) fn check_sign_off(
    subject: &SignOffSubject,
    sign_off: &crate::schema::config::SignOff,
    ring: &KeyRing,
) -> Result<(), String> {
    let signer = &sign_off.signer;
    if *signer == subject.proposer {
        return Err(format!("{signer} proposed it and cannot sign it off"));
    }
    let key = ring
        .operator(signer)
        .and_then(|operator| operator.key_for(&sign_off.key, subject.version))
        .ok_or_else(|| {
            format!(
                "key {} of {signer} is not valid for version {}",
                sign_off.key, subject.version
            )
        })?;
    if !verify(&key.public, &subject.message(), &sign_off.signature) {
        return Err(format!(
            "signature of {signer} does not fit version {} with digest {}",
            subject.version, subject.digest
        ));
    }
    Ok(())
}

/// Checks that an operator has the sign-off role.
pub(super) fn check_signer_role(signer: &OperatorId, ring: &KeyRing) -> Result<(), BundleError> {
    let may = ring
        .operator(signer)
        .is_some_and(|operator| operator.may(Role::SignOff));
    if may {
        return Ok(());
    }
    Err(BundleError::Forbidden(format!(
        "{signer} may not sign bundles off"
    )))
}

impl CurrentRecord {
    /// Verifies the key ring and the release and returns the ring and the bundle; a record without
    /// a release has no bundle.
    pub fn verify(&self, trust: &Trust) -> Result<(KeyRing, Option<Bundle>), BundleError> {
        let ring = trust.verify_ring(&self.ring)?;
        let version = self
            .release
            .as_ref()
            .map_or(Version(0), |release| release.version);
        if version != self.version {
            return Err(untrusted(format!(
                "record says version {}, its release says {version}",
                self.version
            )));
        }
        let bundle = self
            .release
            .as_ref()
            .map(|release| release.verify(&ring))
            .transpose()?;
        Ok((ring, bundle))
    }

    /// Describes the change that conflicts with an operator's own, who has read version `seen`.
    pub fn change_since(&self, seen: Version) -> OtherChange {
        match &self.release {
            Some(release) if self.version > seen => OtherChange {
                who: release.rolled_out_by.clone(),
                what: format!("roll-out of version {}", release.version),
                at: release.rolled_out_at,
                version: self.version,
            },
            _ => OtherChange {
                who: self.ring_changed_by.clone(),
                what: "change of the key ring".to_string(),
                at: self.ring_changed_at,
                version: self.version,
            },
        }
    }
}

fn untrusted(message: impl Into<String>) -> BundleError {
    BundleError::Untrusted(message.into())
}
