//! Recent times of calls by route and size, in little memory.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

const BUCKETS_PER_OCTAVE: f64 = 4.0;

/// Number of buckets: 16 octaves, from 1 ms to 65 s.
const BUCKET_COUNT: usize = 64;

/// Count at which all counts are halved, so that old times lose their weight.
const WINDOW: u32 = 200;

/// Times without which no quantile is known.
///
/// Fewer have no value beyond their 0.95 quantile.
const SAMPLES_MIN: u32 = 20;

/// Time after which the times of a kind that has no further calls are out of date.
const RETENTION: Duration = Duration::from_mins(1);

/// Largest number of kinds; the one that was unused for longest gives way.
const KINDS_MAX: usize = 1_024;

/// Calls whose times are comparable.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallKind {
    /// Name of the route.
    pub route: Arc<str>,
    /// Size of the prompt or of the body, in powers of four.
    pub size_class: u8,
}

impl CallKind {
    /// Returns the kind of a call with a prompt of that many tokens, or a body of that many bytes.
    #[must_use]
    pub fn new(route: &Arc<str>, size: u64) -> Self {
        let octave = u64::BITS - size.leading_zeros();
        Self {
            route: Arc::clone(route),
            size_class: octave.div_ceil(2) as u8,
        }
    }
}

/// Histogram of the recent times of one kind.
#[derive(Clone, Debug)]
pub(crate) struct Times {
    counts: [u8; BUCKET_COUNT],
    total: u32,
    used_at: Instant,
}

impl Times {
    fn new(now: Instant) -> Self {
        Self {
            counts: [0; BUCKET_COUNT],
            total: 0,
            used_at: now,
        }
    }

    fn record(&mut self, now: Instant, time: Duration) {
        self.used_at = now;
        if self.total >= WINDOW {
            for count in &mut self.counts {
                *count /= 2;
            }
            self.total = self.counts.iter().map(|c| u32::from(*c)).sum();
        }
        if let Some(count) = self.counts.get_mut(bucket(time)) {
            *count = count.saturating_add(1);
            self.total += 1;
        }
    }

    /// Returns the time that a fraction of all times does not exceed.
    pub(crate) fn quantile(&self, ratio: f64) -> Option<Duration> {
        self.quantile_from(0, ratio)
    }

    /// Returns the median of the times that are clearly longer than `floor`.
    pub(crate) fn median_above(&self, floor: Duration) -> Option<Duration> {
        self.quantile_from(bucket(floor) + 1, 0.5)
    }

    fn quantile_from(&self, first: usize, ratio: f64) -> Option<Duration> {
        let counts = self.counts.get(first..)?;
        let total: u32 = counts.iter().map(|c| u32::from(*c)).sum();
        let rank = (f64::from(total) * ratio).ceil().max(1.0) as u32;
        let mut seen = 0;
        for (offset, count) in counts.iter().enumerate() {
            let count = u32::from(*count);
            if seen + count >= rank {
                let fraction = f64::from(rank - seen) / f64::from(count);
                let exponent = ((first + offset) as f64 + fraction) / BUCKETS_PER_OCTAVE;
                return Some(Duration::from_secs_f64(exponent.exp2() / 1_000.0));
            }
            seen += count;
        }
        None
    }

    fn is_known(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.used_at);
        self.total >= SAMPLES_MIN && age < RETENTION
    }
}

/// Recent times of calls by their kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallTimes {
    kinds: HashMap<CallKind, Times>,
}

impl CallTimes {
    pub(crate) fn record(&mut self, now: Instant, kind: &CallKind, time: Duration) {
        if let Some(times) = self.kinds.get_mut(kind) {
            times.record(now, time);
            return;
        }
        if self.kinds.len() >= KINDS_MAX {
            let oldest = self.kinds.iter().min_by_key(|(_, times)| times.used_at);
            let oldest = oldest.map(|(kind, _)| kind.clone());
            oldest.and_then(|kind| self.kinds.remove(&kind));
        }
        let times = self.kinds.entry(kind.clone());
        times.or_insert_with(|| Times::new(now)).record(now, time);
    }

    /// Returns the times of a kind if enough of them are recent.
    pub(crate) fn get(&self, now: Instant, kind: &CallKind) -> Option<&Times> {
        self.kinds.get(kind).filter(|times| times.is_known(now))
    }

    /// Iterates over the kinds of which enough recent times are known.
    pub(crate) fn known(&self, now: Instant) -> impl Iterator<Item = (&CallKind, &Times)> {
        self.kinds
            .iter()
            .filter(move |(_, times)| times.is_known(now))
    }
}

fn bucket(time: Duration) -> usize {
    let ms = time.as_secs_f64() * 1_000.0;
    ((ms.max(1.0).log2() * BUCKETS_PER_OCTAVE) as usize).min(BUCKET_COUNT - 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against quantiles that old times or a wrong bucket move.
    #[test]
    fn quantiles_follow_the_recent_times() {
        let now = Instant::now();
        let mut times = Times::new(now);
        for ms in 1..=100 {
            times.record(now, Duration::from_millis(ms));
        }
        let quantile = times.quantile(0.95).unwrap().as_millis();
        assert!((85..=115).contains(&quantile), "{quantile}");
        let above = times.median_above(Duration::from_millis(60)).unwrap();
        assert!((70..=105).contains(&above.as_millis()), "{above:?}");
        assert!(times.median_above(Duration::from_secs(1)).is_none());
        for _ in 0..2_000 {
            times.record(now, Duration::from_millis(4));
        }
        let quantile = times.quantile(0.95).unwrap().as_millis();
        assert!(quantile <= 5, "{quantile}");
    }

    /// Guards against a table that grows with the number of routes.
    #[test]
    fn the_table_is_bounded() {
        let now = Instant::now();
        let mut times = CallTimes::default();
        for index in 0..3 * KINDS_MAX as u64 {
            let kind = CallKind::new(&index.to_string().into(), index);
            times.record(now + Duration::from_millis(index), &kind, RETENTION);
        }
        assert_eq!(times.kinds.len(), KINDS_MAX);
        assert!(size_of::<Times>() <= 96);
    }
}
