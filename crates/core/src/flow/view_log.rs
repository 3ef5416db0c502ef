//! For how long other nodes may have gone on with views of the published values of their own.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::flow::peers::Peers;
use crate::flow::stream_proof::VIEW_LAG;

/// Time after which a node that was lost counts as ended.
const RETENTION: Duration = Duration::from_mins(5);

/// Least time between two losses that are kept apart; the earlier one counts for both.
const LOSS_INTERVAL: Duration = Duration::from_secs(1);

/// Time within which this node hears of each node of an earlier build, if there is any.
const BUILD_TIME: Duration = Duration::from_secs(20);

/// Losses of nodes, and nodes of earlier builds, as far as they matter for streams.
///
/// A node that is lost may be cut off, and begin streams by the shares that it knew.
#[derive(Clone, Debug, Default)]
pub(crate) struct ViewLog {
    /// When nodes were last heard of that were lost, in order.
    losses: VecDeque<Instant>,
    /// When a node was last heard of that begins streams at any version.
    unkeyed_at: Option<Instant>,
}

impl ViewLog {
    /// Returns whether a node last heard of then was not counted yet.
    pub(crate) fn is_newer(&self, heard_at: Instant) -> bool {
        self.losses
            .back()
            .is_none_or(|last| heard_at >= *last + LOSS_INTERVAL)
    }

    pub(crate) fn record_loss(&mut self, now: Instant, heard_at: Option<Instant>) {
        self.losses.extend(heard_at);
        let is_over = |at: &Instant| now.saturating_duration_since(*at) > RETENTION;
        while self.losses.front().is_some_and(is_over) {
            self.losses.pop_front();
        }
    }
}

impl Peers {
    /// Records that a node of an earlier build was heard of, which begins streams at any version.
    pub fn record_unkeyed(&mut self, now: Instant) {
        self.view_log.unkeyed_at = Some(now);
    }

    /// Returns the time in which the shares were in force that nodes can have used for streams
    /// of at most that age.
    #[must_use]
    pub fn share_time(&self, now: Instant, age_max: Duration) -> Duration {
        let first_loss = self.view_log.losses.front();
        let lost_for = first_loss.map(|at| now.saturating_duration_since(*at));
        (age_max + VIEW_LAG).max(lost_for.unwrap_or_default() + VIEW_LAG)
    }

    /// Returns when the first node was last heard of of those that were lost lately.
    pub(crate) fn earliest_loss(&self) -> Option<Instant> {
        self.view_log.losses.front().copied()
    }

    /// Returns whether all streams of that time began at the version of their key, or all nodes
    /// were told, as far as this node knows.
    #[must_use]
    pub fn has_keyed_streams(&self, now: Instant, time: Duration) -> bool {
        let unkeyed_at = self.view_log.unkeyed_at;
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= time + BUILD_TIME;
        !unkeyed_at.is_some_and(is_recent)
    }
}
