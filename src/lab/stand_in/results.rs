//! The results that runs made, so that the load tool can tell whether an answer carries one of them.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};

/// The results of all runs of a lab.
#[derive(Clone, Debug, Default)]
pub struct Results(Arc<Mutex<HashSet<Vec<u8>>>>);

impl Results {
    /// The beginning of each result of a run with this body.
    const HEAD: &'static [u8] = b"made:";

    /// Makes the result of a run from its body; the replies to its calls follow.
    pub(super) fn begin(body: &[u8]) -> Vec<u8> {
        [Self::HEAD, body].concat()
    }

    /// Records a result.
    pub fn record(&self, result: &[u8]) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(result.to_vec());
    }

    /// Whether a run with this body made this result.
    pub fn has(&self, body: &[u8], result: &[u8]) -> bool {
        result.starts_with(&Self::begin(body))
            && self.0.lock().unwrap_or_else(PoisonError::into_inner).contains(result)
    }
}
