//! The deployment's key: boxes refuse peers and operators that do not show it.

use std::fmt;
use std::sync::Arc;

use hmac::{Hmac, Mac};
use ids::BoxId;
use sha2::Sha256;

/// Shortest key, in bytes.
const MIN_KEY: usize = 16;

/// Why a key was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the deployment key has {0} bytes: use at least {MIN_KEY}, the same on every box")]
pub struct KeyError(usize);

/// A secret shared by the boxes and operators of one deployment; never shown.
#[derive(Clone, PartialEq, Eq)]
pub struct DeploymentKey(Arc<[u8]>);

impl fmt::Debug for DeploymentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DeploymentKey(hidden)")
    }
}

impl DeploymentKey {
    /// A key of at least 16 bytes; white space around it is dropped.
    pub fn new(text: &str) -> Result<Self, KeyError> {
        let bytes = text.trim().as_bytes();
        if bytes.len() < MIN_KEY {
            return Err(KeyError(bytes.len()));
        }
        Ok(Self(Arc::from(bytes)))
    }

    /// Proves the key to whoever sent `nonce`.
    pub fn prove(&self, nonce: &[u8], box_id: &BoxId) -> Vec<u8> {
        self.mac(nonce, box_id).finalize().into_bytes().to_vec()
    }

    /// Checks a proof, in constant time.
    pub fn verify(&self, nonce: &[u8], box_id: &BoxId, proof: &[u8]) -> bool {
        self.mac(nonce, box_id).verify_slice(proof).is_ok()
    }

    /// Checks a key shown as it is, as operators do; takes the same time for every wrong key.
    pub fn matches(&self, shown: &str) -> bool {
        let nonce = b"operator";
        let Ok(other) = Self::new(shown) else {
            return false;
        };
        let proof = other.keyed(nonce).finalize().into_bytes();
        self.keyed(nonce).verify_slice(&proof).is_ok()
    }

    fn keyed(&self, text: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes a key of any length");
        mac.update(text);
        mac
    }

    fn mac(&self, nonce: &[u8], box_id: &BoxId) -> Hmac<Sha256> {
        let mut mac = self.keyed(nonce);
        mac.update(box_id.as_str().as_bytes());
        mac
    }
}
