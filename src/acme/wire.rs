//! Parses the answers of an ACME authority (RFC 8555).
//!
//! An [`Object`] is the JSON body of an answer; [`Directory`] and [`Challenge`] are read from one.

use std::collections::HashMap;
use std::time::Duration;

use tinyjson::JsonValue;

use super::error::AcmeError;
use crate::json;

/// A longer `Retry-After` is reduced to this time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(86_400);

/// A JSON object that the authority sent.
#[derive(Clone, Debug)]
pub struct Object(HashMap<String, JsonValue>);

/// The URLs of the authority's resources (RFC 8555, section 7.1.1).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directory {
    /// Returns nonces.
    pub new_nonce: String,
    /// Creates accounts.
    pub new_account: String,
    /// Creates orders.
    pub new_order: String,
}

impl Directory {
    /// Reads the directory's members.
    pub fn from_object(object: &Object) -> Result<Self, AcmeError> {
        let text = |key| object.text(key).map(str::to_string);
        Ok(Self {
            new_nonce: text("newNonce")?,
            new_account: text("newAccount")?,
            new_order: text("newOrder")?,
        })
    }
}

/// An http-01 challenge (RFC 8555, section 8.3).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Challenge {
    /// The last part of the path that the authority requests.
    pub token: String,
    /// Where the authority is notified that the path can be requested.
    pub url: String,
}

impl Object {
    /// Parses the body of an answer.
    pub fn parse(body: &str) -> Result<Self, AcmeError> {
        match json::parse(body)? {
            JsonValue::Object(members) => Ok(Self(members)),
            _ => Err(AcmeError::NotAnObject),
        }
    }

    /// The string member with this key.
    pub fn text(&self, key: &str) -> Result<&str, AcmeError> {
        let text = self.0.get(key).and_then(|v| v.get::<String>());
        text.map(String::as_str).ok_or_else(|| AcmeError::MissingMember { member: key.into() })
    }

    fn list(&self, key: &str) -> &[JsonValue] {
        self.0.get(key).and_then(|v| v.get::<Vec<JsonValue>>()).map_or(&[], Vec::as_slice)
    }

    /// The URLs in a list member.
    pub fn urls(&self, key: &str) -> Result<Vec<String>, AcmeError> {
        let url = |v: &JsonValue| v.get::<String>().cloned();
        let urls: Option<Vec<String>> = self.list(key).iter().map(url).collect();
        urls.ok_or_else(|| AcmeError::InvalidUrl { member: key.into() })
    }

    /// The type and detail of the authority's problem document (RFC 7807).
    pub fn problem(&self) -> String {
        let text = |key| self.text(key).unwrap_or_default();
        format!("{} {}", text("type"), text("detail")).trim().to_string()
    }

    /// The error of a failed order or authorization; an authorization has its problem document in a challenge.
    pub fn failure(&self, status: &str) -> AcmeError {
        let problem_of = |value: &JsonValue| match value {
            JsonValue::Object(members) => Some(Self(members.clone()).problem()),
            _ => None,
        };
        let challenge_problem = |value: &JsonValue| match value {
            JsonValue::Object(members) => members.get("error").and_then(problem_of),
            _ => None,
        };
        let reason = self.0.get("error").and_then(problem_of);
        let reason = reason.or_else(|| self.list("challenges").iter().find_map(challenge_problem));
        AcmeError::Failed { status: status.into(), reason: reason.unwrap_or_default() }
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
        // The token becomes a part of a path and of the key authorization (RFC 8555, section 8.3: base64url only).
        if token.is_empty() || !token.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b)) {
            return Err(AcmeError::InvalidToken);
        }
        Ok(Challenge { token: token.to_string(), url: challenge.text("url")?.to_string() })
    }
}

/// Parses a `Retry-After` field in seconds. A date gives `None`, and the client uses its own wait.
pub fn parse_retry_after(field: &str) -> Option<Duration> {
    field.trim().parse().ok().map(|s| Duration::from_secs(s).min(MAX_RETRY_AFTER))
}
