//! Programs that run until they are stopped.

use std::path::Path;

use briarbank_config::{EngineSettings, NodeSettings, PlatformSettings, ServiceSettings};
use tokio::runtime::{Builder, Runtime};

use crate::Error;
use crate::publish::{DocumentFiles, publish};
use crate::signal::shutdown;

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
        Box::pin(briarbank_node::run(settings, shutdown()?)).await?;
        Ok(())
    })
}

/// Runs the platform stand-in, with the documents that it publishes at first.
///
/// # Errors
///
/// Invalid settings or documents, or a stand-in that can't run.
pub fn platform(path: &Path, documents: &DocumentFiles) -> Result<(), Error> {
    let settings: PlatformSettings = briarbank_config::load(path)?;
    let documents = documents.read()?;
    runtime()?.block_on(async {
        let running = briarbank_standin::start_platform(settings, shutdown()?).await?;
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
        let running = briarbank_standin::start_engine(settings, shutdown()?).await?;
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
        let running = briarbank_standin::start_service(settings, shutdown()?).await?;
        tracing::info!(address = %running.address(), "service: listening");
        running.join().await;
        Ok(())
    })
}
