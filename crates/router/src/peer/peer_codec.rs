//! CBOR encoding of the messages between routers.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::PeerError;

/// Decodes one value, which must fill `body`.
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

/// Encodes `value` as CBOR.
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
