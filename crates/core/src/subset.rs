//! Subset of the servers that each node uses.
//!
//! In a large fleet a node uses only some of the servers, which bounds the number of
//! connections of nodes and servers. Rendezvous hashing assigns the same number of
//! nodes to each server, with a bound on the servers of a node. Every node that knows
//! the same hosts and servers computes the same subsets. In a small fleet each node
//! uses all servers.
//!
//! Source of the bound: Mirrokni, Thorup and Zadimoghaddam, "Consistent
//! hashing with bounded loads", 2018.

use std::collections::BTreeMap;

use crate::ids::{HostName, ServerName};
use crate::rendezvous;

/// Options of subsets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Average number of servers of a node.
    ///
    /// Fleets of up to twice as many servers are not divided.
    pub servers_per_node: usize,
    /// Maximum deviation of a node from the average, as a fraction of the average.
    pub balance_ratio: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            servers_per_node: 200,
            balance_ratio: 0.14,
        }
    }
}

/// Servers of each node.
///
/// Nodes deviate from the average by at most 15 % for subsets of 20 servers and more.
///
/// # Examples
///
/// ```
/// use briarbank_core::ids::{HostName, ServerName};
/// use briarbank_core::subset::{Options, Subsets};
///
/// let hosts: Vec<HostName> = ["a", "b", "c"].map(HostName::new).to_vec();
/// let servers: Vec<ServerName> = ["e1", "e2"].map(ServerName::new).to_vec();
/// let subsets = Subsets::new(Options::default(), &hosts, &servers);
/// assert_eq!(subsets.servers(&hosts[0]).len(), 2);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subsets {
    servers: BTreeMap<HostName, Vec<ServerName>>,
    hosts_per_server: usize,
}

impl Subsets {
    /// Computes the subsets, independent of the order of the names.
    #[must_use]
    pub fn new(options: Options, hosts: &[HostName], servers: &[ServerName]) -> Self {
        let hosts_per_server = hosts_per_server(options, hosts.len(), servers.len());
        let average = (servers.len() * hosts_per_server) as f64 / hosts.len().max(1) as f64;
        let deviation = average * options.balance_ratio;
        let per_server = average / servers.len().max(1) as f64;
        let mut order: Vec<&ServerName> = servers.iter().collect();
        order.sort_unstable_by_key(|name| (rendezvous::key(name.as_str().as_bytes()), *name));
        let mut counts = vec![0_usize; hosts.len()];
        let mut assigned = vec![Vec::new(); hosts.len()];
        for (index, server) in order.into_iter().enumerate() {
            let bounds = Bounds {
                lower: per_server * (index + 1) as f64 - deviation,
                upper: average + deviation,
            };
            for host in choose_hosts(hosts, server, hosts_per_server, bounds, &counts) {
                counts[host] += 1;
                assigned[host].push(server.clone());
            }
        }
        for servers in &mut assigned {
            servers.sort_unstable();
        }
        Self {
            servers: hosts.iter().cloned().zip(assigned).collect(),
            hosts_per_server,
        }
    }

    /// Returns the servers of a node, sorted by name; none for an unknown host.
    #[must_use]
    pub fn servers(&self, host: &HostName) -> &[ServerName] {
        self.servers.get(host).map_or(&[], Vec::as_slice)
    }

    /// Number of nodes that use each server.
    #[must_use]
    pub fn hosts_per_server(&self) -> usize {
        self.hosts_per_server
    }
}

fn hosts_per_server(options: Options, hosts: usize, servers: usize) -> usize {
    if servers <= 2 * options.servers_per_node {
        return hosts;
    }
    (options.servers_per_node * hosts).div_ceil(servers)
}

/// Bounds of the server count of a node while servers are assigned.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    lower: f64,
    upper: f64,
}

impl Bounds {
    /// Ranks hosts below the lower bound highest and those at the upper bound lowest.
    fn priority(self, count: usize) -> u8 {
        let count = count as f64;
        u8::from(count < self.lower) + u8::from(count + 1.0 <= self.upper)
    }
}

/// Indices of the hosts chosen for a server.
fn choose_hosts(
    hosts: &[HostName],
    server: &ServerName,
    count: usize,
    bounds: Bounds,
    counts: &[usize],
) -> Vec<usize> {
    let key = rendezvous::key(server.as_str().as_bytes());
    let mut order: Vec<(u8, u64, &HostName, usize)> = hosts
        .iter()
        .enumerate()
        .map(|(i, host)| {
            let weight = rendezvous::weight(key, host.as_str());
            (bounds.priority(counts[i]), weight, host, i)
        })
        .collect();
    if count < order.len() {
        order.select_nth_unstable_by(count, |a, b| b.cmp(a));
        order.truncate(count);
    }
    order.into_iter().map(|(.., index)| index).collect()
}
