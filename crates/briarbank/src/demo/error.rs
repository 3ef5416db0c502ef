//! Errors of the demo.

use std::sync::Arc;

use quick_error::quick_error;

quick_error! {
    /// Error of the demo.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum DemoError {
        /// A signal stopped the demo early.
        Interrupted {
            display("stopped by a signal")
        }
        /// A node of the demo stopped early.
        NodeEnded {
            display("a node of the demo stopped early")
        }
        /// A call of the demo got an unexpected answer.
        UnexpectedAnswer(answer: Arc<str>) {
            display("a call of the demo got an unexpected answer: {answer}")
        }
        /// The slip did not run exactly once or its answers differ.
        UnexpectedRuns(runs: u64) {
            display("the slip ran {runs} times or its answers differ; allowed: once, with one answer")
        }
    }
}
