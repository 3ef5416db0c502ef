//! Running quantiles of positive values in constant memory.
//!
//! Values are counted in logarithmic buckets, four per factor of two. All counts are
//! halved each time the window is full. Quantiles are accurate to about a tenth of
//! their value; extremes within one window are not preserved.

const BUCKETS_PER_OCTAVE: f64 = 4.0;
const BUCKET_COUNT: usize = 128;
/// Total count at which all counts are halved.
const WINDOW: u32 = 1024;

/// Histogram with decaying counts; see the module documentation.
///
/// # Examples
///
/// ```
/// use briarbank_core::quantile::Histogram;
///
/// let mut lengths = Histogram::default();
/// for tokens in 1..=100 {
///     lengths.record(f64::from(tokens));
/// }
/// let median = lengths.quantile(0.5).unwrap();
/// assert!((40.0..60.0).contains(&median));
/// ```
#[derive(Clone, Debug)]
pub struct Histogram {
    counts: [u32; BUCKET_COUNT],
    total: u32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKET_COUNT],
            total: 0,
        }
    }
}

impl Histogram {
    /// Records one value; values below 1 count as 1.
    pub fn record(&mut self, value: f64) {
        if self.total >= WINDOW {
            self.halve();
        }
        if let Some(count) = self.counts.get_mut(bucket(value)) {
            *count += 1;
            self.total += 1;
        }
    }

    /// Number of values counted, after halving.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.total
    }

    /// Whether no value is counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }

    /// Returns the value that a fraction `ratio` of all values does not exceed.
    #[must_use]
    pub fn quantile(&self, ratio: f64) -> Option<f64> {
        self.quantile_above(ratio, 0.0)
    }

    /// Returns the quantile of the values that are at least `floor`.
    #[must_use]
    pub fn quantile_above(&self, ratio: f64, floor: f64) -> Option<f64> {
        let first = bucket(floor);
        let counts = self.counts.get(first..)?;
        let total: u32 = counts.iter().sum();
        if total == 0 {
            return None;
        }
        let rank = (f64::from(total) * ratio).ceil().max(1.0) as u32;
        let mut seen = 0;
        for (offset, count) in counts.iter().enumerate() {
            if seen + count >= rank {
                let fraction = f64::from(rank - seen) / f64::from(*count);
                return Some(
                    lower_edge(first + offset) * (1.0 - fraction)
                        + lower_edge(first + offset + 1) * fraction,
                );
            }
            seen += count;
        }
        None
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

fn bucket(value: f64) -> usize {
    let index = value.max(1.0).log2() * BUCKETS_PER_OCTAVE;
    (index as usize).min(BUCKET_COUNT - 1)
}

/// Lower edge of a bucket.
fn lower_edge(bucket: usize) -> f64 {
    (bucket as f64 / BUCKETS_PER_OCTAVE).exp2()
}
