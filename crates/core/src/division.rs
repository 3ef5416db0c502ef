//! Division of a limit among the nodes that share it, by computation.
//!
//! Every node that knows the same hosts computes the same parts, so that no
//! counter is held in common. The parts add up to the limit exactly. They are
//! computed anew when hosts come and go.
//!
//! What is left to the caller: which hosts it believes to take part, and what
//! a node without a part does with a call.

use crate::hosts::HostView;
use crate::ids::HostName;
use crate::rendezvous;

/// The hosts that share limits.
///
/// While this node finds more than half of the published live hosts usable,
/// these share; otherwise all published live hosts do. In a partition at most
/// one side takes over the parts of the other.
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
    /// Finds the sharers among the live hosts of a view.
    #[must_use]
    pub fn new(view: &HostView, usable: impl Fn(&HostName) -> bool) -> Self {
        let published: Vec<HostName> = view.live().map(|h| h.name.clone()).collect();
        let found: Vec<HostName> = published.iter().filter(|n| usable(n)).cloned().collect();
        let sharing_hosts = if found.len() * 2 > published.len() {
            found
        } else {
            published
        };
        Self { sharing_hosts }
    }

    /// Hosts that share, sorted by name.
    #[must_use]
    pub fn sharing_hosts(&self) -> &[HostName] {
        &self.sharing_hosts
    }

    /// The part of `host` in a limit on the thing named `name`.
    ///
    /// Parts differ by at most one. Which hosts get one more depends on the
    /// name, so that small limits do not all fall to the same hosts.
    #[must_use]
    pub fn share(&self, name: &str, limit: u64, host: &HostName) -> u64 {
        let count = self.sharing_hosts.len() as u64;
        if self.sharing_hosts.binary_search(host).is_err() {
            return 0;
        }
        let (base, rest) = (limit / count, limit % count);
        if rest == 0 {
            return base;
        }
        let key = rendezvous::key(name.as_bytes());
        let rank = |h: &HostName| (rendezvous::weight(key, h.as_str()), h.as_str().to_owned());
        let own = rank(host);
        let ahead = self.sharing_hosts.iter().filter(|h| rank(h) > own).count() as u64;
        base + u64::from(ahead < rest)
    }

    /// Hosts with the largest parts in a limit on `name`, at most `count`.
    ///
    /// A node whose part is 0 can pass a call on to one of them.
    #[must_use]
    pub fn holders(&self, name: &str, count: usize) -> Vec<&HostName> {
        let key = rendezvous::key(name.as_bytes());
        rendezvous::top(key, self.sharing_hosts.iter(), |h| h.as_str(), count)
    }
}
