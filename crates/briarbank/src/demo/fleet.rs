//! Stand-ins and nodes of the demo, all in this process.

use std::net::SocketAddr;
use std::time::Duration;

use briarbank_config::HostsDocument;
use briarbank_core::conf::Key;
use briarbank_core::hosts::HostState;
use briarbank_core::ids::HostName;
use briarbank_standin::StandinHandle;
use bytes::Bytes;
use http::Method;
use serde::Serialize;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::documents;
use super::error::DemoError;
use super::ports::{NodePorts, free_ports};
use crate::Error;
use crate::operator::OperatorPort;
use crate::publish::{Document, publish};

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL: Duration = Duration::from_millis(50);

/// A node of the demo.
#[derive(Clone, Debug)]
pub(super) struct DemoNode {
    pub(super) host: HostName,
    pub(super) caller: SocketAddr,
    pub(super) operator: SocketAddr,
}

/// Stand-ins and two nodes.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) nodes: Vec<DemoNode>,
    pub(super) hosts: HostsDocument,
    pub(super) service: SocketAddr,
    platform: SocketAddr,
    standins: Vec<StandinHandle>,
    tasks: JoinSet<Result<(), briarbank_node::Error>>,
    stop_nodes: watch::Sender<bool>,
    stop_standins: watch::Sender<bool>,
}

impl Fleet {
    /// Starts the stand-ins, publishes the documents and starts the nodes.
    pub(super) async fn start() -> Result<Self, Error> {
        let stop_nodes = watch::Sender::new(false);
        let stop_standins = watch::Sender::new(false);
        let stop_signal = || stop_signal(&stop_standins);
        let platform =
            briarbank_standin::start_platform(documents::platform_settings(), stop_signal())
                .await?;
        let engine =
            briarbank_standin::start_engine(documents::engine_settings(), stop_signal()).await?;
        let service =
            briarbank_standin::start_service(documents::service_settings(), stop_signal()).await?;
        let ports = free_ports()?;
        let hosts = documents::hosts(&ports);
        let servers = documents::servers(engine.address(), service.address());
        publish_json(platform.address(), Key::Config, &documents::config()).await?;
        publish_json(platform.address(), Key::Servers, &servers).await?;
        publish_json(platform.address(), Key::Hosts, &hosts).await?;
        let mut tasks = JoinSet::new();
        let settings = documents::node_settings(&ports, platform.address());
        let nodes = settings
            .iter()
            .zip(&ports)
            .map(|(s, p)| demo_node(&s.host, p));
        let nodes = nodes.collect();
        for settings in settings {
            tasks.spawn(briarbank_node::run(
                settings,
                self::stop_signal(&stop_nodes),
            ));
        }
        Ok(Self {
            nodes,
            hosts,
            service: service.address(),
            platform: platform.address(),
            standins: vec![platform, engine, service],
            tasks,
            stop_nodes,
            stop_standins,
        })
    }

    /// Waits until all nodes are ready for callers.
    pub(super) async fn wait_ready(&mut self) -> Result<(), Error> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let mut waiting = self.nodes.clone();
        while let Some(node) = waiting.last() {
            if let Some(ended) = self.tasks.try_join_next() {
                ended??;
                return Err(DemoError::NodeEnded.into());
            }
            let operator = OperatorPort {
                address: node.operator,
                settings: None,
            };
            match operator.call(Method::GET, "/ready", Bytes::new()).await {
                Ok(_) => {
                    waiting.pop();
                }
                Err(error) if Instant::now() > deadline => return Err(error),
                Err(_) => sleep(READY_POLL).await,
            }
        }
        Ok(())
    }

    /// Shuts the nodes down gracefully, then the stand-ins, and joins all.
    ///
    /// Marks the hosts as leaving first, as operators do.
    pub(super) async fn stop(mut self) -> Result<(), Error> {
        for host in &mut self.hosts.hosts {
            host.state = HostState::Leaving;
        }
        let mut result = publish_json(self.platform, Key::Hosts, &self.hosts).await;
        self.stop_nodes.send_replace(true);
        while let Some(ended) = self.tasks.join_next().await {
            result = result.and(ended.map_err(Error::from).and_then(|r| Ok(r?)));
        }
        self.stop_standins.send_replace(true);
        for standin in self.standins {
            standin.join().await;
        }
        result
    }
}

fn demo_node(host: &HostName, ports: &NodePorts) -> DemoNode {
    DemoNode {
        host: host.clone(),
        caller: ports.caller,
        operator: ports.operator,
    }
}

fn stop_signal(stop: &watch::Sender<bool>) -> impl Future<Output = ()> + Send + 'static {
    let mut stop = stop.subscribe();
    async move {
        // A dropped sender also stops the process.
        let _ = stop.wait_for(|stop| *stop).await;
    }
}

async fn publish_json(
    address: SocketAddr,
    key: Key,
    document: &impl Serialize,
) -> Result<(), Error> {
    let body = serde_json::to_vec(document).map_err(|e| Error::InvalidJson(address, e))?;
    let body = Bytes::from(body);
    publish(address, Document { key, body }).await
}
