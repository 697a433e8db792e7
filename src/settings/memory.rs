//! How much each table may hold, by the memory limit of the process.
//!
//! The tables that clients can fill get shares of the limit: connections, keys, and the results that are kept for
//! repeats of keys. The rest is for everything else, such as requests, links and the program itself.
//!
//! The two processes of an upgrade keep to the limit together. Each has half of the connections, and keeps results in
//! half of their share. Keys are in both, so that their share counts twice.

/// What a client's connection takes at most: its buffers, and the pages of its coroutine's stack that were used.
const CONNECTION_BYTES: f64 = 40.0 * 1024.0;
/// What a key takes in the reducer and in the decision module besides its text, with the id of its run but without a
/// result.
const KEY_BYTES: usize = 640;
/// The most keys and results that are kept, whatever the limit.
const MAX_KEYS: usize = 50_000;
const MAX_RESULT_BYTES: usize = 16 << 20;
const CONNECTIONS_SHARE: f64 = 0.5;
const KEYS_SHARE: f64 = 0.13;
const RESULTS_SHARE: f64 = 0.09;

/// How much each table may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Connections of clients. The limit on descriptors may allow fewer.
    pub connections: usize,
    /// Number of idempotency keys; beyond that, requests with new keys are refused.
    pub keys: usize,
    /// Size of all keys in bytes, each counted with [`key_size`].
    pub key_bytes: usize,
    /// Size of all kept results in bytes; beyond that the oldest results are dropped, but not their keys.
    pub result_bytes: usize,
}

impl Default for MemoryBudget {
    /// The budget without a limit.
    fn default() -> Self {
        Self {
            connections: usize::MAX,
            keys: MAX_KEYS,
            key_bytes: usize::MAX,
            result_bytes: MAX_RESULT_BYTES,
        }
    }
}

impl MemoryBudget {
    /// The budget for a limit in MB; without one, [`MemoryBudget::default`].
    pub fn for_limit(memory_mb: Option<f64>) -> Self {
        let Some(memory_mb) = memory_mb else { return Self::default() };
        let bytes = memory_mb * 1024.0 * 1024.0;
        Self {
            connections: (bytes * CONNECTIONS_SHARE / CONNECTION_BYTES) as usize,
            keys: MAX_KEYS,
            key_bytes: (bytes * KEYS_SHARE) as usize,
            result_bytes: MAX_RESULT_BYTES.min((bytes * RESULTS_SHARE) as usize),
        }
    }
}

/// The memory that a key is counted with, in bytes.
pub fn key_size(key: &str) -> usize {
    KEY_BYTES + key.len()
}
