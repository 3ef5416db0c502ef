//! Content of each call, from the seed.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use briarbank_core::catalog::TargetKind;
use briarbank_core::ids::WorkspaceName;
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use uuid::Builder;

use super::arrivals::Arrival;
use super::plan::{LoadClass, LoadPlan};
use crate::engine::prompt_hash;

/// One call as its caller sends it, in each try alike.
#[derive(Clone, Debug)]
pub(crate) struct CallContent {
    pub(crate) request_id: Arc<str>,
    pub(crate) workspace: usize,
    pub(crate) path: String,
    pub(crate) body: Bytes,
    /// Hash that the right answer follows from.
    pub(crate) hash: u64,
}

impl CallContent {
    pub(crate) fn new(plan: &LoadPlan, arrival: Arrival) -> Self {
        let class = &plan.classes[arrival.class];
        let seed = plan.seed ^ (arrival.number << 8) ^ arrival.class as u64;
        let mut rng = SmallRng::seed_from_u64(seed);
        let workspace = rng.random_range(0..class.workspaces.len());
        let text = text(class, &mut rng, arrival.number);
        let request_id = request_id(&mut rng);
        match class.kind {
            TargetKind::Model => Self {
                request_id,
                workspace,
                path: "/v1/completions".to_owned(),
                hash: prompt_hash(&text),
                body: model_body(class, &text),
            },
            TargetKind::Service => Self {
                request_id,
                workspace,
                path: format!("/services/{}/calls", class.target),
                hash: prompt_hash(&text),
                body: Bytes::from(text),
            },
        }
    }

    pub(crate) fn workspace<'c>(&self, class: &'c LoadClass) -> &'c WorkspaceName {
        &class.workspaces[self.workspace]
    }
}

fn model_body(class: &LoadClass, text: &str) -> Bytes {
    let body = json!({
        "model": class.target,
        "prompt": text,
        "stream": class.stream,
        "max_tokens": class.max_tokens,
    });
    Bytes::from(body.to_string())
}

/// A shared beginning, if the class has such, and an end of its own.
fn text(class: &LoadClass, rng: &mut SmallRng, number: u64) -> String {
    let sheet = if class.shared_prefixes == 0 {
        rng.random()
    } else {
        rng.random_range(0..class.shared_prefixes)
    };
    let sentence = format!("{} sheet {sheet}; ", class.name);
    let end = format!("question {number} of {:016x}", rng.random::<u64>());
    let repeats = class.prompt_bytes.saturating_sub(end.len()) / sentence.len();
    let mut text = sentence.repeat(repeats);
    text.push_str(&end);
    text
}

/// A `UUIDv7` of now, with its random part from the seed.
fn request_id(rng: &mut SmallRng) -> Arc<str> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = now.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX));
    let uuid = Builder::from_unix_timestamp_millis(millis, &rng.random()).into_uuid();
    Arc::from(uuid.to_string())
}
