//! Assignment of subjects to arms by weighted rendezvous hashing (Thaler and Ravishankar, 1998; Schindelhauer and
//! Schomaker, "Weighted distributed hash tables", 2005) with SipHash-2-4 (Aumasson and Bernstein, 2012), keyed by the
//! salt. Nothing is stored: the same document gives the same assignment at every matcher and after every restart.

use std::hash::Hasher;

use siphasher::sip::SipHasher24;

use super::Experiment;

/// The index of the arm of `subject`. The time is linear in the number of arms and the subject's length.
///
/// If one arm's share changes and the others keep their proportions, subjects move either only to that arm or only away
/// from it. With two arms, every change moves the minimal number of subjects. If share is shifted between two of three
/// or more arms, some subjects also move to or from the other arms; keep the other shares in proportion to avoid this.
pub fn arm(experiment: &Experiment, subject: &[u8]) -> usize {
    let mut best = (0, f64::NEG_INFINITY);
    for (index, arm) in experiment.arms.iter().enumerate() {
        let mut hasher = SipHasher24::new_with_keys(experiment.salt[0], experiment.salt[1]);
        // The length prefix separates the name from the subject.
        hasher.write(&(arm.name.len() as u64).to_le_bytes());
        hasher.write(arm.name.as_bytes());
        hasher.write(subject);
        // In (0, 1): 52 bits plus one half, so that the logarithm is neither 0 nor infinite.
        let uniform = ((hasher.finish() >> 12) as f64 + 0.5) / (1u64 << 52) as f64;
        let score = arm.share / -uniform.ln();
        if score > best.1 {
            best = (index, score);
        }
    }
    best.0
}
