//! Settings that change while the node runs.

use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval};

use crate::settings::{Settings, SettingsSource};
use crate::shared::SharedState;

/// Time between two looks at settings that changed without a signal.
const LOOK: Duration = Duration::from_secs(2);

/// Takes over changed settings, at SIGHUP or when they are found to differ.
pub(crate) async fn run(shared: Rc<SharedState>, source: Box<dyn SettingsSource>) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            tracing::error!(%error, "settings: signal handler can't be set");
            return std::future::pending().await;
        }
    };
    let mut looks = interval(LOOK);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // A file that stays bad is told of once.
    let mut is_bad = false;
    loop {
        let is_asked = tokio::select! {
            _ = hangup.recv() => true,
            _ = looks.tick() => false,
        };
        match source.load() {
            Ok(settings) => {
                is_bad = false;
                take(&shared, settings, is_asked);
            }
            Err(error) if is_asked || !is_bad => {
                is_bad = true;
                tracing::warn!(%error, "settings: not usable, the former ones stay");
            }
            Err(_) => {}
        }
    }
}

fn take(shared: &SharedState, settings: Settings, is_asked: bool) {
    let before = shared.settings();
    let settings = Settings {
        addresses: before.addresses,
        ..settings
    };
    if *before == settings {
        if is_asked {
            tracing::info!("settings: read again, nothing changed");
        }
        return;
    }
    shared.peers.borrow_mut().set_seeds(settings.seeds.clone());
    shared
        .dispatcher
        .borrow_mut()
        .set_retry_options(settings.retries);
    tracing::info!(seeds = settings.seeds.len(), store = %settings.store_address, is_asked, "settings: changed");
    shared.set_settings(settings);
}
