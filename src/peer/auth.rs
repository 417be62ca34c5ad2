//! Mutual authentication: both ends of a connection prove that they know the shared secret.
//!
//! Each end proves it by a keyed hash over fresh nonces of both ends, so a recorded proof cannot be
//! replayed. The traffic that follows is neither encrypted nor signed: this keeps strangers out,
//! but not an attacker who can modify packets in transit.

use hmac::Hmac;
use hmac::Mac;
use rand::RngExt;
use sha2::Sha256;
use subtle::ConstantTimeEq;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::errors::Code;
use crate::errors::CodedError;

/// First bytes of the connecting end: protocol name and version of the messages.
const MAGIC: [u8; 4] = *b"sw\0\x01";
const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;

type Nonce = [u8; NONCE_BYTES];
type Proof = [u8; PROOF_BYTES];

fn fresh_nonce() -> Nonce {
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill(&mut nonce);
    nonce
}

/// HMAC-SHA256 over the role of the proving end and both nonces.
fn proof(secret: &str, role: &str, first: &Nonce, second: &Nonce) -> Proof {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("HMAC accepts keys of any length");
    mac.update(role.as_bytes());
    mac.update(first);
    mac.update(second);
    mac.finalize().into_bytes().into()
}

/// A `PeerUnauthenticated` error.
fn auth_error(why: impl std::fmt::Display) -> CodedError {
    CodedError::new(Code::PeerUnauthenticated, why.to_string())
}

/// Compares proofs in constant time.
fn verify(expected: &Proof, given: &Proof) -> Result<(), CodedError> {
    if bool::from(expected.ct_eq(given)) { Ok(()) } else { Err(auth_error("wrong secret")) }
}

/// Authenticates a connection at its accepting end.
///
/// # Errors
/// `PeerUnauthenticated`; the caller then closes the connection without sending another byte.
pub async fn accept(stream: &mut TcpStream, secret: &str) -> Result<(), CodedError> {
    let own = fresh_nonce();
    stream.write_all(&own).await.map_err(auth_error)?;
    let mut magic = [0; MAGIC.len()];
    stream.read_exact(&mut magic).await.map_err(auth_error)?;
    if magic != MAGIC {
        return Err(auth_error("unknown protocol or version"));
    }
    let mut theirs = [0; NONCE_BYTES];
    stream.read_exact(&mut theirs).await.map_err(auth_error)?;
    let mut given = [0; PROOF_BYTES];
    stream.read_exact(&mut given).await.map_err(auth_error)?;
    verify(&proof(secret, "connect", &own, &theirs), &given)?;
    stream.write_all(&proof(secret, "accept", &theirs, &own)).await.map_err(auth_error)
}

/// Authenticates a connection at its connecting end.
///
/// # Errors
/// `PeerUnauthenticated` when either end does not know the secret.
pub async fn connect(stream: &mut TcpStream, secret: &str) -> Result<(), CodedError> {
    let mut theirs = [0; NONCE_BYTES];
    stream.read_exact(&mut theirs).await.map_err(auth_error)?;
    let own = fresh_nonce();
    let mut hello = Vec::with_capacity(MAGIC.len() + NONCE_BYTES + PROOF_BYTES);
    hello.extend_from_slice(&MAGIC);
    hello.extend_from_slice(&own);
    hello.extend_from_slice(&proof(secret, "connect", &theirs, &own));
    stream.write_all(&hello).await.map_err(auth_error)?;
    let mut given = [0; PROOF_BYTES];
    stream.read_exact(&mut given).await.map_err(auth_error)?;
    verify(&proof(secret, "accept", &own, &theirs), &given)
}
