//! CBOR encoding of the messages between routers.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::PeerError;

/// Reads one value that fills `body`.
///
/// # Errors
///
/// [`PeerError::Malformed`] when `body` is not exactly one value of the type.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PeerError> {
    let mut rest = body;
    let value = ciborium::from_reader(&mut rest)
        .map_err(|error| PeerError::Malformed(error.to_string()))?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(PeerError::Malformed(format!(
            "{} bytes follow the value",
            rest.len()
        )))
    }
}

/// Writes `value` as bytes.
///
/// # Errors
///
/// [`PeerError::Unencodable`] when CBOR cannot hold the value.
pub fn encode(value: &impl Serialize) -> Result<Bytes, PeerError> {
    let mut body = Vec::new();
    ciborium::into_writer(value, &mut body)
        .map_err(|error| PeerError::Unencodable(error.to_string()))?;
    Ok(body.into())
}
