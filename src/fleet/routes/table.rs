//! Route tables: a document in JSON, checked whole against a member's own settings, with a hash over a canonical form.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// The longest document, and the longest canonical form, in bytes.
pub const MAX_BYTES: usize = 65_536;
/// Pools, addresses of one pool, and routes at most.
pub const MAX_ENTRIES: usize = 256;
/// Arms of one experiment at most.
pub const MAX_ARMS: usize = 8;
/// The highest weight.
pub const MAX_WEIGHT: u32 = 1000;
/// The longest time of a call, in milliseconds.
pub const MAX_TIMEOUT_MS: u32 = 60_000;
/// Tries of a call at most.
pub const MAX_TRIES: u32 = 10;
/// Bytes of a name that the record keeps of why a table was refused.
pub const MAX_RECORDED_NAME: usize = 256;
/// What the shares of an experiment add up to.
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

/// What is wrong with a table.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum TableError {
    #[error("no table in JSON, line {line}, column {column}")]
    #[diagnostic(help("docs/routes.md shows a table; unknown and missing fields are refused too"))]
    Json { line: usize, column: usize },
    #[error("{bytes} bytes, over {MAX_BYTES}")]
    #[diagnostic(help("shorten names, or name fewer pools"))]
    Long { bytes: usize },
    #[error("{what}: {count}, over {most}")]
    #[diagnostic(help("lower the number to the bound named"))]
    Many { what: String, count: u64, most: u64 },
    #[error("{what}: is 0")]
    #[diagnostic(help("give a number of at least 1; leave out what is not to be used"))]
    Zero { what: String },
    #[error("pool {pool}: no address")]
    #[diagnostic(help("name an address, or take the pool out of the table"))]
    EmptyPool { pool: String },
    #[error("pool {pool}: {address} twice")]
    #[diagnostic(help("name it once, with the sum of the weights"))]
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
    #[error("class {class}: arm {arm} twice")]
    #[diagnostic(help("give each arm a name of its own"))]
    ArmTwice { class: String, arm: String },
    #[error("{bytes} bytes once all is written out, over {MAX_BYTES}")]
    #[diagnostic(help(
        "shorten names, or name fewer pools: a `without` that is left out counts as written"
    ))]
    Canonical { bytes: usize },
}

impl TableError {
    fn texts(&mut self) -> Vec<&mut String> {
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

    /// The same with names of at most [`MAX_RECORDED_NAME`] bytes and a sign that there was more: the record keeps hundreds of them.
    pub fn truncated(mut self) -> Self {
        for text in self.texts().into_iter().filter(|text| text.len() > MAX_RECORDED_NAME) {
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
    /// Where.
    pub address: SocketAddr,
    /// Its part of the calls, from 1 to [`MAX_WEIGHT`].
    pub weight: u32,
}

/// One arm of an experiment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    /// Its name.
    pub name: String,
    /// Where its calls go.
    pub pool: String,
    /// Its part of the subjects, in thousandths.
    pub share: u32,
}

/// How the calls of one class, and where set one tenant, are made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Of which class.
    pub class: String,
    /// Of which tenant; every one that has no route of its own if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// Where the calls go.
    pub pool: String,
    /// How long a call may take, in milliseconds.
    pub timeout_ms: u32,
    /// How often it is tried.
    pub tries: u32,
    /// A request may be answered without the call.
    #[serde(default)]
    pub without: bool,
    /// During an experiment: the arms.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub arms: Vec<Arm>,
}

/// A table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// The pools, by name.
    pub pools: BTreeMap<String, Vec<Address>>,
    /// The routes; by class and tenant in the canonical form.
    pub routes: Vec<Route>,
}

/// What a member's own settings name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownNames {
    /// The classes.
    pub classes: BTreeSet<String>,
    /// The tenants.
    pub tenants: BTreeSet<String>,
}

fn within(what: impl Fn() -> String, count: u64, most: u64) -> Result<(), TableError> {
    match count {
        0 => Err(TableError::Zero { what: what() }),
        _ if count > most => Err(TableError::Many { what: what(), count, most }),
        _ => Ok(()),
    }
}

impl Table {
    /// Reads a document and puts it into its canonical order; what it names is for [`Table::check`].
    ///
    /// # Errors
    /// [`TableError::Json`], and [`TableError::Long`] or [`TableError::Canonical`] for what is over [`MAX_BYTES`] as it
    /// came or in its canonical form: that writes out what a document may leave out, and is what members fetch.
    pub fn parse(json: &str) -> Result<Self, TableError> {
        let table = Self::parse_logged(json)?;
        match table.canonical().len() {
            bytes if bytes > MAX_BYTES => Err(TableError::Canonical { bytes }),
            _ => Ok(table),
        }
    }

    /// Reads a document of the log. It was let in once, and voters whose builds differ are to read it alike: so it is
    /// turned down for nothing that is found out later.
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

    /// The canonical form: no blanks, pools by name, routes by class and tenant.
    pub fn canonical(&self) -> String {
        // Maps with text keys and plain values can always be written.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// The hash of the canonical form.
    pub fn hash(&self) -> Hash {
        Hash(Sha256::digest(self.canonical()).into())
    }

    /// Checks the whole table against what a member knows; the first error.
    pub fn check(&self, known: &KnownNames) -> Result<(), TableError> {
        let most = MAX_ENTRIES as u64;
        within(|| "pools".into(), self.pools.len() as u64, most)?;
        within(|| "routes".into(), self.routes.len() as u64, most)?;
        for (pool, addresses) in &self.pools {
            if addresses.is_empty() {
                return Err(TableError::EmptyPool { pool: pool.clone() });
            }
            within(|| format!("addresses of pool {pool}"), addresses.len() as u64, most)?;
            let mut seen = BTreeSet::new();
            for a in addresses {
                within(|| format!("weight of {}", a.address), a.weight.into(), MAX_WEIGHT.into())?;
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
        within(|| format!("timeout_ms of class {}", r.class), r.timeout_ms.into(), MAX_TIMEOUT_MS.into())?;
        within(|| format!("tries of class {}", r.class), r.tries.into(), MAX_TRIES.into())?;
        let pools = r.arms.iter().map(|a| &a.pool).chain([&r.pool]);
        if let Some(pool) = pools.into_iter().find(|p| !self.pools.contains_key(*p)) {
            return Err(TableError::UnknownPool { pool: pool.clone() });
        }
        if r.arms.is_empty() {
            return Ok(());
        }
        within(|| format!("arms of class {}", r.class), r.arms.len() as u64, MAX_ARMS as u64)?;
        let mut seen = BTreeSet::new();
        if let Some(arm) = r.arms.iter().find(|a| !seen.insert(&a.name)) {
            return Err(TableError::ArmTwice { class: r.class.clone(), arm: arm.name.clone() });
        }
        match r.arms.iter().fold(0u32, |sum, a| sum.saturating_add(a.share)) {
            SHARES => Ok(()),
            sum => Err(TableError::Shares { class: r.class.clone(), sum }),
        }
    }

    /// The route of a class and tenant: the tenant's own, else the class's.
    pub fn route(&self, class: &str, tenant: Option<&str>) -> Option<&Route> {
        let of = |t: Option<&str>| self.routes.iter().find(|r| r.class == class && r.tenant.as_deref() == t);
        of(tenant).or_else(|| of(None))
    }
}
