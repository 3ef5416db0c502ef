//! Invariants of the router over random histories.

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::history::{History, steps};

const CASES: u32 = 1_000;
const STEPS_MAX: usize = 120;
const SEED: [u8; 32] = *b"briarbank router histories 00001";

#[test]
fn histories_preserve_the_invariants() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&steps(STEPS_MAX), |steps| {
        let mut history = History::new();
        for step in &steps {
            history.step(step);
        }
        history.finish();
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}\n{runner}");
    }
    println!("histories: {CASES} cases, seed {SEED:?}");
}
