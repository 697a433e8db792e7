//! The account key and the signed requests: JWS with ES256, as RFC 8555 requires.

use base64::engine::general_purpose::URL_SAFE_NO_PAD as BASE64URL;
use base64::Engine;
use ring::digest::{digest, SHA256};
use ring::rand::SystemRandom;
use ring::signature::{EcdsaKeyPair, KeyPair, ECDSA_P256_SHA256_FIXED_SIGNING};

use super::error::AcmeError;

/// The private key of an ACME account.
pub(super) struct AccountKey {
    key_pair: EcdsaKeyPair,
    random: SystemRandom,
}

/// Encodes bytes in base64url without padding, as JOSE does.
pub(super) fn encode(bytes: impl AsRef<[u8]>) -> String {
    BASE64URL.encode(bytes)
}

impl AccountKey {
    /// Generates a key, in PKCS #8.
    pub(super) fn generate() -> Result<Vec<u8>, AcmeError> {
        let pkcs8 = EcdsaKeyPair::generate_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, &SystemRandom::new());
        pkcs8.map(|doc| doc.as_ref().to_vec()).map_err(|_| AcmeError::KeyGeneration)
    }

    pub(super) fn from_pkcs8(pkcs8: &[u8]) -> Result<Self, AcmeError> {
        let random = SystemRandom::new();
        let key_pair = EcdsaKeyPair::from_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, pkcs8, &random);
        let unusable = |e: ring::error::KeyRejected| AcmeError::InvalidAccountKey { reason: e.to_string() };
        Ok(Self { key_pair: key_pair.map_err(unusable)?, random })
    }

    /// The public key as a JWK, its members in the order that its thumbprint requires.
    pub(super) fn jwk(&self) -> String {
        // An uncompressed point: one byte for the format, then the two coordinates.
        let point = self.key_pair.public_key().as_ref();
        let (x, y) = (encode(&point[1..33]), encode(&point[33..65]));
        format!(r#"{{"crv":"P-256","kty":"EC","x":"{x}","y":"{y}"}}"#)
    }

    /// The key authorization of a challenge: its token and the thumbprint of the account key.
    pub(super) fn key_authorization(&self, token: &str) -> String {
        format!("{token}.{}", encode(digest(&SHA256, self.jwk().as_bytes())))
    }

    /// The body of a signed request; an empty payload requests the resource itself. `identity` is the member of the
    /// protected header that identifies the key: `"jwk":…` or `"kid":…`.
    pub(super) fn sign(
        &self,
        identity: &str,
        nonce: &str,
        url: &str,
        payload: &str,
    ) -> Result<String, AcmeError> {
        let header = format!(r#"{{"alg":"ES256",{identity},"nonce":{},"url":{}}}"#, quote(nonce), quote(url));
        let (header, payload) = (encode(header), encode(payload));
        let signature = self.key_pair.sign(&self.random, format!("{header}.{payload}").as_bytes());
        let signature = encode(signature.map_err(|_| AcmeError::Signing)?);
        Ok(format!(r#"{{"protected":"{header}","payload":"{payload}","signature":"{signature}"}}"#))
    }
}

/// Text as a JSON string with its quotation marks.
pub(super) fn quote(text: &str) -> String {
    tinyjson::JsonValue::String(text.to_string()).stringify().unwrap_or_default()
}
