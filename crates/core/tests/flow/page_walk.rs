//! Lists that are read page by page and may lead back.

use briarbank_core::flow::PageWalk;
use proptest::prelude::*;

proptest! {
    /// Guards against pages that are read again and again, whatever the order of their keys.
    #[test]
    fn a_walk_that_comes_back_ends(before in 0_u64..200, cycle in 1_u64..200) {
        let mut walk = PageWalk::default();
        let distinct = before + cycle;
        let key_of = |page: u64| {
            let key = if page < distinct { page } else { before + (page - before) % cycle };
            (key.wrapping_mul(0x9e37_79b9_7f4a_7c15)).to_string().into()
        };
        let ended = (0..4 * distinct).find(|page| !walk.go_on(&key_of(*page)));
        prop_assert!(ended.is_some_and(|page| page >= distinct), "{ended:?} of {distinct}");
    }

    /// Guards against taking a long list for one that leads back.
    #[test]
    fn a_walk_over_different_keys_goes_on(pages in 1_u64..2_000) {
        let mut walk = PageWalk::default();
        prop_assert!((0..pages).all(|page| walk.go_on(&page.to_string().into())));
    }
}
