//! Handshake of a link: both ends identify themselves and prove that they know the fleet's secret.
//!
//! The dialling end sends a hello with a fresh nonce; the accepting end answers with its own hello
//! and a proof over both; the dialling end then sends its proof. A proof is an HMAC-SHA256 over the
//! role of its sender and both hellos, so it cannot be replayed on another link or reflected.

use bytes::Bytes;
use ferry_decisions::names::{HostName, Incarnation, ZoneName};
use futures::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use tokio_tungstenite::tungstenite::Message;
use uuid::Uuid;

use super::{PeerError, PeerSettings, PeerSocket, decode, encode};

/// Version of the frame format and the handshake.
pub const PROTOCOL_VERSION: u32 = 1;

/// Identity of a router process, as exchanged in the handshake.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerIdentity {
    /// Name of the host.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// First message of each end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct PeerHello {
    protocol: u32,
    identity: PeerIdentity,
    /// Fresh random number of the sender.
    nonce: Uuid,
}

/// The accepting end's answer to a hello.
#[derive(Debug, Serialize, Deserialize)]
struct PeerWelcome {
    hello: PeerHello,
    proof: Bytes,
}

/// Last message of the handshake, from the dialling end.
#[derive(Debug, Serialize, Deserialize)]
struct PeerProof {
    proof: Bytes,
}

/// Role of the sender of a proof.
#[derive(Debug, Clone, Copy, Serialize)]
enum ProofRole {
    Dialling,
    Accepting,
}

/// Both hellos of one handshake.
#[derive(Debug, Serialize)]
struct HelloPair<'a> {
    dialling: &'a PeerHello,
    accepting: &'a PeerHello,
}

impl PeerIdentity {
    /// The identity of this process.
    pub fn of(settings: &PeerSettings) -> Self {
        Self {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            incarnation: settings.incarnation,
        }
    }
}

impl PeerHello {
    fn of(settings: &PeerSettings) -> Self {
        Self {
            protocol: PROTOCOL_VERSION,
            identity: PeerIdentity::of(settings),
            nonce: Uuid::new_v4(),
        }
    }

    fn check_version(&self) -> Result<(), PeerError> {
        if self.protocol == PROTOCOL_VERSION {
            return Ok(());
        }
        Err(PeerError::ProtocolVersion {
            ours: PROTOCOL_VERSION,
            theirs: self.protocol,
        })
    }
}

impl HelloPair<'_> {
    fn mac(&self, secret: &str, role: ProofRole) -> Result<Hmac<Sha256>, PeerError> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("any key length is accepted");
        mac.update(&encode(&(role, self))?);
        Ok(mac)
    }

    fn prove(&self, secret: &str, role: ProofRole) -> Result<Bytes, PeerError> {
        let mac = self.mac(secret, role)?;
        Ok(Bytes::copy_from_slice(&mac.finalize().into_bytes()))
    }

    fn check(&self, secret: &str, role: ProofRole, proof: &[u8]) -> Result<(), PeerError> {
        self.mac(secret, role)?
            .verify_slice(proof)
            .map_err(|_| PeerError::Unauthenticated)
    }
}

/// Runs the handshake as dialling end; `expected` is the host that was dialled.
pub async fn dial_handshake(
    socket: &mut PeerSocket,
    settings: &PeerSettings,
    expected: &HostName,
) -> Result<PeerIdentity, PeerError> {
    let ours = PeerHello::of(settings);
    send(socket, &ours).await?;
    let welcome: PeerWelcome = receive(socket).await?;
    welcome.hello.check_version()?;
    let pair = HelloPair {
        dialling: &ours,
        accepting: &welcome.hello,
    };
    pair.check(&settings.secret, ProofRole::Accepting, &welcome.proof)?;
    if welcome.hello.identity.host != *expected {
        return Err(PeerError::WrongHost {
            expected: expected.clone(),
            found: welcome.hello.identity.host,
        });
    }
    let proof = pair.prove(&settings.secret, ProofRole::Dialling)?;
    send(socket, &PeerProof { proof }).await?;
    Ok(welcome.hello.identity)
}

/// Runs the handshake as accepting end.
pub async fn accept_handshake(
    socket: &mut PeerSocket,
    settings: &PeerSettings,
) -> Result<PeerIdentity, PeerError> {
    let theirs: PeerHello = receive(socket).await?;
    let ours = PeerHello::of(settings);
    let pair = HelloPair {
        dialling: &theirs,
        accepting: &ours,
    };
    let welcome = PeerWelcome {
        proof: pair.prove(&settings.secret, ProofRole::Accepting)?,
        hello: ours.clone(),
    };
    send(socket, &welcome).await?;
    theirs.check_version()?;
    let answer: PeerProof = receive(socket).await?;
    pair.check(&settings.secret, ProofRole::Dialling, &answer.proof)?;
    Ok(theirs.identity)
}

async fn send(socket: &mut PeerSocket, value: &impl Serialize) -> Result<(), PeerError> {
    let message = Message::Binary(encode(value)?);
    socket
        .send(message)
        .await
        .map_err(|error| PeerError::Handshake(error.to_string()))
}

async fn receive<T: DeserializeOwned>(socket: &mut PeerSocket) -> Result<T, PeerError> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => decode(&bytes),
        Some(Ok(Message::Close(_))) | None => {
            Err(PeerError::Handshake("the other end closed".to_owned()))
        }
        Some(Ok(_)) => Err(PeerError::Malformed(
            "received a message that is not binary".to_owned(),
        )),
        Some(Err(error)) => Err(PeerError::Handshake(error.to_string())),
    }
}
