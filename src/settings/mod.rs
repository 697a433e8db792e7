//! Reads, checks and completes the configuration; no other module does.
//!
//! [`Config`] is the configuration of the program, from the platform's variables (`RELAY_*`), its JSON file and the
//! appliance's file. [`Site`] is the part of it that concerns the decision module, which the simulator passes alone.
//! Unknown keys are ignored, and a [`ConfigError`] names the key that it is about.

mod error;
mod memory;
mod node;
mod routes;
mod values;

use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

use tinyjson::JsonValue;

use crate::fleet::membership::view::MAX_NAME;
use crate::fleet::membership::MAX_SEEDS;
use crate::fleet::routes::table::KnownNames;
use crate::fleet::{driver, membership_thread};
use crate::interface::{Class, Dependency, Preemption, Repeat, Settings, Signal, Tenant};

use node::{boolean, integer, kilobytes, micros, number, parse_json, parsed, string, Node};

pub use error::{ConfigError, Problem};
pub use memory::{key_size, MemoryBudget};
pub use routes::{Routes, Voter};

/// The settings of the decision module, and the names that they have on the wire.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of its classes, in their order.
    pub class_names: Vec<String>,
    /// The names of its tenants, in their order.
    pub tenant_names: Vec<String>,
    /// The names of the gauges, in the order in which they are measured.
    pub gauges: Vec<String>,
}

impl Site {
    /// Reads the settings object that the simulator and the platform pass.
    pub fn parse(json: &str) -> Result<Self, ConfigError> {
        Self::read(&Node::root(&parse_json("options", json)?))
    }

    fn read(node: &Node) -> Result<Self, ConfigError> {
        let (specifics, rules, limits) = (node.get("specifics")?, node.get("rules")?, node.get("limits")?);
        let class_calls = specifics.get("class_calls")?.items()?;
        let worth_without = specifics.get("worth_without")?.items()?;
        let (mut classes, mut class_names) = (Vec::new(), Vec::new());
        for (index, profile) in node.get("profiles")?.items()?.into_iter().enumerate() {
            class_names.push(profile.get("name")?.optional(String::new(), string)?);
            classes.push(Class {
                target_latency: profile.get("promise_us")?.required(micros)?,
                target_stretch: profile.get("aim_stretch")?.optional(0.0, number)?,
                client_timeout: profile.get("give_up_us")?.required(micros)?,
                repeat: profile.get("repeat")?.required(|node, value| {
                    Ok(match string(node, value)?.as_str() {
                        "idempotent" => Repeat::Idempotent,
                        "deduplicated" => Repeat::Deduplicated,
                        _ => Repeat::AtMostOnce,
                    })
                })?,
                window: profile.get("memory_span_us")?.optional(Duration::ZERO, micros)?,
                worth: profile.get("worth")?.required(number)?,
                late_value: profile.get("late_value")?.optional(0.0, number)?,
                makes_calls: class_calls
                    .get(index)
                    .and_then(|n| n.value.map(|v| boolean(n, v)))
                    .unwrap_or(Ok(false))?,
                dropped: false,
                skip_worth: worth_without
                    .get(index)
                    .and_then(|n| n.value.map(|v| number(n, v)))
                    .unwrap_or(Ok(0.0))?,
            });
        }
        let (mut tenants, mut tenant_names) = (Vec::new(), Vec::new());
        for tenant in node.get("tenants")?.items()? {
            tenant_names.push(tenant.get("name")?.optional(String::new(), string)?);
            tenants.push(Tenant { quota_per_s: tenant.get("quota_per_s")?.optional(0.0, number)? });
        }
        let mut gauges = Vec::new();
        for gauge in specifics.get("meters")?.items()? {
            gauges.push(gauge.required(string)?);
        }
        let keyword = |node: Node| node.optional(String::new(), string);
        let settings = Settings {
            cores: specifics.get("cores")?.required(integer)?,
            memory_kb: specifics.get("memory_kb")?.required(kilobytes)?,
            run_factor: specifics.get("run_factor")?.required(number)?,
            key_kb: specifics.get("kb_per_key")?.optional(0.0, kilobytes)?,
            servers: node.get("servers")?.required(integer)?,
            entry: node.get("tier")?.optional(0, integer)? == 0,
            callers: specifics.get("senders")?.optional(0, integer)?,
            idle_timeout: specifics.get("idle_us")?.optional(Duration::ZERO, micros)?,
            cold: specifics.get("cold")?.optional(false, boolean)?,
            cold_speed: rules.get("cold_from")?.optional(0.0, number)?,
            warm_up_time: rules.get("cold_us")?.optional(Duration::ZERO, micros)?,
            classes,
            tenants,
            over_share_worth: node.get("over_share_worth")?.optional(1.0, number)?,
            worth_by_work: keyword(node.get("counted_by")?)? == "work",
            preemption: match keyword(specifics.get("preemption")?)?.as_str() {
                "drop" => Preemption::Drop,
                "pause" => Preemption::Pause,
                _ => Preemption::Off,
            },
            dependency: match keyword(specifics.get("below")?)?.as_str() {
                "common" => Dependency::Shared,
                "next_hop" => Dependency::Tier,
                _ => Dependency::Off,
            },
            call_share: specifics.get("calls_out")?.optional(0.0, number)?,
            call_share_window: specifics.get("share_span_us")?.optional(Duration::ZERO, micros)?,
            call_linger: specifics.get("lingers_us")?.optional(Duration::ZERO, micros)?,
            repeats_unanswered_calls: true,
            fresh_for: specifics.get("fresh_us")?.optional(Duration::ZERO, micros)?,
            signal: match keyword(specifics.get("say")?)?.as_str() {
                "min_rank" => Signal::MinRank,
                "tokens" => Signal::Tokens,
                "bias" => Signal::Bias,
                _ => Signal::Off,
            },
            signal_lifetime: specifics.get("heeded_us")?.optional(Duration::ZERO, micros)?,
            connect_price: node.get("prices")?.get("handshake")?.optional(0.0, number)?,
            marks_retries: node.get("clients")?.get("marks_retry")?.optional(false, boolean)?,
            sends_retry_after: limits.get("retry_after")?.optional(false, boolean)?,
            max_retry_after: limits.get("max_retry_after_us")?.optional(Duration::ZERO, micros)?,
            readiness: specifics.get("readiness")?.optional(false, boolean)?,
            answer_slack: rules.get("answer_slack_us")?.required(micros)?,
            drain_grace: rules.get("drain_grace_us")?.required(micros)?,
            max_load_per_core: rules.get("fall_multiple")?.required(number)?,
            load_window: rules.get("tip_after_us")?.required(micros)?,
        };
        if let Err(e) = settings.check() {
            return node.error(Problem::Unusable(e));
        }
        Ok(Self { settings, class_names, tenant_names, gauges })
    }
}

/// The configuration of the program.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The matcher's name in the fleet.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// The agent that runs requests; without one, the site's own application does.
    pub agent: Option<SocketAddr>,
    /// Where operators connect (the admin endpoint).
    pub admin: Option<SocketAddr>,
    /// The control plane, which receives lease reports.
    pub control: Option<SocketAddr>,
    /// The vault, through which calls to the dependency are made.
    pub vault: Option<SocketAddr>,
    /// The seed of random numbers.
    pub seed: u64,
    /// Time from the stop signal to the kill.
    pub stop_after: Duration,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// How much each table may hold, by the process's memory limit.
    pub memory: MemoryBudget,
    /// The part that concerns the decision module.
    pub site: Site,
    /// The appliance, including the frontends beside the platform's port.
    pub appliance: Appliance,
    /// The Unix socket through which a successor process takes over from this one.
    pub handover: Option<PathBuf>,
    /// The JSON document that was read.
    document: JsonValue,
}

/// The addresses that a running program takes over from a reloaded configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Links {
    /// The agent.
    pub agent: Option<SocketAddr>,
    /// The vault, through which calls to the dependency are made.
    pub vault: Option<SocketAddr>,
    /// The control plane, which receives lease reports.
    pub control: Option<SocketAddr>,
}

/// What the appliance's file (`deploy/appliance.json`) enables; without the file all of it is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Appliance {
    /// Where SCGI callers connect.
    pub scgi_listen: Option<SocketAddr>,
    /// The site's own SCGI application, which runs requests where there is no agent.
    pub scgi_application: Option<SocketAddr>,
    /// An SCGI service that serves as the dependency in place of the vault.
    pub scgi_below: Option<SocketAddr>,
    /// The Unix socket of the terminal console.
    pub console: Option<PathBuf>,
    /// How certificates are obtained.
    pub acme: Option<Acme>,
    /// Where callers connect with HTTP over TLS, which uses that certificate.
    pub tls_listen: Option<SocketAddr>,
    /// The fleet that this matcher is a member of.
    pub fleet: Option<Fleet>,
}

/// How a matcher takes part in its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The fleet's name; messages from members of other fleets are ignored.
    pub name: String,
    /// The address of this matcher's socket (UDP).
    pub listen: SocketAddrV4,
    /// The address at which other members reach this one; it also identifies this member.
    pub advertise: SocketAddrV4,
    /// Members that this one contacts at its start, and again while they are not up.
    pub seeds: Vec<SocketAddrV4>,
    /// The protocol period.
    pub period: Duration,
    /// The fleet's routes, where this matcher takes part in them.
    pub routes: Option<Routes>,
}

impl Fleet {
    fn read(node: &Node) -> Result<Self, ConfigError> {
        let listen: SocketAddrV4 = node.get("listen")?.required(parsed)?;
        let advertise = node.get("advertise")?.optional(listen, parsed)?;
        if advertise.ip().is_unspecified() || advertise.port() == 0 {
            return node.get("advertise")?.error(Problem::NotOneAddress);
        }
        let name = node.get("name")?.optional(DEFAULT_FLEET.to_string(), string)?;
        if name.is_empty() || name.len() > MAX_NAME {
            return node.get("name")?.error(Problem::NameLength(MAX_NAME));
        }
        let mut seeds = Vec::new();
        for seed in node.get("seeds")?.items()? {
            seeds.push(seed.required(parsed)?);
        }
        if seeds.len() > MAX_SEEDS {
            return node.get("seeds")?.error(Problem::TooManySeeds(MAX_SEEDS));
        }
        let period_ms = node.get("period_ms")?.optional(DEFAULT_PERIOD_MS, integer)?;
        if !(50..=60_000).contains(&period_ms) {
            return node.get("period_ms")?.error(Problem::Period);
        }
        let routes = node.get("routes")?;
        let routes = routes.value.map(|_| Routes::read(&routes)).transpose()?;
        Ok(Self {
            name,
            listen,
            advertise,
            seeds,
            period: Duration::from_millis(u64::from(period_ms)),
            routes,
        })
    }
}

/// How certificates are ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct Acme {
    /// The URL of the authority's directory.
    pub directory: String,
    /// The names that the certificate is for.
    pub domains: Vec<String>,
    /// How the authority reaches the operator, as a URL such as `mailto:…`.
    pub contact: Option<String>,
    /// The folder that holds the account's key and the certificate.
    pub store: PathBuf,
    /// Where http-01 challenges are answered; the authority must reach this address at port 80.
    pub challenge_listen: SocketAddr,
    /// The authority's own root certificates, where the public ones do not cover it.
    pub roots: Option<PathBuf>,
    /// Wait after a first failure; each further failure doubles it.
    pub retry: Duration,
}

/// The appliance's file, unless `RELAY_APPLIANCE` names another.
pub const APPLIANCE_FILE: &str = "deploy/appliance.json";
/// Default of `limits.sockets`: file descriptors that the process may hold.
const DEFAULT_SOCKETS: u32 = 1024;
/// Default of `acme.retry_ms`: the wait after a first failed order.
const DEFAULT_RETRY_MS: u32 = 60_000;
/// Default of `fleet.name`.
const DEFAULT_FLEET: &str = "hopwalk";
/// Default of `fleet.period_ms`, the protocol period.
const DEFAULT_PERIOD_MS: u32 = 1000;
/// Default of `RELAY_LOG`.
const DEFAULT_LOG: &str = "info,openraft=off";
/// Default of `stop_ms`: the time from the stop signal to the kill.
const DEFAULT_STOP_MS: f64 = 3000.0;

impl Appliance {
    /// Parses the text of an appliance's file.
    pub fn parse(json: &str) -> Result<Self, ConfigError> {
        let json = parse_json(APPLIANCE_FILE, json)?;
        let root = Node::root(&json);
        let scgi = root.get("scgi")?;
        let address = |key| scgi.get(key)?.optional(None, |n, v| parsed(n, v).map(Some));
        let console = root.get("console")?;
        let acme = root.get("acme")?;
        let tls_listen = root.get("tls")?.get("listen")?.optional(None, |n, v| parsed(n, v).map(Some))?;
        if tls_listen.is_some() && acme.value.is_none() {
            return Err(ConfigError::new("tls.listen", Problem::NoCertificate));
        }
        let fleet = root.get("fleet")?;
        Ok(Self {
            fleet: fleet.value.map(|_| Fleet::read(&fleet)).transpose()?,
            tls_listen,
            scgi_listen: address("listen")?,
            scgi_application: address("application")?,
            scgi_below: address("below")?,
            console: match console.value {
                Some(_) => Some(console.get("socket")?.required(string)?.into()),
                None => None,
            },
            acme: acme.value.map(|_| Acme::read(&acme)).transpose()?,
        })
    }

    /// Reads the file that `RELAY_APPLIANCE` names, or the one under `deploy/` if it exists.
    pub fn from_env() -> Result<Self, ConfigError> {
        match std::env::var("RELAY_APPLIANCE") {
            Ok(path) => Self::parse(&read_file("RELAY_APPLIANCE", &path)?),
            Err(_) if Path::new(APPLIANCE_FILE).exists() => {
                Self::parse(&read_file(APPLIANCE_FILE, APPLIANCE_FILE)?)
            }
            Err(_) => Ok(Self::default()),
        }
    }
}

/// Whether a URL leads to this machine, given what follows `http://` in it. Without TLS anyone on the network path
/// could issue certificates; a loopback address has no such path. A name that only begins like an address may lead
/// anywhere.
fn is_loopback(rest: &str) -> bool {
    let place = rest.split(['/', '?', '#']).next().unwrap_or_default();
    let (host, port) = match place.rsplit_once(':') {
        Some((host, port)) if !port.ends_with(']') => (host, port),
        _ => (place, "80"),
    };
    let host_is = host == "localhost" || host == "[::1]";
    let host_is = host_is || host.parse::<std::net::Ipv4Addr>().is_ok_and(|ip| ip.is_loopback());
    host_is && port.parse::<u16>().is_ok() && port.bytes().all(|b| b.is_ascii_digit())
}

fn read_file(key: &str, path: &str) -> Result<String, ConfigError> {
    std::fs::read_to_string(path)
        .map_err(|e| ConfigError::new(key, Problem::File { path: path.to_string(), reason: e.to_string() }))
}

impl Acme {
    fn read(node: &Node) -> Result<Self, ConfigError> {
        let directory = node.get("directory")?.required(|n, v| {
            let url = string(n, v)?;
            match url.starts_with("https://") || url.strip_prefix("http://").is_some_and(is_loopback) {
                true => Ok(url),
                false => n.error(Problem::NotHttps),
            }
        })?;
        let mut domains = Vec::new();
        for domain in node.get("domains")?.items()? {
            domains.push(domain.required(string)?);
        }
        if domains.is_empty() {
            return node.get("domains")?.error(Problem::NoDomain);
        }
        let path = |n: &Node, v: &JsonValue| string(n, v).map(PathBuf::from);
        let retry_ms = node.get("retry_ms")?.optional(DEFAULT_RETRY_MS, integer)?;
        Ok(Self {
            directory,
            domains,
            contact: node.get("contact")?.optional(None, |n, v| string(n, v).map(Some))?,
            store: node.get("store")?.required(path)?,
            challenge_listen: node.get("challenge_listen")?.required(parsed)?,
            roots: node.get("roots")?.optional(None, |n, v| path(n, v).map(Some))?,
            retry: Duration::from_millis(u64::from(retry_ms.max(1))),
        })
    }
}

impl Config {
    /// Reads the environment and the files that it names.
    pub fn from_env() -> Result<Self, ConfigError> {
        let vars: HashMap<String, String> =
            std::env::vars().filter(|(k, _)| k.starts_with("RELAY_")).collect();
        let path =
            vars.get("RELAY_CONFIG").ok_or_else(|| ConfigError::new("RELAY_CONFIG", Problem::NotSet))?;
        let mut config = Self::parse(&read_file("RELAY_CONFIG", path)?, &vars)?;
        config.appliance = Appliance::from_env()?;
        if config.appliance.fleet.is_some() && config.name.len() > MAX_NAME {
            return Err(ConfigError::new("name", Problem::MemberName(MAX_NAME)));
        }
        if let Some(routes) = config.appliance.fleet.as_ref().and_then(|f| f.routes.as_ref()) {
            routes.check(&config.name)?;
            if config.appliance.scgi_below.is_some() && config.vault.is_none() {
                return Err(ConfigError::new("scgi.below", Problem::ScgiWithoutFence));
            }
        }
        // All processes of one matcher use this folder, and no others do.
        let name = config.name.replace(|c: char| !c.is_ascii_alphanumeric(), "_");
        config.handover = std::env::var_os("TMPDIR")
            .filter(|dir| !dir.is_empty())
            .map(|dir| Path::new(&dir).join(format!("hopwalk-{name}.sock")));
        if config.agent.is_none() && config.appliance.scgi_application.is_none() {
            return Err(ConfigError::new("agent", Problem::NoApplication));
        }
        Ok(config)
    }

    /// Reads the environment and its files again, for a program that runs with this configuration. A file that
    /// lacks a key of the previous one was most likely truncated or written by mistake, and is rejected as a whole.
    pub fn reload(&self) -> Result<Self, ConfigError> {
        let new = Self::from_env()?;
        self.check_replacement(&new)?;
        Ok(new)
    }

    /// Checks that another configuration may replace this one: it must have all keys of this one.
    pub fn check_replacement(&self, new: &Self) -> Result<(), ConfigError> {
        Node::root(&new.document).check_keys_of(&self.document)
    }

    /// Options of the fleet's membership; `None` where this matcher is in no fleet.
    pub fn fleet(&self) -> Option<membership_thread::Options> {
        let fleet = self.appliance.fleet.as_ref()?;
        Some(membership_thread::Options {
            name: self.name.clone(),
            fleet: fleet.name.clone(),
            listen: fleet.listen,
            advertise: fleet.advertise,
            seeds: fleet.seeds.clone(),
            period: fleet.period,
            capacity: self.site.settings.cores,
            seed: self.seed,
        })
    }

    /// Options of the fleet's routes; `None` where this matcher takes no part in them.
    pub fn routes(&self) -> Option<driver::Options> {
        let fleet = self.appliance.fleet.as_ref()?;
        let routes = fleet.routes.as_ref()?;
        let known = KnownNames {
            classes: self.site.class_names.iter().cloned().collect(),
            tenants: self.site.tenant_names.iter().cloned().collect(),
        };
        Some(driver::Options {
            name: self.name.clone(),
            fleet: fleet.name.clone(),
            voters: routes.voters.iter().map(|v| (v.name.clone(), v.address)).collect(),
            record: routes.record.clone(),
            known,
            clock_fault: routes.clock_fault,
        })
    }

    /// The addresses that a reload may change.
    pub fn links(&self) -> Links {
        Links { agent: self.agent, vault: self.vault, control: self.control }
    }

    /// The configuration as names and values, for people.
    pub fn describe(&self) -> Vec<(String, String)> {
        let s = &self.site.settings;
        let address = |at: Option<SocketAddr>| at.map_or("off".to_string(), |at| at.to_string());
        let a = &self.appliance;
        let mut lines = vec![
            ("name", self.name.clone()),
            ("listen", self.listen.to_string()),
            ("admin", address(self.admin)),
            ("agent", address(self.agent)),
            ("vault", address(self.vault)),
            ("control", address(self.control)),
            ("stop_ms", self.stop_after.as_millis().to_string()),
            ("sockets", self.sockets.to_string()),
            ("cores", s.cores.to_string()),
            ("memory_kb", s.memory_kb.to_string()),
            ("scgi.listen", address(a.scgi_listen)),
            ("scgi.application", address(a.scgi_application)),
            ("scgi.below", address(a.scgi_below)),
            ("tls.listen", address(a.tls_listen)),
            ("fleet.listen", address(a.fleet.as_ref().map(|f| SocketAddr::V4(f.listen)))),
        ];
        if let Some(acme) = &a.acme {
            lines.extend([
                ("acme.directory", acme.directory.clone()),
                ("acme.domains", acme.domains.join(" ")),
                ("acme.store", acme.store.display().to_string()),
            ]);
        }
        let mut lines: Vec<_> = lines.into_iter().map(|(name, value)| (name.to_string(), value)).collect();
        for (name, class) in self.site.class_names.iter().zip(&s.classes) {
            let (worth, wanted) = (class.worth, class.target_latency.as_millis());
            lines.push((format!("class {name}"), format!("worth {worth}, wanted within {wanted} ms")));
        }
        lines
    }

    /// Parses the JSON file; the variables take precedence over it.
    pub fn parse(json: &str, vars: &HashMap<String, String>) -> Result<Self, ConfigError> {
        let json = parse_json("RELAY_CONFIG", json)?;
        let node = Node::root(&json);
        let address = |key: &str| node.get(key)?.optional(None, |n, v| parsed(n, v).map(Some));
        let listen = match vars.get("RELAY_LISTEN") {
            Some(text) => text
                .parse()
                .map_err(|_| ConfigError::new("RELAY_LISTEN", Problem::InvalidAddress(text.clone())))?,
            None => node.get("listen")?.required(parsed)?,
        };
        let admin = match vars.get("RELAY_ADMIN") {
            Some(text) => Some(
                text.parse()
                    .map_err(|_| ConfigError::new("RELAY_ADMIN", Problem::InvalidAddress(text.clone())))?,
            ),
            None => address("admin")?,
        };
        let name = match vars.get("RELAY_NAME") {
            Some(name) => name.clone(),
            None => node.get("name")?.required(string)?,
        };
        if name.is_empty() || name.contains(char::is_whitespace) {
            return Err(ConfigError::new("name", Problem::NotOneWord));
        }
        let seed = node.get("seed")?.optional(0, |n, v| {
            let text = string(n, v)?;
            u64::from_str_radix(&text, 16).or_else(|_| n.error(Problem::NotHex))
        })?;
        let stop_ms = node.get("stop_ms")?.optional(DEFAULT_STOP_MS, number)?;
        if stop_ms > 86_400e3 {
            return Err(ConfigError::new("stop_ms", Problem::TooLong));
        }
        let sockets = node.get("limits")?.get("sockets")?.optional(DEFAULT_SOCKETS, integer)? as usize;
        let memory_mb = node.get("limits")?.get("memory_mb")?;
        let memory_mb = memory_mb.optional(None, |n, v| match number(n, v)? {
            0.0 => n.error(Problem::Zero),
            memory_mb => Ok(Some(memory_mb)),
        })?;
        let settings = node.get("settings")?;
        if settings.value.is_none() {
            return settings.error(Problem::Missing);
        }
        let site = Site::read(&settings)?;
        for (at, class) in site.class_names.iter().enumerate() {
            if class.is_empty() || site.class_names[..at].contains(class) {
                let key = format!("settings.profiles[{at}].name");
                return Err(ConfigError::new(key, Problem::NotUnique));
            }
            let times = &site.settings.classes[at];
            for (key, time) in [("promise_us", times.target_latency), ("give_up_us", times.client_timeout)] {
                if time.is_zero() {
                    return Err(ConfigError::new(format!("settings.profiles[{at}].{key}"), Problem::Zero));
                }
            }
        }
        for (at, tenant) in site.tenant_names.iter().enumerate() {
            if tenant.is_empty() || site.tenant_names[..at].contains(tenant) {
                let key = format!("settings.tenants[{at}].name");
                return Err(ConfigError::new(key, Problem::NotUnique));
            }
        }
        values::check(&settings, &site)?;
        Ok(Self {
            name,
            listen,
            admin,
            agent: address("agent")?,
            control: address("control")?,
            vault: address("vault")?,
            seed,
            stop_after: Duration::from_micros((stop_ms * 1000.0) as u64),
            sockets,
            memory: MemoryBudget::for_limit(memory_mb),
            site,
            appliance: Appliance::default(),
            handover: None,
            document: json,
        })
    }
}

/// What is logged, as a filter directive of `tracing`.
pub fn log_filter() -> String {
    std::env::var("RELAY_LOG").unwrap_or_else(|_| DEFAULT_LOG.to_string())
}
