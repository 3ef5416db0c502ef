//! Least and largest shares of versions in some time, and the version of a stream's key.
//!
//! Source: Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::flow::stream_directory::StreamKey;
use crate::flow::version::VersionKey;
use crate::rendezvous;

/// Versions of a service up to which streams have the version of their key.
///
/// Servers that publish no version count as one each, and a stream must not depend on one.
pub(crate) const VERSIONS_MAX: usize = 4;

/// Least and largest share of a version, in slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionShare {
    /// The version.
    pub version: VersionKey,
    /// Least share; 0 if it had no servers for a while.
    pub least: u32,
    /// Largest share.
    pub most: u32,
}

/// All shares that were in force in some time.
///
/// # Examples
///
/// ```
/// use briarbank_core::flow::{Instance, ShareSpan, StreamKey, VersionShare};
///
/// let share = |version: &str| {
///     let instance = Instance {
///         id: "m".into(),
///         born_ms: 0,
///         service: "models".into(),
///         version: version.into(),
///         address: "10.1.0.2:8000".parse().unwrap(),
///         zone: "zone-a".into(),
///         slots: 8,
///         is_draining: false,
///         cold_ms: 0,
///     };
///     VersionShare { version: instance.version_key(), least: 8, most: 8 }
/// };
/// let stream = StreamKey::new(None, "call-1");
/// let mut span = ShareSpan::default();
/// span.add(&[share("v1")]);
/// assert_eq!(span.version_of(stream), Some(share("v1").version));
/// span.add(&[share("v2")]);
/// assert_eq!(span.version_of(stream), None, "it may have begun at either");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShareSpan {
    shares: BTreeMap<VersionKey, (u32, u32)>,
    has_too_many: bool,
}

impl ShareSpan {
    /// Adds shares that were in force; none if no stream could begin.
    pub fn add(&mut self, shares: &[VersionShare]) {
        if shares.is_empty() || self.has_too_many {
            return;
        }
        let is_first = self.shares.is_empty();
        for (version, (least, _)) in &mut self.shares {
            if !shares.iter().any(|share| share.version == *version) {
                *least = 0;
            }
        }
        for share in shares {
            let before = if is_first { share.least } else { 0 };
            let range = self.shares.entry(share.version);
            let (least, most) = range.or_insert((before, share.most));
            *least = share.least.min(*least);
            *most = share.most.max(*most);
        }
        if self.shares.len() > VERSIONS_MAX {
            self.add_too_many();
        }
    }

    /// Adds shares of more versions than keys may lead to.
    pub(crate) fn add_too_many(&mut self) {
        self.has_too_many = true;
        self.shares.clear();
    }

    /// Adds all shares of another span.
    pub fn add_span(&mut self, other: &Self) {
        if other.has_too_many {
            self.add_too_many();
        }
        self.add(&other.shares());
    }

    /// Returns the version that a stream with this key has under all of the shares.
    #[must_use]
    pub fn version_of(&self, stream: StreamKey) -> Option<VersionKey> {
        let score = |version: VersionKey, share| score(stream, version, share);
        let worst = self
            .shares
            .iter()
            .map(|(v, (least, _))| (score(*v, *least), *v));
        let (worst, winner) = worst.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let mut others = self.shares.iter().filter(|(other, _)| **other != winner);
        let is_certain = others.all(|(other, (_, most))| worst < score(*other, *most));
        (is_certain && worst.is_finite()).then_some(winner)
    }

    /// Returns whether streams may have begun at several versions, not too many for keys.
    #[must_use]
    pub fn has_several(&self) -> bool {
        self.shares.len() > 1
    }

    /// Returns the shares, none if there were too many versions.
    #[must_use]
    pub fn shares(&self) -> Vec<VersionShare> {
        let share = |(version, (least, most)): (&VersionKey, &(u32, u32))| VersionShare {
            version: *version,
            least: *least,
            most: *most,
        };
        self.shares.iter().map(share).collect()
    }
}

/// Returns the time at which a version finishes in the race for a stream, which the first wins.
fn score(stream: StreamKey, version: VersionKey, share: u32) -> f64 {
    let hash = rendezvous::weight_of(stream.order_key(), version.order_key());
    // Above 0, so that the logarithm is finite.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(share)
}
