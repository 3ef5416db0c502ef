//! What servers say of themselves in their answers.

use briarbank_core::flow::Instance;

use crate::dialect::ServerNotice;
use crate::log_lines::LineKind;
use crate::shared::SharedState;

impl SharedState {
    /// Records what a server said of itself.
    pub(crate) fn record_notice(&self, instance: &Instance, notice: ServerNotice) {
        let Some(limit_per_s) = notice.limit_per_s else {
            return;
        };
        metrics::counter!("briarbank_limited_answers_total").increment(1);
        if self.log_lines.take(LineKind::Notice) {
            tracing::info!(server = %instance.id, limit_per_s, "server: names its limit");
        }
    }
}
