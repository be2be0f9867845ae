//! Digests, key pairs and signatures for bundles and key rings.

use ed25519_dalek::{Signer, SigningKey, VerifyingKey};
use sha2::{Digest as _, Sha256};

use crate::prelude::*;

/// Number of hexadecimal digits of a key id.
const KEY_ID_DIGITS: usize = 16;

/// The data that a sign-off signs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SignOffSubject {
    /// Site that the bundle is for.
    pub site: SiteId,
    /// Version that the bundle would become.
    pub version: Version,
    /// Digest of the bundle's text.
    pub digest: Digest,
    /// Operator who proposed the bundle.
    pub proposer: OperatorId,
}

impl SignOffSubject {
    /// Returns the bytes to sign. The fields are separated by line ends, which identifiers cannot
    /// contain, so the encoding is unambiguous.
    pub fn message(&self) -> Vec<u8> {
        let Self {
            site,
            version,
            digest,
            proposer,
        } = self;
        format!("sapphirecroft sign-off 1\n{site}\n{version}\n{digest}\n{proposer}\n").into_bytes()
    }
}

/// A private Ed25519 key, whose bytes appear in no message and no log.
pub struct PrivateKey(SigningKey);

impl PrivateKey {
    /// Derives the key from a seed.
    pub fn from_seed(seed: [u8; 32]) -> Self {
        Self(SigningKey::from_bytes(&seed))
    }

    /// Returns the public key.
    pub fn public(&self) -> PublicKey {
        PublicKey(self.0.verifying_key().to_bytes())
    }

    /// Returns the id of the public key.
    pub fn id(&self) -> KeyId {
        key_id(&self.public())
    }

    /// Signs a message.
    pub fn sign(&self, message: &[u8]) -> Signature {
        Signature(self.0.sign(message).to_bytes())
    }
}

impl std::fmt::Debug for PrivateKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "PrivateKey({})", self.id())
    }
}

/// Returns the id of a public key, which is the start of its digest.
pub fn key_id(public: &PublicKey) -> KeyId {
    let digits = digest_of(&public.0).to_string();
    digits
        .get(..KEY_ID_DIGITS)
        .and_then(|digits| digits.parse().ok())
        .unwrap_or_default()
}

/// Returns the SHA-256 digest of `bytes`.
pub fn digest_of(bytes: &[u8]) -> Digest {
    Digest(Sha256::digest(bytes).into())
}

/// Returns whether a signature over `message` was made with the key.
pub fn verify(public: &PublicKey, message: &[u8], signature: &Signature) -> bool {
    let signature = ed25519_dalek::Signature::from_bytes(&signature.0);
    // The strict check rejects weak keys, for which one signature verifies for many messages.
    VerifyingKey::from_bytes(&public.0)
        .is_ok_and(|key| key.verify_strict(message, &signature).is_ok())
}
