//! Places in a JSON document, and the values that are read there.

use std::str::FromStr;
use std::time::Duration;

use tinyjson::JsonValue;

use super::error::{ConfigError, Problem};
use crate::json;

/// Keys that may come and go between two readings of the file.
const OPTIONAL: [&str; 2] = ["aim_stretch", "fleet"];

/// A place in a JSON document: the value there, if any, and the way to it. `null` counts as absent.
pub struct Node<'a> {
    pub value: Option<&'a JsonValue>,
    pub key: String,
}

impl<'a> Node<'a> {
    pub fn root(value: &'a JsonValue) -> Self {
        Self { value: Some(value), key: String::new() }
    }

    pub fn bad<T>(&self, problem: Problem) -> Result<T, ConfigError> {
        let key = if self.key.is_empty() { "(document)" } else { &self.key };
        Err(ConfigError::new(key, problem))
    }

    /// The value under `key`; absent where this node is.
    pub fn at(&self, key: &str) -> Result<Node<'a>, ConfigError> {
        let path = if self.key.is_empty() { key.to_string() } else { format!("{}.{key}", self.key) };
        let value = match self.value {
            None => None,
            Some(JsonValue::Object(members)) => members.get(key).filter(|v| !v.is_null()),
            Some(_) => return self.bad(Problem::NotAnObject),
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
            Some(_) => self.bad(Problem::NotAList),
        }
    }

    /// Tells which key is missing beside an older document, in lists beside their first item.
    pub fn has_all_of(&self, old: &JsonValue) -> Result<(), ConfigError> {
        match old {
            JsonValue::Object(members) => {
                for (key, old) in members.iter().filter(|(key, _)| !OPTIONAL.contains(&key.as_str())) {
                    let node = self.at(key)?;
                    if node.value.is_none() && !old.is_null() {
                        return node.bad(Problem::Dropped);
                    }
                    node.has_all_of(old)?;
                }
            }
            JsonValue::Array(items) => {
                for (item, old) in self.items()?.iter().zip(std::iter::repeat(items.first())) {
                    old.map_or(Ok(()), |old| item.has_all_of(old))?;
                }
            }
            _ => {}
        }
        Ok(())
    }

    pub fn some<T>(
        self,
        read: impl Fn(&Self, &JsonValue) -> Result<T, ConfigError>,
    ) -> Result<T, ConfigError> {
        match self.value {
            Some(v) => read(&self, v),
            None => self.bad(Problem::Missing),
        }
    }

    pub fn or<T>(
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
        JsonValue::Number(_) => node.bad(Problem::Negative),
        _ => node.bad(Problem::NotANumber),
    }
}

/// An amount of memory. More than a petabyte is a mistake, and would overflow sums of them later.
pub fn kilobytes(node: &Node, value: &JsonValue) -> Result<f64, ConfigError> {
    match number(node, value)? {
        kb if kb <= 1e12 => Ok(kb),
        _ => node.bad(Problem::TooMuchMemory),
    }
}

pub fn whole(node: &Node, value: &JsonValue) -> Result<u32, ConfigError> {
    let x = number(node, value)?;
    if x.fract() != 0.0 || x > f64::from(u32::MAX) {
        return node.bad(Problem::NotAnInteger);
    }
    Ok(x as u32)
}

/// A time in microseconds.
pub fn micros(node: &Node, value: &JsonValue) -> Result<Duration, ConfigError> {
    // Nothing here lasts for a day: more is a mistake, and would overflow sums of times later.
    match number(node, value)? {
        x if x <= 86_400e6 => Ok(Duration::from_micros(x as u64)),
        _ => node.bad(Problem::TooLong),
    }
}

pub fn flag(node: &Node, value: &JsonValue) -> Result<bool, ConfigError> {
    match value {
        JsonValue::Boolean(b) => Ok(*b),
        _ => node.bad(Problem::NotABoolean),
    }
}

pub fn text(node: &Node, value: &JsonValue) -> Result<String, ConfigError> {
    match value {
        JsonValue::String(s) => Ok(s.clone()),
        _ => node.bad(Problem::NotAString),
    }
}

pub fn parsed<T: FromStr>(node: &Node, value: &JsonValue) -> Result<T, ConfigError> {
    let text = text(node, value)?;
    text.parse().or_else(|_| node.bad(Problem::InvalidAddress(text.clone())))
}

pub fn parse_json(what: &str, json: &str) -> Result<JsonValue, ConfigError> {
    json::parse(json).map_err(|e| ConfigError::new(what, Problem::InvalidJson(e)))
}
