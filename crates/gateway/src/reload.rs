//! Reload of the settings while the node runs.

use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval};

use crate::settings::{Settings, SettingsSource};
use crate::shared::SharedState;

/// Time between two checks for settings that changed without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Applies changed settings, at SIGHUP and at regular checks.
pub(crate) async fn run(shared: Rc<SharedState>, source: Box<dyn SettingsSource>) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            tracing::error!(%error, "settings: installing the SIGHUP handler failed");
            return std::future::pending().await;
        }
    };
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // A source that stays invalid is logged once.
    let mut is_invalid = false;
    loop {
        let is_asked = tokio::select! {
            _ = hangup.recv() => true,
            _ = ticks.tick() => false,
        };
        match source.load() {
            Ok(settings) => {
                is_invalid = false;
                take(&shared, settings, is_asked);
            }
            Err(error) if is_asked || !is_invalid => {
                is_invalid = true;
                tracing::warn!(%error, "settings: reload failed, settings in force stay");
            }
            Err(_) => {}
        }
    }
}

/// Applies settings that differ from those in force.
fn take(shared: &SharedState, settings: Settings, is_asked: bool) {
    let before = shared.settings();
    let settings = Settings {
        addresses: before.addresses,
        hedge_ratio: before.hedge_ratio,
        ..settings
    };
    if *before == settings {
        if is_asked {
            tracing::info!("settings: reloaded, nothing changed");
        }
        return;
    }
    let mut peers = shared.peers.borrow_mut();
    peers.set_seeds(settings.seeds.clone());
    peers.set_link(settings.link_mbps);
    drop(peers);
    let mut dispatcher = shared.dispatcher.borrow_mut();
    dispatcher.set_retry_options(settings.retries);
    dispatcher.set_zone_regions(settings.zone_regions.clone());
    dispatcher.set_cold_limit(settings.cold);
    drop(dispatcher);
    let mut hedging = shared.hedging.borrow_mut();
    hedging.set_window(settings.retries.window);
    drop(hedging);
    shared.admission.set_bounds(settings.caller_bounds);
    let servers_max = settings.connection_shares.servers;
    shared.pool.set_connections_max(servers_max);
    tracing::info!(seeds = settings.seeds.len(), store = %settings.store_address, is_asked, "settings: changed");
    shared.set_settings(settings);
}
