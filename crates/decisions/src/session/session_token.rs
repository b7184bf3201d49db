//! Session tokens: everything a router needs to honour a session, under an HMAC.

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use uuid::Uuid;

use crate::names::{VersionName, WorkspaceName};
use crate::time::UnixMillis;

/// Longest token accepted, in bytes.
const TOKEN_LIMIT: usize = 4_096;

value_type! {
    /// Contents of a token.
    pub struct SessionToken {
        /// Identifier of the session.
        pub id: Uuid,
        /// Workspace that the session belongs to.
        pub workspace: WorkspaceName,
        /// Model or cascade that the session was started on.
        pub target: String,
        /// Version of each stage, in stage order; at least one.
        pub pins: Vec<VersionName>,
        /// When the session started.
        pub started: UnixMillis,
    }
}

/// One signing key.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SigningKey {
    /// Name of the key; part of each token, so that keys can be rotated.
    pub id: String,
    /// Secret of the key.
    pub secret: String,
}

impl std::fmt::Debug for SigningKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "SigningKey({})", self.id)
    }
}

/// Keys of the fleet; the first signs, all verify.
#[derive(Debug, Clone)]
pub struct SessionKeys {
    keys: Vec<SigningKey>,
}

/// Why a token is not honoured.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SessionError {
    /// The token cannot be read.
    #[error("the session token cannot be read; send it exactly as the earlier answer gave it")]
    Malformed,
    /// The key that signed it is unknown or was rotated out.
    #[error("the session token was signed with the unknown key {0:?}; start a new session")]
    UnknownKey(String),
    /// The signature does not fit the contents.
    #[error("the session token was altered; send it exactly as the earlier answer gave it")]
    BadSignature,
    /// The token belongs to another workspace.
    #[error("the session token belongs to another workspace; start a new session")]
    ForeignWorkspace,
}

impl SessionKeys {
    /// Keys in order of preference; `None` when the list is empty.
    pub fn new(keys: Vec<SigningKey>) -> Option<Self> {
        (!keys.is_empty()).then_some(Self { keys })
    }

    /// Signs `token` with the preferred key: `KEY.PAYLOAD.SIGNATURE`, payload and signature in hexadecimal.
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

    /// Verifies `text` and that it belongs to `workspace`.
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
