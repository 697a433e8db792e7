//! The one place where configuration is read, checked and given defaults.
//!
//! The platform's variables (`RELAY_*`) and JSON file, the simulator's start-up options and the files under
//! `deploy/` all end up here. Keys that are not known are skipped; a message names the key it is about.

mod error;
mod node;
mod routes;
mod values;

use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

use tinyjson::JsonValue;

use crate::fleet::membership::view::MOST_NAME;
use crate::fleet::membership::MOST_SEEDS;
use crate::fleet::routes::table::Known;
use crate::fleet::{driver, link};
use crate::interface::{Class, Dependency, Preemption, Repeat, Settings, Signal, Tenant};

use node::{flag, kilobytes, micros, number, parse_json, parsed, text, whole, Node};

pub use error::{ConfigError, Problem};
pub use routes::{Routes, Voter};

/// The settings of the module and the names that go with them on the wire.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// What the module is told.
    pub settings: Settings,
    /// The names of its classes, in their order.
    pub class_names: Vec<String>,
    /// The names of its tenants, in their order.
    pub tenant_names: Vec<String>,
    /// The gauges, in the order in which they are measured.
    pub gauges: Vec<String>,
}

impl Site {
    /// Reads the settings object that the simulator and the platform hand over.
    pub fn parse(json: &str) -> Result<Self, ConfigError> {
        Self::read(&Node::root(&parse_json("options", json)?))
    }

    fn read(node: &Node) -> Result<Self, ConfigError> {
        let (sp, rules, limits) = (node.at("specifics")?, node.at("rules")?, node.at("limits")?);
        let calls = sp.at("class_calls")?.items()?;
        let worth = sp.at("worth_without")?.items()?;
        let (mut classes, mut class_names) = (Vec::new(), Vec::new());
        for (at, p) in node.at("profiles")?.items()?.into_iter().enumerate() {
            class_names.push(p.at("name")?.or(String::new(), text)?);
            classes.push(Class {
                target_latency: p.at("promise_us")?.some(micros)?,
                target_stretch: p.at("aim_stretch")?.or(0.0, number)?,
                client_timeout: p.at("give_up_us")?.some(micros)?,
                repeat: p.at("repeat")?.some(|node, value| {
                    Ok(match text(node, value)?.as_str() {
                        "idempotent" => Repeat::Idempotent,
                        "deduplicated" => Repeat::Deduplicated,
                        _ => Repeat::AtMostOnce,
                    })
                })?,
                window: p.at("memory_span_us")?.or(Duration::ZERO, micros)?,
                worth: p.at("worth")?.some(number)?,
                late_value: p.at("late_value")?.or(0.0, number)?,
                makes_calls: calls.get(at).and_then(|n| n.value.map(|v| flag(n, v))).unwrap_or(Ok(false))?,
                dropped: false,
                skip_worth: worth.get(at).and_then(|n| n.value.map(|v| number(n, v))).unwrap_or(Ok(0.0))?,
            });
        }
        let (mut tenants, mut tenant_names) = (Vec::new(), Vec::new());
        for t in node.at("tenants")?.items()? {
            tenant_names.push(t.at("name")?.or(String::new(), text)?);
            tenants.push(Tenant { quota_per_s: t.at("quota_per_s")?.or(0.0, number)? });
        }
        let mut gauges = Vec::new();
        for gauge in sp.at("meters")?.items()? {
            gauges.push(gauge.some(text)?);
        }
        let word = |node: Node| node.or(String::new(), text);
        let settings = Settings {
            cores: sp.at("cores")?.some(whole)?,
            memory_kb: sp.at("memory_kb")?.some(kilobytes)?,
            run_factor: sp.at("run_factor")?.some(number)?,
            key_kb: sp.at("kb_per_key")?.or(0.0, kilobytes)?,
            servers: node.at("servers")?.some(whole)?,
            entry: node.at("tier")?.or(0, whole)? == 0,
            callers: sp.at("senders")?.or(0, whole)?,
            idle_timeout: sp.at("idle_us")?.or(Duration::ZERO, micros)?,
            cold: sp.at("cold")?.or(false, flag)?,
            cold_speed: rules.at("cold_from")?.or(0.0, number)?,
            warm_up_time: rules.at("cold_us")?.or(Duration::ZERO, micros)?,
            classes,
            tenants,
            over_share_worth: node.at("over_share_worth")?.or(1.0, number)?,
            worth_by_work: word(node.at("counted_by")?)? == "work",
            preemption: match word(sp.at("preemption")?)?.as_str() {
                "drop" => Preemption::Drop,
                "pause" => Preemption::Pause,
                _ => Preemption::Off,
            },
            dependency: match word(sp.at("below")?)?.as_str() {
                "common" => Dependency::Shared,
                "next_hop" => Dependency::Tier,
                _ => Dependency::Off,
            },
            call_share: sp.at("calls_out")?.or(0.0, number)?,
            call_share_window: sp.at("share_span_us")?.or(Duration::ZERO, micros)?,
            call_linger: sp.at("lingers_us")?.or(Duration::ZERO, micros)?,
            fresh_for: sp.at("fresh_us")?.or(Duration::ZERO, micros)?,
            signal: match word(sp.at("say")?)?.as_str() {
                "min_rank" => Signal::MinRank,
                "tokens" => Signal::Tokens,
                "bias" => Signal::Bias,
                _ => Signal::Off,
            },
            signal_lifetime: sp.at("heeded_us")?.or(Duration::ZERO, micros)?,
            connect_price: node.at("prices")?.at("handshake")?.or(0.0, number)?,
            marks_retries: node.at("clients")?.at("marks_retry")?.or(false, flag)?,
            sends_retry_after: limits.at("retry_after")?.or(false, flag)?,
            max_retry_after: limits.at("max_retry_after_us")?.or(Duration::ZERO, micros)?,
            readiness: sp.at("readiness")?.or(false, flag)?,
            answer_slack: rules.at("answer_slack_us")?.some(micros)?,
            drain_grace: rules.at("drain_grace_us")?.some(micros)?,
            max_load_per_core: rules.at("fall_multiple")?.some(number)?,
            load_window: rules.at("tip_after_us")?.some(micros)?,
        };
        if let Err(e) = settings.check() {
            return node.bad(Problem::Unusable(e));
        }
        Ok(Self { settings, class_names, tenant_names, gauges })
    }
}

/// What the program as a whole is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its name in the fleet.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// The agent that runs the work; without one, the site's own application does.
    pub agent: Option<SocketAddr>,
    /// Where operators call.
    pub admin: Option<SocketAddr>,
    /// Where reports of being alive go.
    pub control: Option<SocketAddr>,
    /// Where calls below are made.
    pub vault: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// From the notice to leave to the kill.
    pub stop_after: Duration,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// The module's part.
    pub site: Site,
    /// The fronts and the appliance beside the platform's port.
    pub appliance: Appliance,
    /// The Unix socket through which a new version takes over from the one that runs.
    pub handover: Option<PathBuf>,
    /// The file as it was read.
    told: JsonValue,
}

/// The part of a configuration that a running program takes up anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Links {
    /// The agent.
    pub agent: Option<SocketAddr>,
    /// Where calls below are made.
    pub vault: Option<SocketAddr>,
    /// Where reports of being alive go.
    pub control: Option<SocketAddr>,
}

/// What `deploy/appliance.json` switches on; all of it is off where that file is absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Appliance {
    /// Where SCGI callers connect.
    pub scgi_listen: Option<SocketAddr>,
    /// The site's own SCGI application, which runs requests where there is no agent.
    pub scgi_application: Option<SocketAddr>,
    /// An SCGI service that takes the calls below.
    pub scgi_below: Option<SocketAddr>,
    /// The Unix socket of the terminal console.
    pub console: Option<PathBuf>,
    /// Certificates.
    pub acme: Option<Acme>,
    /// Where callers connect with HTTP under TLS, with that certificate.
    pub tls_listen: Option<SocketAddr>,
    /// The fleet that this matcher is a member of.
    pub fleet: Option<Fleet>,
}

/// How a matcher meets the others of its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The fleet's name: members of another one are not heard.
    pub name: String,
    /// The address of this matcher's own socket (UDP).
    pub listen: SocketAddrV4,
    /// Where the others reach it; also who it is.
    pub advertise: SocketAddrV4,
    /// Members that are asked at the start, and again while they are not up.
    pub seeds: Vec<SocketAddrV4>,
    /// The protocol period.
    pub period: Duration,
    /// The fleet's routes, where this matcher takes part in them.
    pub routes: Option<Routes>,
}

impl Fleet {
    fn read(node: &Node) -> Result<Self, ConfigError> {
        let listen: SocketAddrV4 = node.at("listen")?.some(parsed)?;
        let advertise = node.at("advertise")?.or(listen, parsed)?;
        if advertise.ip().is_unspecified() || advertise.port() == 0 {
            return node.at("advertise")?.bad(Problem::NotOneAddress);
        }
        let name = node.at("name")?.or(DEFAULT_FLEET.to_string(), text)?;
        if name.is_empty() || name.len() > MOST_NAME {
            return node.at("name")?.bad(Problem::NameLength(MOST_NAME));
        }
        let mut seeds = Vec::new();
        for seed in node.at("seeds")?.items()? {
            seeds.push(seed.some(parsed)?);
        }
        if seeds.len() > MOST_SEEDS {
            return node.at("seeds")?.bad(Problem::TooManySeeds(MOST_SEEDS));
        }
        let period_ms = node.at("period_ms")?.or(DEFAULT_PERIOD_MS, whole)?;
        if !(50..=60_000).contains(&period_ms) {
            return node.at("period_ms")?.bad(Problem::Period);
        }
        let routes = node.at("routes")?;
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
    /// The authority's directory.
    pub directory: String,
    /// The names that the certificate is for.
    pub domains: Vec<String>,
    /// How the authority reaches the operator, as a URL such as `mailto:…`.
    pub contact: Option<String>,
    /// The folder that keeps the account's key and the certificate.
    pub store: PathBuf,
    /// Where the authority looks for http-01 challenges; from outside this must be port 80.
    pub challenge_listen: SocketAddr,
    /// The authority's own root certificates, where the public ones do not do.
    pub roots: Option<PathBuf>,
    /// Wait after a first failure; later ones double it.
    pub retry: Duration,
}

/// The file that switches the appliance on, unless `RELAY_APPLIANCE` names another.
pub const APPLIANCE_FILE: &str = "deploy/appliance.json";
/// Descriptors where no limit is told.
const DEFAULT_SOCKETS: u32 = 1024;
/// Wait after a first failed order where it is not told.
const DEFAULT_RETRY_MS: u32 = 60_000;
/// The fleet's name where it is not told.
const DEFAULT_FLEET: &str = "hopwalk";
/// The fleet's protocol period where it is not told.
const DEFAULT_PERIOD_MS: u32 = 1000;
/// What is logged where `RELAY_LOG` does not say.
const DEFAULT_LOG: &str = "info,openraft=off";
/// Time from the notice to the kill where it is not told.
const DEFAULT_STOP_MS: f64 = 3000.0;

impl Appliance {
    /// Reads the text of such a file.
    pub fn parse(json: &str) -> Result<Self, ConfigError> {
        let json = parse_json(APPLIANCE_FILE, json)?;
        let root = Node::root(&json);
        let scgi = root.at("scgi")?;
        let address = |key| scgi.at(key)?.or(None, |n, v| parsed(n, v).map(Some));
        let console = root.at("console")?;
        let acme = root.at("acme")?;
        let tls_listen = root.at("tls")?.at("listen")?.or(None, |n, v| parsed(n, v).map(Some))?;
        if tls_listen.is_some() && acme.value.is_none() {
            return Err(ConfigError::new("tls.listen", Problem::NoCertificate));
        }
        let fleet = root.at("fleet")?;
        Ok(Self {
            fleet: fleet.value.map(|_| Fleet::read(&fleet)).transpose()?,
            tls_listen,
            scgi_listen: address("listen")?,
            scgi_application: address("application")?,
            scgi_below: address("below")?,
            console: match console.value {
                Some(_) => Some(console.at("socket")?.some(text)?.into()),
                None => None,
            },
            acme: acme.value.map(|_| Acme::read(&acme)).transpose()?,
        })
    }

    /// Reads the file that `RELAY_APPLIANCE` names, or the one under `deploy/` if there is one.
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

/// What follows `http://` leads to this machine. Without TLS anyone on the way could hand out certificates; a
/// loopback has no way. A name that only begins like an address leads anywhere.
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
        .map_err(|e| ConfigError::new(key, Problem::File { path: path.to_string(), said: e.to_string() }))
}

impl Acme {
    fn read(node: &Node) -> Result<Self, ConfigError> {
        let directory = node.at("directory")?.some(|n, v| {
            let url = text(n, v)?;
            match url.starts_with("https://") || url.strip_prefix("http://").is_some_and(is_loopback) {
                true => Ok(url),
                false => n.bad(Problem::NotHttps),
            }
        })?;
        let mut domains = Vec::new();
        for domain in node.at("domains")?.items()? {
            domains.push(domain.some(text)?);
        }
        if domains.is_empty() {
            return node.at("domains")?.bad(Problem::NoDomain);
        }
        let path = |n: &Node, v: &JsonValue| text(n, v).map(PathBuf::from);
        let retry_ms = node.at("retry_ms")?.or(DEFAULT_RETRY_MS, whole)?;
        Ok(Self {
            directory,
            domains,
            contact: node.at("contact")?.or(None, |n, v| text(n, v).map(Some))?,
            store: node.at("store")?.some(path)?,
            challenge_listen: node.at("challenge_listen")?.some(parsed)?,
            roots: node.at("roots")?.or(None, |n, v| path(n, v).map(Some))?,
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
        if config.appliance.fleet.is_some() && config.name.len() > MOST_NAME {
            return Err(ConfigError::new("name", Problem::MemberName(MOST_NAME)));
        }
        if let Some(routes) = config.appliance.fleet.as_ref().and_then(|f| f.routes.as_ref()) {
            routes.check(&config.name)?;
            if config.appliance.scgi_below.is_some() && config.vault.is_none() {
                return Err(ConfigError::new("scgi.below", Problem::ScgiWithoutFence));
            }
        }
        // Processes of one server share this folder, and nobody else does.
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
    /// lacks what the one before had was most likely cut short or written by mistake, and is turned down whole.
    pub fn reload(&self) -> Result<Self, ConfigError> {
        let new = Self::from_env()?;
        self.check_replacement(&new)?;
        Ok(new)
    }

    /// Tells whether another configuration can take the place of this one: it must have all keys of it.
    pub fn check_replacement(&self, new: &Self) -> Result<(), ConfigError> {
        Node::root(&new.told).has_all_of(&self.told)
    }

    /// What the fleet's membership is told; nothing where this matcher has no part in one.
    pub fn fleet(&self) -> Option<link::Options> {
        let fleet = self.appliance.fleet.as_ref()?;
        Some(link::Options {
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

    /// What the fleet's routes are told; nothing where this matcher has no part in them.
    pub fn routes(&self) -> Option<driver::Options> {
        let fleet = self.appliance.fleet.as_ref()?;
        let routes = fleet.routes.as_ref()?;
        let known = Known {
            classes: self.site.class_names.iter().cloned().collect(),
            tenants: self.site.tenant_names.iter().cloned().collect(),
        };
        Some(driver::Options {
            name: self.name.clone(),
            fleet: fleet.name.clone(),
            voters: routes.voters.iter().map(|v| (v.name.clone(), v.address)).collect(),
            keeps: routes.keeps.clone(),
            known,
            fault: routes.fault,
        })
    }

    /// Where the links lead.
    pub fn links(&self) -> Links {
        Links { agent: self.agent, vault: self.vault, control: self.control }
    }

    /// The configuration in lines, for people.
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

    /// Reads the JSON file; the variables win over what it says.
    pub fn parse(json: &str, vars: &HashMap<String, String>) -> Result<Self, ConfigError> {
        let json = parse_json("RELAY_CONFIG", json)?;
        let node = Node::root(&json);
        let address = |key: &str| node.at(key)?.or(None, |n, v| parsed(n, v).map(Some));
        let listen = match vars.get("RELAY_LISTEN") {
            Some(text) => text
                .parse()
                .map_err(|_| ConfigError::new("RELAY_LISTEN", Problem::InvalidAddress(text.clone())))?,
            None => node.at("listen")?.some(parsed)?,
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
            None => node.at("name")?.some(text)?,
        };
        if name.is_empty() || name.contains(char::is_whitespace) {
            return Err(ConfigError::new("name", Problem::NotOneWord));
        }
        let seed = node.at("seed")?.or(0, |n, v| {
            let text = text(n, v)?;
            u64::from_str_radix(&text, 16).or_else(|_| n.bad(Problem::NotHex))
        })?;
        let stop_ms = node.at("stop_ms")?.or(DEFAULT_STOP_MS, number)?;
        if stop_ms > 86_400e3 {
            return Err(ConfigError::new("stop_ms", Problem::TooLong));
        }
        let sockets = node.at("limits")?.at("sockets")?.or(DEFAULT_SOCKETS, whole)? as usize;
        let settings = node.at("settings")?;
        if settings.value.is_none() {
            return settings.bad(Problem::Missing);
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
            site,
            appliance: Appliance::default(),
            handover: None,
            told: json,
        })
    }
}

/// What is to be logged, in the words of tracing's filter.
pub fn log_filter() -> String {
    std::env::var("RELAY_LOG").unwrap_or_else(|_| DEFAULT_LOG.to_string())
}
