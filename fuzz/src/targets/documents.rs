//! Files and documents: the configuration, the appliance's file, an authority's answers, the simulator's lines.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hopwalk::acme::wire as acme;
use hopwalk::core::{Core, Effect, Input, LinkId, Notice, Request};
use hopwalk::interface::Action;
use hopwalk::settings::{Appliance, Config};
use hopwalk::DecisionEngine;

use crate::alloc::most_held;

#[path = "../../../src/bin/hopwalk-adapter/wire.rs"]
#[allow(missing_docs)]
mod adapter;
#[path = "../../../src/bin/hopwalk-adapter/error.rs"]
#[allow(dead_code, missing_docs)]
mod error;

fn parse(text: &str) -> Option<Config> {
    let (read, held) = most_held(|| Config::parse(text, &HashMap::new()));
    assert!(held <= 256 * text.len() + 65_536, "{held} bytes held for {} read", text.len());
    match read {
        Ok(config) => Some(config),
        Err(e) => {
            assert!(!e.key.is_empty() && !e.problem.help().is_empty(), "{e:?}");
            None
        }
    }
}

/// `RELAY_CONFIG`: what is accepted can be served with, and replaced while requests are open. Two documents are set
/// apart by a NUL.
pub fn config(bytes: &[u8]) {
    let Ok(text) = std::str::from_utf8(bytes) else { return };
    let (first, second) = text.split_once('\0').unwrap_or((text, ""));
    let Some(config) = parse(first) else { return };
    let _ = config.describe();
    // Longer times are mistakes, and would overflow sums of times some day.
    let day = Duration::from_secs(86_400);
    let times =
        config.site.settings.classes.iter().flat_map(|c| [c.target_latency, c.client_timeout, c.window]);
    assert!(times.chain([config.stop_after]).all(|time| time <= day), "a time of more than a day");
    let at = |ms: u64| Duration::from_millis(1_764_576_000_000 + ms);
    let Ok(mut core) = Core::new(config.site.clone(), config.seed, config.stop_after, at(0)) else { return };
    core.step(
        at(0),
        [Input::Agent { link: LinkId(1), notice: Notice::Greeting { cold: true, uptime: Duration::ZERO } }],
    );
    let mut open = 0i64;
    let ask = |core: &mut Core, names: &[String], from: u64, now: Duration| {
        for (n, class) in (from..).zip(names) {
            let key = Some(Arc::from(class.as_str()));
            let handle = format!("{n:016x}").parse().expect("16 digits");
            let request = Request {
                conn: n,
                handle,
                class: class.clone(),
                start: now,
                timeout: None,
                caller: 1,
                tenant: None,
                cost: None,
                size_kb: 24.5,
                rank: 0.5,
                key,
                object: None,
                body: [].into(),
            };
            core.step(now, [Input::Request(Box::new(request))]);
        }
        names.len() as i64
    };
    let names = config.site.class_names.iter().take(8).cloned().collect::<Vec<_>>();
    open += ask(&mut core, &names, 1, at(1));
    let replaced = parse(second).filter(|new| config.check_replacement(new).is_ok());
    if let Some(new) = replaced {
        core.step(at(2), [Input::Reload { site: Box::new(new.site.clone()), stop_after: new.stop_after }]);
        let names = new.site.class_names.iter().take(8).cloned().collect::<Vec<_>>();
        open += ask(&mut core, &names, 1 << 32, at(3));
    }
    // Some of the module's clockwork, within bounds: settings may ask for any number of ticks a second.
    let mut now = at(3);
    for _ in 0..64 {
        let Some(next) = core.next_timer() else { break };
        now = now.max(next);
        core.step(now, []);
    }
    // And all that is due.
    now += Duration::from_secs(4 * 86_400);
    let effects = core.step(now, []);
    assert!(effects.iter().filter(|e| matches!(e, Effect::Answer { .. })).count() as i64 <= open);
}

/// The appliance's file.
pub fn appliance(bytes: &[u8]) {
    let Ok(text) = std::str::from_utf8(bytes) else { return };
    match Appliance::parse(text) {
        Ok(on) => {
            assert!(on.tls_listen.is_none() || on.acme.is_some());
            if let Some(acme) = on.acme {
                assert!(!acme.domains.is_empty() && !acme.retry.is_zero());
                let plain = acme.directory.strip_prefix("http://");
                let host = plain.map(|rest| rest.split(['/', '?', '#']).next().unwrap_or(""));
                let loopback = |host: &str| {
                    let host = host
                        .rsplit_once(':')
                        .filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()))
                        .map_or(host, |(host, _)| host);
                    host == "localhost"
                        || host == "[::1]"
                        || host.parse::<std::net::Ipv4Addr>().is_ok_and(|ip| ip.is_loopback())
                };
                assert!(host.is_none_or(loopback), "plain HTTP to {host:?}");
            }
        }
        Err(e) => assert!(!e.key.is_empty() && !e.problem.help().is_empty(), "{e:?}"),
    }
}

/// What an ACME authority answers; the first line is its `Retry-After`.
pub fn authority(bytes: &[u8]) {
    let Ok(text) = std::str::from_utf8(bytes) else { return };
    let (field, body) = text.split_once('\n').unwrap_or(("", text));
    if let Some(wait) = acme::parse_retry_after(field) {
        assert!(wait <= Duration::from_secs(86_400));
    }
    let (object, held) = most_held(|| acme::Object::parse(body));
    assert!(held <= 256 * body.len() + 4096);
    let Ok(object) = object else { return };
    let _ = (object.problem(), object.failure("invalid"), object.text("status"));
    let _ = (object.urls("authorizations"), acme::Directory::from_object(&object));
    if let Ok(challenge) = object.http_challenge() {
        // The token becomes a part of a path and of a key authorization.
        assert!(challenge.token.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b)));
        assert!(!challenge.token.is_empty());
    }
}

/// The simulator's lines: what they say is fed to instances of the module.
pub fn wire(bytes: &[u8]) {
    let Ok(text) = std::str::from_utf8(bytes) else { return };
    let mut instances: BTreeMap<u32, DecisionEngine> = BTreeMap::new();
    let mut now = Duration::from_secs(1);
    let mut out = Vec::new();
    for line in text.lines().take(64) {
        if let Some(rest) = line.strip_prefix("mark ") {
            if let Ok((at, _)) = adapter::parse_mark(rest) {
                // The clock goes forward, and a day lasts no year.
                now = now.max(at.min(Duration::from_secs(31_536_000)));
            }
            continue;
        }
        let mut actions = Vec::new();
        match adapter::parse(line) {
            Ok(adapter::Message::Configure { who, seed, settings }) => {
                let settings = *settings;
                if settings.cores > 4096 || instances.len() > 3 {
                    continue;
                }
                if let Ok(engine) = DecisionEngine::new(settings, seed, now) {
                    instances.insert(who, engine);
                }
            }
            Ok(adapter::Message::Down { who }) => drop(instances.remove(&who)),
            Ok(adapter::Message::Event { who, event }) => {
                if let Some(engine) = instances.get_mut(&who) {
                    engine.on_event(now, event, &mut actions);
                    engine.decide(now, &mut actions);
                }
            }
            Ok(adapter::Message::Unknown(name)) => assert!(!name.contains(' ')),
            Err(e) => assert!(miette::Diagnostic::help(&e).is_some(), "{e}"),
        }
        for action in &actions {
            adapter::write(&mut out, 1, action).expect("a buffer takes all");
            if let Action::Signal(value) = action {
                assert!(value.is_finite() && *value >= 0.0, "{action:?}");
            }
        }
    }
    assert!(!String::from_utf8_lossy(&out).contains("NaN"));
}
