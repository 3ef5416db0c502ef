//! Locking and merging of state that control requests change.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::Error;

/// Locks a mutex, even if another task panicked while holding it.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a copy with the fields of a JSON object replaced.
///
/// # Errors
///
/// [`Error::InvalidJson`] if `patch` is not a JSON object or a field is invalid.
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
