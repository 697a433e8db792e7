//! The site that a lab's matchers serve, and what a scenario sets of it.

/// The site as it is without changes.
pub const SITE: &str = include_str!("site.json");
/// The deadline of its classes, and their aim, in microseconds.
const GIVE_UP_US: u64 = 4_500_000;
const PROMISE_US: u64 = 1_800_000;
/// Its class whose requests become `at_most_once` where a scenario asks for classes of every effect.
pub const AT_MOST_ONCE_CLASS: &str = "queue-prefs";

/// What a scenario sets of the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SiteOptions {
    /// The time from the notice to leave to the kill, as the matchers are told.
    pub stop_ms: u64,
    /// The deadline of all classes, where it is another than the site's.
    pub give_up_ms: Option<u64>,
    /// There are classes of every effect: reads, keyed ones, and one whose requests run at most once.
    pub every_effect: bool,
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self { stop_ms: 3_200, give_up_ms: None, every_effect: false }
    }
}

impl SiteOptions {
    /// The settings as JSON.
    pub fn settings(&self) -> String {
        let mut site = SITE.to_string();
        if let Some(give_up_us) = self.give_up_ms.map(|ms| ms * 1_000) {
            let set = |site: String, key: &str, from: u64, to: u64| {
                site.replace(&format!("\"{key}\": {from}"), &format!("\"{key}\": {to}"))
            };
            site = set(site, "give_up_us", GIVE_UP_US, give_up_us);
            site = set(site, "promise_us", PROMISE_US, PROMISE_US.min(give_up_us));
        }
        if self.every_effect {
            if let Some((before, class)) = site.split_once(AT_MOST_ONCE_CLASS) {
                let class = class.replacen("idempotent", "at_most_once", 1);
                site = format!("{before}{AT_MOST_ONCE_CLASS}{class}");
            }
        }
        site
    }

    /// Requests of a class run at most once, whatever their key.
    pub fn runs_at_most_once(&self, class: &str) -> bool {
        self.every_effect && class == AT_MOST_ONCE_CLASS
    }

    /// From the notice to leave to the earliest kill that the operators' terms allow, in milliseconds.
    pub fn earliest_kill_ms(&self) -> u64 {
        let longest = self.give_up_ms.unwrap_or(GIVE_UP_US / 1_000);
        longest.min(3_000) + 700
    }
}
