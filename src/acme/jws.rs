//! The account's key and what it signs: JWS with ES256, as RFC 8555 wants it.

use base64::engine::general_purpose::URL_SAFE_NO_PAD as BASE64URL;
use base64::Engine;
use ring::digest::{digest, SHA256};
use ring::rand::SystemRandom;
use ring::signature::{EcdsaKeyPair, KeyPair, ECDSA_P256_SHA256_FIXED_SIGNING};

use super::error::AcmeError;

/// The key of an account.
pub(super) struct AccountKey {
    pair: EcdsaKeyPair,
    random: SystemRandom,
}

/// Base64 as JOSE uses it.
pub(super) fn encode(bytes: impl AsRef<[u8]>) -> String {
    BASE64URL.encode(bytes)
}

impl AccountKey {
    /// A new key in PKCS #8.
    pub(super) fn generate() -> Result<Vec<u8>, AcmeError> {
        let pkcs8 = EcdsaKeyPair::generate_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, &SystemRandom::new());
        pkcs8.map(|doc| doc.as_ref().to_vec()).map_err(|_| AcmeError::KeyGeneration)
    }

    pub(super) fn from_pkcs8(pkcs8: &[u8]) -> Result<Self, AcmeError> {
        let random = SystemRandom::new();
        let pair = EcdsaKeyPair::from_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, pkcs8, &random);
        let unusable = |e: ring::error::KeyRejected| AcmeError::InvalidAccountKey { reason: e.to_string() };
        Ok(Self { pair: pair.map_err(unusable)?, random })
    }

    /// The public key as a JWK, its members in the order that a thumbprint needs.
    pub(super) fn jwk(&self) -> String {
        // An uncompressed point: a byte that says so, and the two coordinates.
        let point = self.pair.public_key().as_ref();
        let (x, y) = (encode(&point[1..33]), encode(&point[33..65]));
        format!(r#"{{"crv":"P-256","kty":"EC","x":"{x}","y":"{y}"}}"#)
    }

    /// What a challenge wants to see: its token and the key's thumbprint.
    pub(super) fn authorization(&self, token: &str) -> String {
        format!("{token}.{}", encode(digest(&SHA256, self.jwk().as_bytes())))
    }

    /// A signed request; an empty payload asks for the resource itself. `identity` is a member of the
    /// protected head: `"jwk":…` or `"kid":…`.
    pub(super) fn sign(
        &self,
        identity: &str,
        nonce: &str,
        url: &str,
        payload: &str,
    ) -> Result<String, AcmeError> {
        let head = format!(r#"{{"alg":"ES256",{identity},"nonce":{},"url":{}}}"#, quote(nonce), quote(url));
        let (head, payload) = (encode(head), encode(payload));
        let signed = self.pair.sign(&self.random, format!("{head}.{payload}").as_bytes());
        let signature = encode(signed.map_err(|_| AcmeError::Signing)?);
        Ok(format!(r#"{{"protected":"{head}","payload":"{payload}","signature":"{signature}"}}"#))
    }
}

/// Text as JSON.
pub(super) fn quote(text: &str) -> String {
    tinyjson::JsonValue::String(text.to_string()).stringify().unwrap_or_default()
}
