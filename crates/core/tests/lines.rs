//! Properties of the log line budget.

use briarbank_core::log_budget::LogLineBudget;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// No period writes more than its budget, and every line is written or counted.
    #[test]
    fn lines_are_bounded_and_left_out_lines_are_counted(
        lines_max in 0_u32..50,
        periods in prop::collection::vec(0_u32..200, 1..10),
    ) {
        let mut budget = LogLineBudget::new(lines_max);
        for lines in periods {
            let written = (0..lines).filter(|_| budget.try_take()).count() as u32;
            prop_assert_eq!(written, lines.min(lines_max));
            prop_assert_eq!(budget.end_period(), lines - written);
        }
    }
}
