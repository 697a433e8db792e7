//! The metrics of the fleet's routes, in the OpenMetrics text format for Prometheus. Every matcher has the same
//! counters. They start at 0 with each process.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::routes::record::AbortReason;
use super::wire::Counters;

/// A counter with one label. The name of the label is fixed per counter, and its values are constants of the program.
type LabelledCounter = Family<[(&'static str, &'static str); 1], Counter>;

/// The counters and gauges. A clone shares them.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub struct Metrics {
    pub asks: Counter,
    pub replies: Counter,
    pub grants: Counter,
    pub leases_lost: Counter,
    pub switches: Counter,
    pub elections: Counter,
    pub stale_calls: Counter,
    pub barred_calls: Counter,
    pub closed_blocks: Counter,
    pub turn: Gauge<u64, AtomicU64>,
    pub version: Gauge<u64, AtomicU64>,
    pub is_leader: Gauge,
    pub lease_held: Gauge,
    aborts: LabelledCounter,
    /// The counters of the links, which [`Metrics::render`] takes over.
    pub links: Arc<Counters>,
    /// Voters that are not in reach in both directions.
    pub unreachable_voters: Gauge,
    dropped_frames: LabelledCounter,
    link_frames: LabelledCounter,
    link_bytes: LabelledCounter,
    requests: LabelledCounter,
    registry: Arc<Mutex<Registry>>,
}

impl Metrics {
    /// Creates the metrics, all of them 0.
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
        let stale_calls = counter("stale_calls", "Calls that a service refused as of an older turn");
        let barred_calls = counter("barred_calls", "Looks at a call that had no lease to go out under");
        let closed_blocks = counter("experiment_blocks", "Blocks of experiments that this member closed");
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::<i64, std::sync::atomic::AtomicI64>::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let is_leader = gauge("leads", "1 while this member leads");
        let lease_held = gauge("lease_held", "1 while this member has a lease");
        let unreachable_voters = gauge("voters_unheard", "Voters out of reach; 0 is the posture whole");
        let mut unsigned_gauge = |name: &str, help: &str| {
            let gauge = Gauge::<u64, AtomicU64>::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let turn = unsigned_gauge("turn", "The turn in force here");
        let version = unsigned_gauge("version", "The route version in force here");
        let mut labelled = |name: &str, help: &str| {
            let family = LabelledCounter::default();
            registry.register(name, help, family.clone());
            family
        };
        let aborts = labelled("aborts", "Activations that were given up while this member led, by reason");
        let dropped_frames = labelled("frames_dropped", "Frames that were not taken, by what was wrong");
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
            stale_calls,
            barred_calls,
            closed_blocks,
            turn,
            version,
            is_leader,
            lease_held,
            aborts,
            links: Arc::default(),
            unreachable_voters,
            dropped_frames,
            link_frames,
            link_bytes,
            requests,
            registry,
        }
    }

    /// Counts an activation that was aborted.
    pub fn count_abort(&self, why: &AbortReason) {
        let reason = match why {
            AbortReason::Refused(..) => "refused",
            AbortReason::Silent(_) => "silent",
            AbortReason::Operator(_) => "operator",
        };
        self.aborts.get_or_create(&[("reason", reason)]).inc();
    }

    /// Takes over the counters of the links.
    fn update_link_counters(&self) {
        let links = &self.links;
        let counters = [
            (&self.dropped_frames, "what", "foreign", &links.foreign),
            (&self.dropped_frames, "what", "long", &links.too_long),
            (&self.dropped_frames, "what", "malformed", &links.malformed),
            (&self.dropped_frames, "what", "later", &links.later),
            (&self.link_frames, "way", "out", &links.frames_out),
            (&self.link_frames, "way", "in", &links.frames_in),
            (&self.link_bytes, "way", "out", &links.bytes_out),
            (&self.link_bytes, "way", "in", &links.bytes_in),
        ];
        for (family, label, value, total) in counters {
            let counter = family.get_or_create(&[(label, value)]);
            counter.inc_by(total.load(Ordering::Relaxed).saturating_sub(counter.get()));
        }
    }

    /// Counts a request of another member.
    pub fn count_request(&self, kind: &'static str) {
        self.requests.get_or_create(&[("kind", kind)]).inc();
    }

    /// All metrics in the text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        // Under the lock, so that two concurrent calls do not add the same increments twice.
        self.update_link_counters();
        // Writing to a `String` cannot fail.
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
    fn all_counts_are_rendered() {
        let metrics = Metrics::new();
        metrics.asks.inc_by(3);
        metrics.turn.set(7);
        metrics.count_abort(&AbortReason::Operator("anna".into()));
        metrics.links.bytes_in.store(9, Ordering::Relaxed);
        let first = metrics.render();
        assert!(first.contains("link_bytes_total{way=\"in\"} 9\n"), "{first}");
        metrics.links.bytes_in.store(11, Ordering::Relaxed);
        let text = metrics.render();
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
