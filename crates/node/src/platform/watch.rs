//! Watch of a published value across the platform's replicas.

use std::sync::Arc;
use std::time::Duration;

use briarbank_core::conf::Key;
use briarbank_core::ids::Revision;
use briarbank_core::node::Event;
use rand::Rng;
use tokio::sync::watch::Receiver;
use tokio::time::sleep;

use super::{Platform, PublishedValue, ValueQuery};
use crate::control::Control;

/// Longest wait of one read.
///
/// The next read uses the next replica, so a stale replica hides a new
/// revision for no longer than this.
const WAIT: Duration = Duration::from_secs(4);

/// Pause after a failed read, before jitter.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after failed reads, before jitter.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Watches one value while `wanted` is true; does not return by itself.
pub(crate) async fn watch(
    platform: Arc<dyn Platform>,
    key: Key,
    control: Control,
    mut wanted: Receiver<bool>,
) {
    let mut watch = Watch {
        platform,
        key,
        control,
        replica: 0,
        revision: Revision(0),
        failures: 0,
    };
    while wanted.wait_for(|w| *w).await.is_ok() {
        watch.read_next().await;
    }
}

struct Watch {
    platform: Arc<dyn Platform>,
    key: Key,
    control: Control,
    replica: usize,
    revision: Revision,
    failures: u32,
}

impl Watch {
    async fn read_next(&mut self) {
        let query = ValueQuery {
            key: self.key,
            after: self.revision,
            wait: if self.revision == Revision(0) {
                Duration::ZERO
            } else {
                WAIT
            },
        };
        match self.platform.read(self.replica, query).await {
            Ok(Some(value)) => self.handle_value(value),
            Ok(None) => {
                self.failures = 0;
                self.control.send_event(Event::Unchanged);
                self.use_next_replica();
                if self.revision == Revision(0) {
                    sleep(RETRY_PAUSE).await;
                }
            }
            Err(error) => {
                tracing::warn!(key = self.key.as_str(), %error, "platform: reading a published value failed");
                self.use_next_replica();
                self.back_off().await;
            }
        }
    }

    fn handle_value(&mut self, value: PublishedValue) {
        self.failures = 0;
        if value.revision <= self.revision {
            self.use_next_replica();
            return;
        }
        self.revision = value.revision;
        tracing::info!(key = self.key.as_str(), revision = %value.revision, "platform: received a new value");
        self.control.send_event(Event::Published {
            key: self.key,
            revision: value.revision,
            bytes: value.bytes,
        });
    }

    fn use_next_replica(&mut self) {
        self.replica = (self.replica + 1) % self.platform.replicas().max(1);
    }

    async fn back_off(&mut self) {
        self.failures = (self.failures + 1).min(8);
        let pause = RETRY_PAUSE * 2_u32.pow(self.failures - 1);
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(pause.min(RETRY_PAUSE_MAX).mul_f64(jitter)).await;
    }
}
