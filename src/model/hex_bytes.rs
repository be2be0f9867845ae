//! Digests, keys and signatures, written as hexadecimal text.

use super::newtype::hex_bytes;

hex_bytes!(
    /// A SHA-256 digest.
    Digest,
    32
);
hex_bytes!(
    /// An Ed25519 public key.
    PublicKey,
    32
);
hex_bytes!(
    /// An Ed25519 signature.
    Signature,
    64
);
