//! MessagePack encoding of messages between processes.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a message with field names, so that fields can be added later.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, String> {
    rmp_serde::to_vec_named(message).map_err(|err| err.to_string())
}

/// Decodes a message.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T, String> {
    rmp_serde::from_slice(buf).map_err(|err| err.to_string())
}
