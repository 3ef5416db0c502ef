//! Progress of a list that is read page by page.

use std::sync::Arc;

/// Notices pages that lead back to an earlier one, without keeping all keys.
///
/// Nothing is assumed of the order of the keys: a list comes to an end, or one of its pages
/// ends like an earlier one.
///
/// Source: Brent, "An improved Monte Carlo factorization algorithm", 1980.
///
/// # Examples
///
/// ```
/// use briarbank_core::flow::PageWalk;
///
/// let mut walk = PageWalk::default();
/// assert!(walk.go_on(&"lens-a".into()));
/// assert!(walk.go_on(&"lens-b".into()));
/// // The store sends the same page for ever.
/// assert!(!(0..4).all(|_| walk.go_on(&"lens-b".into())));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PageWalk {
    /// Last key of one of the pages so far.
    mark: Option<Arc<str>>,
    /// Number of pages so far.
    pages: u64,
    /// Number of pages after which the mark moves on.
    mark_pages: u64,
}

impl PageWalk {
    /// Records the last key of a page that others follow.
    ///
    /// Returns false once a page ends like an earlier one: for a walk that repeats itself
    /// after n pages, within 4n.
    pub fn go_on(&mut self, last_key: &Arc<str>) -> bool {
        if self.mark.as_ref() == Some(last_key) {
            return false;
        }
        self.pages += 1;
        if self.pages > self.mark_pages {
            self.mark = Some(Arc::clone(last_key));
            self.mark_pages = self.pages * 2;
        }
        true
    }
}
