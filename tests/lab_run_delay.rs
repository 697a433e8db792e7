//! The system's books of how long a thread waited for a processor.

use hopwalk::lab::run_delay::parse;
use rstest::rstest;

#[rstest]
#[case::as_the_system_writes_it("816619518 2392999142 202\n", Some(2_392_999_142))]
#[case::of_a_kernel_that_keeps_none("0 0 0\n", Some(0))]
#[case::of_a_thread_that_ended("", None)]
#[case::no_numbers("1 x 3", None)]
fn the_wait_is_the_second_number(#[case] books: &str, #[case] waited: Option<u64>) {
    assert_eq!(parse(books), waited);
}
