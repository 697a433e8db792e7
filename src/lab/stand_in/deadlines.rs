//! When the requests of the lab are over.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// When each request of the lab is over, by its id (which is the handle of its launch): the load tool writes,
/// the agents read. Bounded: entries long past are dropped as new ones come.
#[derive(Clone, Default)]
pub struct Deadlines(Arc<Mutex<HashMap<String, Instant>>>);

/// Deadlines kept at most.
pub const MOST_DEADLINES: usize = 200_000;

impl Deadlines {
    pub fn insert(&self, id: &str, over: Instant) {
        let mut all = self.0.lock().unwrap();
        if all.len() >= MOST_DEADLINES {
            let now = Instant::now();
            all.retain(|_, at| *at + Duration::from_secs(60) > now);
        }
        if all.len() < MOST_DEADLINES {
            all.insert(id.to_string(), over);
        }
    }

    /// When a request is over, if that is known.
    pub fn of(&self, id: &str) -> Option<Instant> {
        self.0.lock().unwrap().get(id).copied()
    }
}
