//! Subcommands that run until a shutdown signal.

use std::path::Path;

use briarbank_config::{EngineSettings, NodeSettings, PlatformSettings, ServiceSettings};
use tokio::runtime::{Builder, Runtime};

use crate::Error;
use crate::publish::{DocumentFiles, publish};
use crate::signal::shutdown_signal;

pub(crate) fn runtime() -> Result<Runtime, Error> {
    Ok(Builder::new_multi_thread().enable_all().build()?)
}

/// Runs a router node.
///
/// # Errors
///
/// Invalid settings, or a node that can't run.
pub fn node(path: &Path) -> Result<(), Error> {
    let settings: NodeSettings = briarbank_config::load(path)?;
    runtime()?.block_on(async {
        Box::pin(briarbank_node::run(settings, shutdown_signal()?)).await?;
        Ok(())
    })
}

/// Runs the platform stand-in and publishes its initial documents.
///
/// # Errors
///
/// Invalid settings or documents, or a stand-in that can't run.
pub fn platform(path: &Path, documents: &DocumentFiles) -> Result<(), Error> {
    let settings: PlatformSettings = briarbank_config::load(path)?;
    let documents = documents.read_documents()?;
    runtime()?.block_on(async {
        let running = briarbank_standin::start_platform(settings, shutdown_signal()?).await?;
        for document in documents {
            publish(running.address(), document).await?;
        }
        tracing::info!(address = %running.address(), "platform: listening");
        running.join().await;
        Ok(())
    })
}

/// Runs a model engine stand-in.
///
/// # Errors
///
/// Invalid settings, or a stand-in that can't run.
pub fn engine(path: &Path) -> Result<(), Error> {
    let settings: EngineSettings = briarbank_config::load(path)?;
    runtime()?.block_on(async {
        let running = briarbank_standin::start_engine(settings, shutdown_signal()?).await?;
        tracing::info!(address = %running.address(), "engine: listening");
        running.join().await;
        Ok(())
    })
}

/// Runs a plain service stand-in.
///
/// # Errors
///
/// Invalid settings, or a stand-in that can't run.
pub fn service(path: &Path) -> Result<(), Error> {
    let settings: ServiceSettings = briarbank_config::load(path)?;
    runtime()?.block_on(async {
        let running = briarbank_standin::start_service(settings, shutdown_signal()?).await?;
        tracing::info!(address = %running.address(), "service: listening");
        running.join().await;
        Ok(())
    })
}
