//! What an ACME authority answers (RFC 8555), as functions over text.

use std::collections::HashMap;
use std::time::Duration;

use tinyjson::JsonValue;

use super::error::AcmeError;
use crate::json;

/// The longest wait that an authority is believed.
const MOST_WAIT: Duration = Duration::from_secs(86_400);

/// A JSON object of the authority.
#[derive(Clone, Debug)]
pub struct Object(HashMap<String, JsonValue>);

/// Where the authority takes what (RFC 8555, section 7.1.1).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directory {
    /// Gives nonces.
    pub new_nonce: String,
    /// Takes accounts.
    pub new_account: String,
    /// Takes orders.
    pub new_order: String,
}

impl Directory {
    /// Reads it from its object.
    pub fn from_object(object: &Object) -> Result<Self, AcmeError> {
        let text = |key| object.text(key).map(str::to_string);
        Ok(Self {
            new_nonce: text("newNonce")?,
            new_account: text("newAccount")?,
            new_order: text("newOrder")?,
        })
    }
}

/// A challenge of the kind http-01 (RFC 8555, section 8.3).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Challenge {
    /// Names the answer that the authority will look for.
    pub token: String,
    /// Where it is told that the answer is there.
    pub url: String,
}

impl Object {
    /// Reads the body of an answer.
    pub fn parse(body: &str) -> Result<Self, AcmeError> {
        match json::parse(body)? {
            JsonValue::Object(members) => Ok(Self(members)),
            _ => Err(AcmeError::NotAnObject),
        }
    }

    /// The text under a key.
    pub fn text(&self, key: &str) -> Result<&str, AcmeError> {
        let text = self.0.get(key).and_then(|v| v.get::<String>());
        text.map(String::as_str).ok_or_else(|| AcmeError::MissingMember { member: key.into() })
    }

    fn list(&self, key: &str) -> &[JsonValue] {
        self.0.get(key).and_then(|v| v.get::<Vec<JsonValue>>()).map_or(&[], Vec::as_slice)
    }

    /// The addresses in a list.
    pub fn urls(&self, key: &str) -> Result<Vec<String>, AcmeError> {
        let url = |v: &JsonValue| v.get::<String>().cloned();
        let urls: Option<Vec<String>> = self.list(key).iter().map(url).collect();
        urls.ok_or_else(|| AcmeError::InvalidUrl { member: key.into() })
    }

    /// What went wrong, as the authority words it.
    pub fn problem(&self) -> String {
        let text = |key| self.text(key).unwrap_or_default();
        format!("{} {}", text("type"), text("detail")).trim().to_string()
    }

    /// Why an authorization or an order failed; an authorization words it in its challenges.
    pub fn failure(&self, status: &str) -> AcmeError {
        let of = |value: &JsonValue| match value {
            JsonValue::Object(members) => Some(Self(members.clone()).problem()),
            _ => None,
        };
        let of_challenge = |value: &JsonValue| match value {
            JsonValue::Object(members) => members.get("error").and_then(of),
            _ => None,
        };
        let why = self.0.get("error").and_then(of);
        let why = why.or_else(|| self.list("challenges").iter().find_map(of_challenge));
        AcmeError::Failed { status: status.into(), reason: why.unwrap_or_default() }
    }

    /// The http-01 challenge of an authorization.
    pub fn http_challenge(&self) -> Result<Challenge, AcmeError> {
        let is_http = |c: &&JsonValue| match c {
            JsonValue::Object(c) => {
                c.get("type").and_then(|t| t.get::<String>()).is_some_and(|t| t == "http-01")
            }
            _ => false,
        };
        let Some(JsonValue::Object(challenge)) = self.list("challenges").iter().find(is_http) else {
            return Err(AcmeError::NoHttpChallenge);
        };
        let challenge = Self(challenge.clone());
        let token = challenge.text("token")?;
        // It becomes a part of a path and of what is signed (RFC 8555, section 8.3: base64url only).
        if token.is_empty() || !token.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b)) {
            return Err(AcmeError::InvalidToken);
        }
        Ok(Challenge { token: token.to_string(), url: challenge.text("url")?.to_string() })
    }
}

/// Reads `Retry-After` in seconds; a date is none, and the client's own wait does.
pub fn parse_retry_after(field: &str) -> Option<Duration> {
    field.trim().parse().ok().map(|s| Duration::from_secs(s).min(MOST_WAIT))
}
