//! Nodes of a JSON document, and the functions that read their values.

use std::str::FromStr;
use std::time::Duration;

use tinyjson::JsonValue;

use super::error::{ConfigError, Problem};
use crate::json;

/// Keys that may be absent after a reload although they were present before.
const OPTIONAL: [&str; 2] = ["aim_stretch", "fleet"];

/// A node of a JSON document: its value, if any, and the path to it. `null` counts as absent.
pub struct Node<'a> {
    pub value: Option<&'a JsonValue>,
    pub key: String,
}

impl<'a> Node<'a> {
    pub fn root(value: &'a JsonValue) -> Self {
        Self { value: Some(value), key: String::new() }
    }

    pub fn error<T>(&self, problem: Problem) -> Result<T, ConfigError> {
        let key = if self.key.is_empty() { "(document)" } else { &self.key };
        Err(ConfigError::new(key, problem))
    }

    /// The member under `key`; absent where this node is.
    pub fn get(&self, key: &str) -> Result<Node<'a>, ConfigError> {
        let path = if self.key.is_empty() { key.to_string() } else { format!("{}.{key}", self.key) };
        let value = match self.value {
            None => None,
            Some(JsonValue::Object(members)) => members.get(key).filter(|v| !v.is_null()),
            Some(_) => return self.error(Problem::NotAnObject),
        };
        Ok(Node { value, key: path })
    }

    pub fn items(&self) -> Result<Vec<Node<'a>>, ConfigError> {
        match self.value {
            None => Ok(Vec::new()),
            Some(JsonValue::Array(items)) => Ok(items
                .iter()
                .enumerate()
                .map(|(at, v)| Node { value: Some(v), key: format!("{}[{at}]", self.key) })
                .collect()),
            Some(_) => self.error(Problem::NotAList),
        }
    }

    /// Checks that this node has all keys of an older document. Each item of a list must have those of the first
    /// old item.
    pub fn check_keys_of(&self, old: &JsonValue) -> Result<(), ConfigError> {
        match old {
            JsonValue::Object(members) => {
                for (key, old) in members.iter().filter(|(key, _)| !OPTIONAL.contains(&key.as_str())) {
                    let node = self.get(key)?;
                    if node.value.is_none() && !old.is_null() {
                        return node.error(Problem::Dropped);
                    }
                    node.check_keys_of(old)?;
                }
            }
            JsonValue::Array(items) => {
                for (item, old) in self.items()?.iter().zip(std::iter::repeat(items.first())) {
                    old.map_or(Ok(()), |old| item.check_keys_of(old))?;
                }
            }
            _ => {}
        }
        Ok(())
    }

    pub fn required<T>(
        self,
        read: impl Fn(&Self, &JsonValue) -> Result<T, ConfigError>,
    ) -> Result<T, ConfigError> {
        match self.value {
            Some(v) => read(&self, v),
            None => self.error(Problem::Missing),
        }
    }

    pub fn optional<T>(
        self,
        default: T,
        read: impl Fn(&Self, &JsonValue) -> Result<T, ConfigError>,
    ) -> Result<T, ConfigError> {
        self.value.map_or(Ok(default), |v| read(&self, v))
    }
}

/// A number that is not negative.
pub fn number(node: &Node, value: &JsonValue) -> Result<f64, ConfigError> {
    match value {
        JsonValue::Number(x) if x.is_finite() && *x >= 0.0 => Ok(*x),
        JsonValue::Number(_) => node.error(Problem::Negative),
        _ => node.error(Problem::NotANumber),
    }
}

/// An amount of memory in kilobytes. More than a petabyte is a mistake, and would overflow sums of such amounts.
pub fn kilobytes(node: &Node, value: &JsonValue) -> Result<f64, ConfigError> {
    match number(node, value)? {
        kb if kb <= 1e12 => Ok(kb),
        _ => node.error(Problem::TooMuchMemory),
    }
}

pub fn integer(node: &Node, value: &JsonValue) -> Result<u32, ConfigError> {
    let x = number(node, value)?;
    if x.fract() != 0.0 || x > f64::from(u32::MAX) {
        return node.error(Problem::NotAnInteger);
    }
    Ok(x as u32)
}

/// A time in microseconds.
pub fn micros(node: &Node, value: &JsonValue) -> Result<Duration, ConfigError> {
    // No setting is longer than a day: more is a mistake, and would overflow sums of times.
    match number(node, value)? {
        x if x <= 86_400e6 => Ok(Duration::from_micros(x as u64)),
        _ => node.error(Problem::TooLong),
    }
}

pub fn boolean(node: &Node, value: &JsonValue) -> Result<bool, ConfigError> {
    match value {
        JsonValue::Boolean(b) => Ok(*b),
        _ => node.error(Problem::NotABoolean),
    }
}

pub fn string(node: &Node, value: &JsonValue) -> Result<String, ConfigError> {
    match value {
        JsonValue::String(s) => Ok(s.clone()),
        _ => node.error(Problem::NotAString),
    }
}

pub fn parsed<T: FromStr>(node: &Node, value: &JsonValue) -> Result<T, ConfigError> {
    let text = string(node, value)?;
    text.parse().or_else(|_| node.error(Problem::InvalidAddress(text.clone())))
}

pub fn parse_json(what: &str, json: &str) -> Result<JsonValue, ConfigError> {
    json::parse(json).map_err(|e| ConfigError::new(what, Problem::InvalidJson(e)))
}
