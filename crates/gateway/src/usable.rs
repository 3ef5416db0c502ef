//! Values that a node keeps, of all that may be in the store.

use briarbank_core::flow::Change;

use crate::log_lines::LineKind;
use crate::shared::SharedState;

impl SharedState {
    /// Removes changes that are of no use to this node or to others.
    ///
    /// Other writers may write any number of values of any size. Of an entry that was known
    /// and cannot be decoded any longer, only the key is kept, as others must learn that it
    /// names no server; one that never could be decoded leaves nothing behind.
    pub(crate) fn retain_usable(&self, changes: &mut Vec<Change>) {
        changes.retain_mut(|change| {
            if self.dialect.server_of_key(&change.key).is_none() {
                return self.dialect.is_used(&change.key);
            }
            let Err(error) = self.dialect.decode_value(change) else {
                return true;
            };
            if self.log_lines.take(LineKind::Entry) {
                tracing::warn!(
                    key = %change.key.escape_debug(), revision = change.revision, %error,
                    "values: decoding an entry failed"
                );
            }
            change.value = [].into();
            self.values.borrow().get(&change.key).is_some()
        });
    }
}
