//! Division of a limit among the nodes that share it, without a shared counter.
//!
//! Every node that knows the same hosts computes the same shares, which add up to the
//! limit exactly. They are recomputed when hosts join or leave.
//!
//! The user of this module decides which hosts are usable, and what a node with a
//! share of 0 does with a call.

use crate::hosts::HostView;
use crate::ids::HostName;
use crate::rendezvous;

/// Hosts that share limits.
///
/// While more than half of the published live hosts are usable for this node, only
/// the usable ones share; otherwise all published live hosts do. In a network
/// partition, at most one side takes over the shares of the other.
///
/// # Examples
///
/// ```
/// use briarbank_core::division::Division;
/// use briarbank_core::hosts::{Host, HostState, HostView};
/// use briarbank_core::ids::{HostName, Revision};
///
/// let names = ["a", "b", "c"];
/// let hosts = names.map(|name| Host {
///     name: name.into(),
///     zone: "recife".into(),
///     peer_address: "10.0.0.1:7000".parse().unwrap(),
///     state: HostState::Live,
/// });
/// let view = HostView::new(Revision(1), hosts.to_vec());
/// let division = Division::new(&view, |_| true);
/// let shares = names.map(|name| division.share("engine-1", 32, &name.into()));
/// assert_eq!(shares.iter().sum::<u64>(), 32);
/// assert!(shares.iter().all(|share| (10..=11).contains(share)));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Division {
    sharing_hosts: Vec<HostName>,
}

impl Division {
    /// Selects the sharing hosts among the live hosts of a view.
    #[must_use]
    pub fn new(view: &HostView, is_usable: impl Fn(&HostName) -> bool) -> Self {
        let live: Vec<HostName> = view.live().map(|h| h.name.clone()).collect();
        let usable: Vec<HostName> = live.iter().filter(|n| is_usable(n)).cloned().collect();
        let sharing_hosts = if usable.len() * 2 > live.len() {
            usable
        } else {
            live
        };
        Self { sharing_hosts }
    }

    /// Sharing hosts, sorted by name.
    #[must_use]
    pub fn sharing_hosts(&self) -> &[HostName] {
        &self.sharing_hosts
    }

    /// Returns the share of `host` in the limit on `name`.
    ///
    /// Shares differ by at most one. Which hosts get one more depends on the name, so
    /// that small limits are not all assigned to the same hosts.
    #[must_use]
    pub fn share(&self, name: &str, limit: u64, host: &HostName) -> u64 {
        let count = self.sharing_hosts.len() as u64;
        if self.sharing_hosts.binary_search(host).is_err() {
            return 0;
        }
        let (base, remainder) = (limit / count, limit % count);
        if remainder == 0 {
            return base;
        }
        let key = rendezvous::key(name.as_bytes());
        let rank = |h: &HostName| (rendezvous::weight(key, h.as_str()), h.as_str().to_owned());
        let own_rank = rank(host);
        let higher = self
            .sharing_hosts
            .iter()
            .filter(|h| rank(h) > own_rank)
            .count() as u64;
        base + u64::from(higher < remainder)
    }

    /// Returns up to `count` hosts with the largest shares in the limit on `name`.
    ///
    /// A node whose share is 0 can forward a call to one of them.
    #[must_use]
    pub fn holders(&self, name: &str, count: usize) -> Vec<&HostName> {
        let key = rendezvous::key(name.as_bytes());
        rendezvous::top(key, self.sharing_hosts.iter(), |h| h.as_str(), count)
    }
}
