//! Files that hold a private key or a bearer token.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use rand::RngCore;

use super::CliError;
use crate::bundle::PrivateKey;

/// Permissions of a new file: readable by its owner only.
const MODE: u32 = 0o600;

/// Writes 32 random bytes as hexadecimal text to a new file and returns them.
pub(super) fn create_secret(path: &Path) -> Result<[u8; 32], CliError> {
    let mut secret = [0; 32];
    rand::rng().fill_bytes(&mut secret);
    OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(MODE)
        .open(path)
        .and_then(|mut file| writeln!(file, "{}", hex::encode(secret)))
        .map_err(|err| {
            CliError::bad_input(format!("{} cannot be written: {err}", path.display()))
        })?;
    Ok(secret)
}

/// Reads a private key; messages never contain the content of the file.
pub(super) fn read_key(path: &Path) -> Result<PrivateKey, CliError> {
    let text = fs::read_to_string(path).map_err(|err| {
        CliError::bad_input(format!("key file {} cannot be read: {err}", path.display()))
    })?;
    let mut seed = [0; 32];
    hex::decode_to_slice(text.trim(), &mut seed).map_err(|_| {
        CliError::bad_input(format!("key file {} holds no private key", path.display()))
    })?;
    Ok(PrivateKey::from_seed(seed))
}
