//! Why the demo did not show what it should.

use std::sync::Arc;

use quick_error::quick_error;

quick_error! {
    /// Why the demo did not show what it should.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum DemoError {
        /// A signal came before the demo was over.
        Interrupted {
            display("stopped by a signal")
        }
        /// A node of the demo ended before its time.
        NodeEnded {
            display("a node of the demo ended before its time")
        }
        /// A call of the demo was not answered as promised.
        UnexpectedAnswer(answer: Arc<str>) {
            display("a call of the demo was not answered as promised: {answer}")
        }
        /// The slip of the demo did not run exactly once.
        UnexpectedRuns(runs: u64) {
            display("the slip ran {runs} times or its answers differ; allowed: once, with one answer")
        }
    }
}
