//! Shared steps of control requests.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::Error;

/// Locks a mutex, also after a panic of another task.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Replaces the fields that a JSON object names and keeps the others.
///
/// # Errors
///
/// [`Error::InvalidJson`] if the text is no JSON object or a field doesn't fit.
pub(crate) fn merge<T: Serialize + DeserializeOwned>(
    current: &T,
    patch: &[u8],
) -> Result<T, Error> {
    let patch: serde_json::Map<String, Value> = serde_json::from_slice(patch)?;
    let mut value = serde_json::to_value(current)?;
    if let Value::Object(fields) = &mut value {
        fields.extend(patch);
    }
    Ok(serde_json::from_value(value)?)
}
