//! What the fleet's routes count, as text for Prometheus (the OpenMetrics format). The same counters at every matcher; a
//! restart begins at 0.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::routes::record::AbortReason;
use super::wire::Counters;

/// One label: its name is fixed by the counter, its values are words of the program.
type Labelled = Family<[(&'static str, &'static str); 1], Counter>;

/// The counters and gauges; a copy counts into the same ones.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct Metrics {
    pub asks: Counter,
    pub replies: Counter,
    pub grants: Counter,
    pub leases_lost: Counter,
    pub switches: Counter,
    pub elections: Counter,
    pub stale: Counter,
    pub barred: Counter,
    pub blocks: Counter,
    pub turn: Gauge<u64, AtomicU64>,
    pub version: Gauge<u64, AtomicU64>,
    pub leads: Gauge,
    pub lease: Gauge,
    aborts: Labelled,
    /// What the links count; a text takes it over.
    pub links: Arc<Counters>,
    /// Voters that are not heard both ways.
    pub unheard: Gauge,
    frames: Labelled,
    link_frames: Labelled,
    link_bytes: Labelled,
    requests: Labelled,
    registry: Arc<Mutex<Registry>>,
}

impl Metrics {
    /// All at 0.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("hopwalk_fleet");
        let mut counter = |name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let asks = counter("asks", "Asks for a lease that this member sent");
        let replies = counter("replies", "Replies that came in time");
        let grants = counter("grants", "Leases that this member granted as the leader");
        let leases_lost = counter("leases_lost", "Times that this member's lease ended");
        let switches = counter("switches", "Route versions that came into force here");
        let elections = counter("elections", "Times that this member became the leader");
        let stale = counter("stale_calls", "Calls that a service refused as of an older turn");
        let barred = counter("barred_calls", "Looks at a call that had no lease to go out under");
        let blocks = counter("experiment_blocks", "Blocks of experiments that this member closed");
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::<i64, std::sync::atomic::AtomicI64>::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let leads = gauge("leads", "1 while this member leads");
        let lease = gauge("lease_held", "1 while this member has a lease");
        let unheard = gauge("voters_unheard", "Voters out of reach; 0 is the posture whole");
        let mut number = |name: &str, help: &str| {
            let gauge = Gauge::<u64, AtomicU64>::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let turn = number("turn", "The turn in force here");
        let version = number("version", "The route version in force here");
        let mut labelled = |name: &str, help: &str| {
            let family = Labelled::default();
            registry.register(name, help, family.clone());
            family
        };
        let aborts = labelled("aborts", "Activations that were given up while this member led, by reason");
        let frames = labelled("frames_dropped", "Frames that were not taken, by what was wrong");
        let link_frames = labelled("link_frames", "Frames on the links between members, by way");
        let link_bytes = labelled("link_bytes", "Bytes of those frames, their lengths included, by way");
        let requests = labelled("requests", "Requests of other members, by kind");
        let registry = Arc::new(Mutex::new(registry));
        Self {
            asks,
            replies,
            grants,
            leases_lost,
            switches,
            elections,
            stale,
            barred,
            blocks,
            turn,
            version,
            leads,
            lease,
            aborts,
            links: Arc::default(),
            unheard,
            frames,
            link_frames,
            link_bytes,
            requests,
            registry,
        }
    }

    /// An activation was given up.
    pub fn aborted(&self, why: &AbortReason) {
        let reason = match why {
            AbortReason::Refused(..) => "refused",
            AbortReason::Silent(_) => "silent",
            AbortReason::Operator(_) => "operator",
        };
        self.aborts.get_or_create(&[("reason", reason)]).inc();
    }

    /// Takes over what the links counted.
    fn take_links(&self) {
        let links = &self.links;
        let all = [
            (&self.frames, "what", "foreign", &links.foreign),
            (&self.frames, "what", "long", &links.too_long),
            (&self.frames, "what", "malformed", &links.malformed),
            (&self.frames, "what", "later", &links.later),
            (&self.link_frames, "way", "out", &links.frames_out),
            (&self.link_frames, "way", "in", &links.frames_in),
            (&self.link_bytes, "way", "out", &links.bytes_out),
            (&self.link_bytes, "way", "in", &links.bytes_in),
        ];
        for (family, label, value, counted) in all {
            let counter = family.get_or_create(&[(label, value)]);
            counter.inc_by(counted.load(Ordering::Relaxed).saturating_sub(counter.get()));
        }
    }

    /// Another member asked something.
    pub fn request(&self, kind: &'static str) {
        self.requests.get_or_create(&[("kind", kind)]).inc();
    }

    /// All of them as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        // Under the lock: two texts at once must not take the same over twice.
        self.take_links();
        // Writing to a text cannot fail.
        let _ = encode(&mut text, &registry);
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_counted_stands_in_the_text() {
        let metrics = Metrics::new();
        metrics.asks.inc_by(3);
        metrics.turn.set(7);
        metrics.aborted(&AbortReason::Operator("anna".into()));
        metrics.links.bytes_in.store(9, Ordering::Relaxed);
        let first = metrics.text();
        assert!(first.contains("link_bytes_total{way=\"in\"} 9\n"), "{first}");
        metrics.links.bytes_in.store(11, Ordering::Relaxed);
        let text = metrics.text();
        for line in [
            "hopwalk_fleet_asks_total 3\n",
            "hopwalk_fleet_turn 7\n",
            "aborts_total{reason=\"operator\"} 1\n",
            "hopwalk_fleet_link_bytes_total{way=\"in\"} 11\n",
        ] {
            assert!(text.contains(line), "{line} in {text}");
        }
    }
}
