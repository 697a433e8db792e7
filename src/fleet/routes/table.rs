//! Route tables: [`Table`] is read from a JSON document, validated against a member's own settings, and identified by a
//! hash over its canonical form.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// The longest document, and the longest canonical form, in bytes.
pub const MAX_BYTES: usize = 65_536;
/// The highest number of pools, of addresses of one pool, and of routes.
pub const MAX_ENTRIES: usize = 256;
/// The highest number of arms of one experiment.
pub const MAX_ARMS: usize = 8;
/// The highest weight.
pub const MAX_WEIGHT: u32 = 1000;
/// The longest timeout of a call, in milliseconds.
pub const MAX_TIMEOUT_MS: u32 = 60_000;
/// The highest number of tries of a call.
pub const MAX_TRIES: u32 = 10;
/// The longest part of a name, in bytes, that the record keeps of a table's refusal.
pub const MAX_RECORDED_NAME: usize = 256;
/// The sum of the shares of an experiment.
pub const SHARES: u32 = 1000;

/// SHA-256 of a table's canonical form.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Hash([u8; 32]);

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..8].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Why a table is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum TableError {
    #[error("invalid JSON document of a table, line {line}, column {column}")]
    #[diagnostic(help("docs/routes.md shows a table; unknown and missing fields are errors too"))]
    Json { line: usize, column: usize },
    #[error("the document has {bytes} bytes, over the limit of {MAX_BYTES}")]
    #[diagnostic(help("shorten names, or use fewer pools"))]
    Long { bytes: usize },
    #[error("{what}: {count}, over the limit of {most}")]
    #[diagnostic(help("lower the number to the limit"))]
    Many { what: String, count: u64, most: u64 },
    #[error("{what}: is 0")]
    #[diagnostic(help("give a number of at least 1, or remove what is not used"))]
    Zero { what: String },
    #[error("pool {pool}: no address")]
    #[diagnostic(help("add an address, or remove the pool from the table"))]
    EmptyPool { pool: String },
    #[error("pool {pool}: duplicate address {address}")]
    #[diagnostic(help("list it once, with the sum of the weights"))]
    AddressTwice { pool: String, address: SocketAddr },
    #[error("pool {pool} is not in the table")]
    #[diagnostic(help("add it to `pools`, or correct its name in the route"))]
    UnknownPool { pool: String },
    #[error("class {class} is not in this member's settings")]
    #[diagnostic(help("correct the name, or add the class to the settings of every member first"))]
    UnknownClass { class: String },
    #[error("tenant {tenant} is not in this member's settings")]
    #[diagnostic(help("correct the name, or add the tenant to the settings of every member first"))]
    UnknownTenant { tenant: String },
    #[error("class {class} has no route")]
    #[diagnostic(help("add a route for the class without a tenant"))]
    MissingClass { class: String },
    #[error("two routes for class {class}, tenant {tenant:?}")]
    #[diagnostic(help("keep one of them"))]
    RouteTwice { class: String, tenant: Option<String> },
    #[error("class {class}: the shares add up to {sum}, not {SHARES}")]
    #[diagnostic(help("shares are in thousandths: correct them so that they add up to 1000"))]
    Shares { class: String, sum: u32 },
    #[error("class {class}: duplicate arm {arm}")]
    #[diagnostic(help("give each arm a unique name"))]
    ArmTwice { class: String, arm: String },
    #[error("the canonical form has {bytes} bytes, over the limit of {MAX_BYTES}")]
    #[diagnostic(help(
        "shorten names, or use fewer pools: the canonical form contains each `without`, also an omitted one"
    ))]
    Canonical { bytes: usize },
}

impl TableError {
    fn names_mut(&mut self) -> Vec<&mut String> {
        match self {
            Self::Json { .. } | Self::Long { .. } | Self::Canonical { .. } => Vec::new(),
            Self::Many { what, .. } | Self::Zero { what } => vec![what],
            Self::EmptyPool { pool } | Self::AddressTwice { pool, .. } | Self::UnknownPool { pool } => {
                vec![pool]
            }
            Self::UnknownTenant { tenant } => vec![tenant],
            Self::UnknownClass { class } | Self::MissingClass { class } | Self::Shares { class, .. } => {
                vec![class]
            }
            Self::RouteTwice { class, tenant } => [class].into_iter().chain(tenant).collect(),
            Self::ArmTwice { class, arm } => vec![class, arm],
        }
    }

    /// Returns the same error with each name truncated to [`MAX_RECORDED_NAME`] bytes and an ellipsis, because the
    /// record keeps hundreds of errors.
    pub fn truncated(mut self) -> Self {
        for text in self.names_mut().into_iter().filter(|text| text.len() > MAX_RECORDED_NAME) {
            let end = (0..=MAX_RECORDED_NAME).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
            text.truncate(end);
            text.push('…');
        }
        self
    }
}

/// One address of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Address {
    /// The address of a service.
    pub address: SocketAddr,
    /// The weight by which it gets a part of the pool's calls, from 1 to [`MAX_WEIGHT`].
    pub weight: u32,
}

/// One arm of an experiment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    /// Its name.
    pub name: String,
    /// The pool that its calls go to.
    pub pool: String,
    /// Its share of the subjects, in thousandths.
    pub share: u32,
}

/// How the calls of one class, and optionally of one tenant only, are made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The class.
    pub class: String,
    /// The tenant; if omitted, the route applies to each tenant without a route of its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// The pool that the calls go to.
    pub pool: String,
    /// The timeout of a call, in milliseconds.
    pub timeout_ms: u32,
    /// The number of tries of a call.
    pub tries: u32,
    /// Whether a request may be answered without the call.
    #[serde(default)]
    pub without: bool,
    /// The arms, during an experiment.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub arms: Vec<Arm>,
}

/// A route table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// The pools, by name.
    pub pools: BTreeMap<String, Vec<Address>>,
    /// The routes; the canonical form sorts them by class and tenant.
    pub routes: Vec<Route>,
}

/// The names of classes and tenants in a member's own settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownNames {
    /// The classes.
    pub classes: BTreeSet<String>,
    /// The tenants.
    pub tenants: BTreeSet<String>,
}

fn check_limit(what: impl Fn() -> String, count: u64, most: u64) -> Result<(), TableError> {
    match count {
        0 => Err(TableError::Zero { what: what() }),
        _ if count > most => Err(TableError::Many { what: what(), count, most }),
        _ => Ok(()),
    }
}

impl Table {
    /// Parses a document and sorts its routes into the canonical order. The names in it are checked by
    /// [`Table::check`].
    ///
    /// # Errors
    /// [`TableError::Json`], and [`TableError::Long`] or [`TableError::Canonical`] if the document or its canonical
    /// form is longer than [`MAX_BYTES`]. The canonical form is what members fetch; it contains fields that a document
    /// may omit.
    pub fn parse(json: &str) -> Result<Self, TableError> {
        let table = Self::parse_logged(json)?;
        match table.canonical().len() {
            bytes if bytes > MAX_BYTES => Err(TableError::Canonical { bytes }),
            _ => Ok(table),
        }
    }

    /// Parses a document of the log. It was accepted once, and voters of different versions have to read it in the same
    /// way, so only checks that have always been made are made here.
    ///
    /// # Errors
    /// [`TableError::Json`] and [`TableError::Long`].
    pub fn parse_logged(json: &str) -> Result<Self, TableError> {
        if json.len() > MAX_BYTES {
            return Err(TableError::Long { bytes: json.len() });
        }
        let json = serde_json::from_str(json);
        let mut table: Self = json.map_err(|e| TableError::Json { line: e.line(), column: e.column() })?;
        table.routes.sort_by(|a, b| (&a.class, &a.tenant).cmp(&(&b.class, &b.tenant)));
        Ok(table)
    }

    /// Returns the canonical form: without whitespace, pools sorted by name, routes by class and tenant.
    pub fn canonical(&self) -> String {
        // Serialization of maps with string keys and plain values cannot fail.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the hash of the canonical form.
    pub fn hash(&self) -> Hash {
        Hash(Sha256::digest(self.canonical()).into())
    }

    /// Validates the whole table against a member's settings, and returns the first error.
    pub fn check(&self, known: &KnownNames) -> Result<(), TableError> {
        let most = MAX_ENTRIES as u64;
        check_limit(|| "pools".into(), self.pools.len() as u64, most)?;
        check_limit(|| "routes".into(), self.routes.len() as u64, most)?;
        for (pool, addresses) in &self.pools {
            if addresses.is_empty() {
                return Err(TableError::EmptyPool { pool: pool.clone() });
            }
            check_limit(|| format!("addresses of pool {pool}"), addresses.len() as u64, most)?;
            let mut seen = BTreeSet::new();
            for a in addresses {
                check_limit(|| format!("weight of {}", a.address), a.weight.into(), MAX_WEIGHT.into())?;
                if !seen.insert(a.address) {
                    return Err(TableError::AddressTwice { pool: pool.clone(), address: a.address });
                }
            }
        }
        let mut seen = BTreeSet::new();
        for r in &self.routes {
            self.check_route(r, known)?;
            if !seen.insert((&r.class, &r.tenant)) {
                return Err(TableError::RouteTwice { class: r.class.clone(), tenant: r.tenant.clone() });
            }
        }
        match known.classes.iter().find(|c| !seen.contains(&(*c, &None))) {
            Some(class) => Err(TableError::MissingClass { class: class.clone() }),
            None => Ok(()),
        }
    }

    fn check_route(&self, r: &Route, known: &KnownNames) -> Result<(), TableError> {
        if !known.classes.contains(&r.class) {
            return Err(TableError::UnknownClass { class: r.class.clone() });
        }
        if let Some(tenant) = r.tenant.as_ref().filter(|t| !known.tenants.contains(*t)) {
            return Err(TableError::UnknownTenant { tenant: tenant.clone() });
        }
        check_limit(
            || format!("timeout_ms of class {}", r.class),
            r.timeout_ms.into(),
            MAX_TIMEOUT_MS.into(),
        )?;
        check_limit(|| format!("tries of class {}", r.class), r.tries.into(), MAX_TRIES.into())?;
        let pools = r.arms.iter().map(|a| &a.pool).chain([&r.pool]);
        if let Some(pool) = pools.into_iter().find(|p| !self.pools.contains_key(*p)) {
            return Err(TableError::UnknownPool { pool: pool.clone() });
        }
        if r.arms.is_empty() {
            return Ok(());
        }
        check_limit(|| format!("arms of class {}", r.class), r.arms.len() as u64, MAX_ARMS as u64)?;
        let mut seen = BTreeSet::new();
        if let Some(arm) = r.arms.iter().find(|a| !seen.insert(&a.name)) {
            return Err(TableError::ArmTwice { class: r.class.clone(), arm: arm.name.clone() });
        }
        match r.arms.iter().fold(0u32, |sum, a| sum.saturating_add(a.share)) {
            SHARES => Ok(()),
            sum => Err(TableError::Shares { class: r.class.clone(), sum }),
        }
    }

    /// Returns the route of a class and tenant: the tenant's own, otherwise the class's.
    pub fn route(&self, class: &str, tenant: Option<&str>) -> Option<&Route> {
        let of = |t: Option<&str>| self.routes.iter().find(|r| r.class == class && r.tenant.as_deref() == t);
        of(tenant).or_else(|| of(None))
    }
}
