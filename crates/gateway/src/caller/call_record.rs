//! Log line and metrics of a call, written when it ends for any reason.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use briarbank_core::flow::PeerView;
use briarbank_core::ids::ServerName;

use crate::caller::request::Admitted;
use crate::log_lines::{LineKind, LogLines};

/// Data of a call that is logged when it ends.
#[derive(Debug)]
pub(crate) struct CallRecord {
    pub(crate) id: Arc<str>,
    pub(crate) route: Arc<str>,
    /// Urgency, 0 is the most urgent.
    pub(crate) urgency: u8,
    /// Version of the configuration that was applied.
    pub(crate) version: u64,
    /// The node's view of its peers when the call arrived.
    pub(crate) view: PeerView,
    pub(crate) began_at: Instant,
    pub(crate) first_ms: Option<u64>,
    /// Longest pause between two chunks of the answer.
    pub(crate) pause_ms: u64,
    last_at: Option<Instant>,
    pub(crate) server: Option<ServerName>,
    /// Expected time to the first bytes when the last server was chosen.
    pub(crate) expected_ms: Option<u64>,
    /// Number of sends that reached a server or may have.
    pub(crate) sends: u32,
    /// Reason of the last failure.
    pub(crate) failure_reason: Option<String>,
    /// Status of the answer to the caller, 0 while there is none.
    pub(crate) status: u16,
    /// Whether the answer is complete.
    pub(crate) is_whole: bool,
    log_lines: Rc<LogLines>,
}

impl CallRecord {
    /// Creates the record of a call that has just started.
    pub(crate) fn new(
        admitted: &Admitted,
        urgency: u8,
        view: PeerView,
        began_at: Instant,
        log_lines: &Rc<LogLines>,
    ) -> Self {
        Self {
            id: Arc::clone(&admitted.head.id),
            route: Arc::clone(&admitted.route.name),
            urgency,
            version: admitted.table.version(),
            view,
            began_at,
            first_ms: None,
            pause_ms: 0,
            last_at: None,
            server: None,
            expected_ms: None,
            sends: 0,
            failure_reason: None,
            status: 0,
            is_whole: false,
            log_lines: Rc::clone(log_lines),
        }
    }

    /// Marks the answer as complete.
    pub(crate) fn complete(&mut self) {
        self.is_whole = true;
    }

    /// Records the time to the first bytes of the answer.
    pub(crate) fn first(&mut self) {
        let ms = self.began_at.elapsed().as_millis() as u64;
        self.first_ms.get_or_insert(ms);
    }

    /// Updates the longest pause with a further chunk of the answer.
    pub(crate) fn add_chunk(&mut self) {
        let now = Instant::now();
        let pause = self.last_at.replace(now).map(|at| now - at);
        let pause_ms = pause.map_or(0, |pause| pause.as_millis() as u64);
        self.pause_ms = self.pause_ms.max(pause_ms);
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        let outcome = match (self.status, self.is_whole) {
            (0, _) => "caller left",
            (200..300, true) => "served",
            (200..300, false) => "cut",
            (429 | 503, _) => "refused",
            _ => "failed",
        };
        let whole_s = self.began_at.elapsed().as_secs_f64();
        metrics::counter!("briarbank_calls_total", "outcome" => outcome).increment(1);
        metrics::histogram!("briarbank_call_seconds", "outcome" => outcome).record(whole_s);
        let kind = if outcome == "served" {
            LineKind::Served
        } else {
            LineKind::Unserved
        };
        if !self.log_lines.take(kind) {
            return;
        }
        let server = self.server.as_ref().map_or("-", ServerName::as_str);
        let failure_reason = self.failure_reason.as_deref().unwrap_or("-");
        tracing::info!(
            id = %self.id, route = %self.route, rank = self.urgency, version = self.version,
            nodes = self.view.nodes, heard = self.view.reporting_peers, view_ms = self.view.mean_age.as_millis() as u64,
            server, expected_ms = self.expected_ms, sends = self.sends, status = self.status, outcome, trouble = failure_reason,
            first_ms = self.first_ms, pause_ms = self.pause_ms, whole_ms = (whole_s * 1_000.0) as u64,
            "call: ended"
        );
    }
}
