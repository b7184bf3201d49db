//! Session tokens: the complete state of a session, signed with an HMAC, so that routers store
//! nothing.

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use uuid::Uuid;

use crate::names::{VersionName, WorkspaceName};
use crate::time::UnixMillis;

/// Maximum length of an accepted token, in bytes.
const TOKEN_LIMIT: usize = 4_096;

value_type! {
    /// Contents of a session token.
    pub struct SessionToken {
        /// Identifier of the session.
        pub id: Uuid,
        /// Workspace that the session belongs to.
        pub workspace: WorkspaceName,
        /// Model or cascade that the session was started on.
        pub target: String,
        /// Version that each stage is pinned to, in stage order; at least one.
        pub pins: Vec<VersionName>,
        /// Start time of the session.
        pub started: UnixMillis,
    }
}

/// Key that signs session tokens; its debug output omits the secret.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SigningKey {
    /// Name of the key, contained in each token so that keys can be rotated.
    pub id: String,
    /// Secret that the HMAC is computed with.
    pub secret: String,
}

impl std::fmt::Debug for SigningKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "SigningKey({})", self.id)
    }
}

/// Keys of the fleet; the first one signs, all of them verify.
#[derive(Debug, Clone)]
pub struct SessionKeys {
    keys: Vec<SigningKey>,
}

/// Reason why a token is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// The token cannot be decoded.
    #[error("the session token cannot be read; send it exactly as the earlier answer gave it")]
    Malformed,
    /// The key that signed the token is unknown or was removed by rotation.
    #[error("the session token was signed with the unknown key {0:?}; start a new session")]
    UnknownKey(String),
    /// The signature does not match the contents.
    #[error("the session token was altered; send it exactly as the earlier answer gave it")]
    BadSignature,
    /// The token belongs to another workspace.
    #[error("the session token belongs to another workspace; start a new session")]
    ForeignWorkspace,
}

impl SessionKeys {
    /// Creates the key set from `keys`, the signing key first; `None` when the list is empty.
    pub fn new(keys: Vec<SigningKey>) -> Option<Self> {
        (!keys.is_empty()).then_some(Self { keys })
    }

    /// Signs `token` with the first key. The result is `KEY.PAYLOAD.SIGNATURE`, with payload and
    /// signature in hexadecimal.
    pub fn sign(&self, token: &SessionToken) -> String {
        let key = &self.keys[0];
        let payload = serde_json::to_vec(token).expect("a token has only plain fields");
        let signature = mac_of(key, &payload).finalize().into_bytes();
        format!(
            "{}.{}.{}",
            key.id,
            hex::encode(payload),
            hex::encode(signature)
        )
    }

    /// Decodes the token `text` and verifies its signature and that it belongs to `workspace`.
    ///
    /// # Errors
    ///
    /// Fails when the token is malformed, signed with an unknown key, altered, or of another
    /// workspace.
    pub fn verify(
        &self,
        text: &str,
        workspace: &WorkspaceName,
    ) -> Result<SessionToken, SessionError> {
        if text.len() > TOKEN_LIMIT {
            return Err(SessionError::Malformed);
        }
        let mut parts = text.rsplitn(3, '.');
        let signature = parts.next().and_then(|part| hex::decode(part).ok());
        let payload = parts.next().and_then(|part| hex::decode(part).ok());
        let (Some(signature), Some(payload), Some(id)) = (signature, payload, parts.next()) else {
            return Err(SessionError::Malformed);
        };
        let key = self
            .keys
            .iter()
            .find(|key| key.id == id)
            .ok_or_else(|| SessionError::UnknownKey(id.to_owned()))?;
        mac_of(key, &payload)
            .verify_slice(&signature)
            .map_err(|_| SessionError::BadSignature)?;
        let token: SessionToken =
            serde_json::from_slice(&payload).map_err(|_| SessionError::Malformed)?;
        if token.workspace != *workspace {
            return Err(SessionError::ForeignWorkspace);
        }
        Ok(token)
    }
}

fn mac_of(key: &SigningKey, payload: &[u8]) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.secret.as_bytes()).expect("any key length is accepted");
    mac.update(key.id.as_bytes());
    mac.update(payload);
    mac
}
