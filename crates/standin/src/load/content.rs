//! Content of each call, derived from the seed of the plan.

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

/// Content of a call, the same in each try.
#[derive(Clone, Debug)]
pub(crate) struct CallContent {
    pub(crate) request_id: Arc<str>,
    pub(crate) workspace: usize,
    pub(crate) path: String,
    pub(crate) body: Bytes,
    /// Hash of the prompt or body, which determines the correct answer.
    pub(crate) hash: u64,
}

impl CallContent {
    pub(crate) fn new(plan: &LoadPlan, arrival: Arrival) -> Self {
        let class = &plan.classes[arrival.class];
        let seed = plan.seed ^ (arrival.number << 8) ^ arrival.class as u64;
        let mut rng = SmallRng::seed_from_u64(seed);
        let workspace = rng.random_range(0..class.workspaces.len());
        let text = prompt_text(class, &mut rng, arrival.number);
        let request_id = new_request_id(&mut rng);
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

/// Returns a prompt of repeated sentences and a unique question at its end.
///
/// The sentence is one of `shared_prefixes` sentences, or unique if that is 0.
fn prompt_text(class: &LoadClass, rng: &mut SmallRng, number: u64) -> String {
    let sheet = if class.shared_prefixes == 0 {
        rng.random()
    } else {
        rng.random_range(0..class.shared_prefixes)
    };
    let sentence = format!("{} sheet {sheet}; ", class.name);
    let question = format!("question {number} of {:016x}", rng.random::<u64>());
    let repeats = class.prompt_bytes.saturating_sub(question.len()) / sentence.len();
    let mut text = sentence.repeat(repeats);
    text.push_str(&question);
    text
}

/// Returns a `UUIDv7` of the current time, with random bits from the seed.
fn new_request_id(rng: &mut SmallRng) -> Arc<str> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = now.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX));
    let uuid = Builder::from_unix_timestamp_millis(millis, &rng.random()).into_uuid();
    Arc::from(uuid.to_string())
}
