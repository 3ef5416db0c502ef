//! All nodes together stay within the retry budget in every window.

use std::time::{Duration, Instant};

use briarbank_core::flow::{RetryOptions, SlidingRetryBudget};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(13), ..ProptestConfig::with_cases(500) })]

    /// No sliding window has too many retries, whatever calls and retries nodes make.
    #[test]
    fn no_window_exceeds_the_budget(
        nodes in 1_usize..9,
        steps in prop::collection::vec((0_usize..9, 0_u64..400, 0_u32..4), 50..400),
    ) {
        let options = RetryOptions {
            window: Duration::from_secs(10),
            ratio: 0.2,
            extra: 56.0,
            ..RetryOptions::default()
        };
        let start = Instant::now();
        let mut now = start;
        let mut budgets = vec![SlidingRetryBudget::new(options); nodes];
        let (mut calls, mut retries) = (Vec::new(), Vec::new());
        for (node, pause_ms, wanted) in steps {
            now += Duration::from_millis(pause_ms);
            let budget = &mut budgets[node % nodes];
            budget.record_call(now);
            calls.push(now);
            retries.extend((0..wanted).filter(|_| budget.withdraw(now, nodes)).map(|_| now));
        }
        for end in &retries {
            let from = end.checked_sub(options.window).unwrap_or(start).max(start);
            let within = |times: &[Instant]| times.iter().filter(|t| **t >= from && *t <= end).count() as f64;
            let allowed = options.ratio * within(&calls) + options.extra;
            prop_assert!(within(&retries) <= allowed);
        }
    }
}
