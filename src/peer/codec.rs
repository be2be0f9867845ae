//! Compact MessagePack encoding of messages between entry processes of the same release.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a message without field names, which would double the size of a heartbeat.
pub fn pack<T: Serialize>(message: &T) -> Result<Vec<u8>, String> {
    rmp_serde::to_vec(message).map_err(|err| err.to_string())
}

/// Decodes a message that [`pack`] has encoded.
pub fn unpack<T: DeserializeOwned>(buf: &[u8]) -> Result<T, String> {
    rmp_serde::from_slice(buf).map_err(|err| err.to_string())
}
