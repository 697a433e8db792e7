//! Tests of stalls.

use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_signal_that_is_read_after_a_stall_may_have_been_sent_at_its_beginning() {
    let detector = StallDetector::new(ms(0));
    (0..20).for_each(|n| detector.heartbeat(ms(n * 50)));
    assert_eq!(detector.earliest_sending(ms(1_000)), ms(1_000));
    // The signal is read before the first heartbeat, and after it.
    assert_eq!(detector.earliest_sending(ms(1_700)), ms(1_000));
    detector.heartbeat(ms(1_750));
    assert_eq!(detector.earliest_sending(ms(1_760)), ms(1_000));
    (0..5).for_each(|n| detector.heartbeat(ms(1_800 + n * 50)));
    assert_eq!(detector.earliest_sending(ms(2_010)), ms(2_010), "it was sent after the stall");
}
