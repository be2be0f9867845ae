//! Digests, keys and signatures of bundles and key rings.

use ed25519_dalek::{Signer, SigningKey, VerifyingKey};
use sha2::{Digest as _, Sha256};

use crate::prelude::*;

/// Number of hexadecimal digits of a key's name.
const KEY_ID_DIGITS: usize = 16;

/// What a sign-off covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SignOffSubject {
    /// Site that the bundle is for.
    pub site: SiteId,
    /// Version that the bundle becomes.
    pub version: Version,
    /// Digest of the bundle's text.
    pub digest: Digest,
    /// Who proposed it.
    pub proposer: OperatorId,
}

impl SignOffSubject {
    /// Returns the bytes to sign; identifiers contain no line ends, so fields cannot run together.
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

/// A private key; its bytes appear in no message and no log.
pub struct PrivateKey(SigningKey);

impl PrivateKey {
    /// Builds the key from a seed.
    pub fn from_seed(seed: [u8; 32]) -> Self {
        Self(SigningKey::from_bytes(&seed))
    }

    /// Returns the public key.
    pub fn public(&self) -> PublicKey {
        PublicKey(self.0.verifying_key().to_bytes())
    }

    /// Returns the name of the key.
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

/// Names a public key by the start of its digest.
pub fn key_id(public: &PublicKey) -> KeyId {
    let digits = digest_of(&public.0).to_string();
    digits
        .get(..KEY_ID_DIGITS)
        .and_then(|digits| digits.parse().ok())
        .unwrap_or_default()
}

/// Returns the SHA-256 digest of some bytes.
pub fn digest_of(bytes: &[u8]) -> Digest {
    Digest(Sha256::digest(bytes).into())
}

/// Tells whether a signature over `message` is that of the key.
pub fn verify(public: &PublicKey, message: &[u8], signature: &Signature) -> bool {
    let signature = ed25519_dalek::Signature::from_bytes(&signature.0);
    // The strict check refuses weak keys, under which one signature fits many messages.
    VerifyingKey::from_bytes(&public.0)
        .is_ok_and(|key| key.verify_strict(message, &signature).is_ok())
}
