//! The deployment's key, which authenticates peers and operators.

use std::fmt;
use std::sync::Arc;

use hmac::{Hmac, Mac};
use ids::BoxId;
use sha2::Sha256;

/// Minimum length of a key, in bytes.
const MIN_KEY_LEN: usize = 16;

/// The key is too short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the deployment key has {0} bytes: use at least {MIN_KEY_LEN}, the same on every box")]
pub struct KeyError(usize);

/// Secret shared by the boxes and operators of one deployment. `Debug` does not reveal it.
#[derive(Clone, PartialEq, Eq)]
pub struct DeploymentKey(Arc<[u8]>);

impl fmt::Debug for DeploymentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DeploymentKey(hidden)")
    }
}

impl DeploymentKey {
    /// Creates a key of at least 16 bytes. Surrounding white space is trimmed.
    pub fn new(text: &str) -> Result<Self, KeyError> {
        let bytes = text.trim().as_bytes();
        if bytes.len() < MIN_KEY_LEN {
            return Err(KeyError(bytes.len()));
        }
        Ok(Self(Arc::from(bytes)))
    }

    /// Returns the MAC that authenticates `box_id` in response to the challenge `nonce`.
    pub fn sign_challenge(&self, nonce: &[u8], box_id: &BoxId) -> Vec<u8> {
        self.mac(nonce, box_id).finalize().into_bytes().to_vec()
    }

    /// Verifies the response to a challenge in constant time.
    pub fn verify(&self, nonce: &[u8], box_id: &BoxId, mac: &[u8]) -> bool {
        self.mac(nonce, box_id).verify_slice(mac).is_ok()
    }

    /// Compares with a key sent in plain text, as operators do. Takes the same time for every wrong
    /// key of valid length.
    pub fn matches(&self, candidate: &str) -> bool {
        let nonce = b"operator";
        let Ok(other) = Self::new(candidate) else {
            return false;
        };
        let mac = other.hmac(nonce).finalize().into_bytes();
        self.hmac(nonce).verify_slice(&mac).is_ok()
    }

    fn hmac(&self, message: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes a key of any length");
        mac.update(message);
        mac
    }

    fn mac(&self, nonce: &[u8], box_id: &BoxId) -> Hmac<Sha256> {
        let mut mac = self.hmac(nonce);
        mac.update(box_id.as_str().as_bytes());
        mac
    }
}
