//! Listings of all keys of a topic, against a store that gives them out in pages.

use std::collections::BTreeSet;
use std::ops::Bound;

use ferry_decisions::topic::{KeyForm, KeyListing, ListingStep};
use proptest::prelude::*;

/// Keys of a page of the users' store.
const PAGE_KEYS: usize = 500;

/// A store whose keys are bytes, and which lists bytes that are no text as U+FFFD.
struct PagedStore {
    keys: BTreeSet<Vec<u8>>,
    page_keys: usize,
}

/// What a listing came to.
#[derive(Debug, PartialEq, Eq)]
struct ListingResult {
    keys: Vec<String>,
    pages: usize,
    is_complete: bool,
}

impl PagedStore {
    fn new(keys: impl IntoIterator<Item = Vec<u8>>, page_keys: usize) -> Self {
        Self {
            keys: keys.into_iter().collect(),
            page_keys,
        }
    }

    /// Names of the keys after `after`, and whether more follow.
    fn page(&self, after: Option<&[u8]>) -> (Vec<String>, bool) {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let rest: Vec<&Vec<u8>> = self
            .keys
            .range::<[u8], _>((start, Bound::Unbounded))
            .collect();
        let names = rest.iter().take(self.page_keys);
        let names = names.map(|key| String::from_utf8_lossy(key).into_owned());
        (names.collect(), rest.len() > self.page_keys)
    }

    /// Lists all keys; `read` is what the store makes of the key that a request names.
    fn list(&self, read: impl Fn(&str) -> Vec<u8>) -> ListingResult {
        let mut listing = KeyListing::default();
        let mut after: Option<Vec<u8>> = None;
        let mut pages = 0;
        let is_complete = loop {
            let (names, has_more) = self.page(after.as_deref());
            pages += 1;
            let page = names.into_iter().map(|name| (name, ()));
            match listing.add_page(page, has_more) {
                ListingStep::Complete => break true,
                ListingStep::After(key) => after = Some(read(&key)),
                ListingStep::Stalled => break false,
            }
        };
        ListingResult {
            keys: listing.into_entries().map(|(key, ())| key).collect(),
            pages,
            is_complete,
        }
    }
}

/// A store that reads a key as it is.
fn as_it_is(key: &str) -> Vec<u8> {
    key.as_bytes().to_vec()
}

/// A store that takes the key to end where the next field of a query begins.
fn cut_at_fields(key: &str) -> Vec<u8> {
    let end = key.find(['&', '#', '+']).unwrap_or(key.len());
    as_it_is(&key[..end])
}

proptest! {
    /// Load pattern: keys of plain and odd characters, in pages of few keys.
    #[test]
    fn each_key_is_listed_once_in_at_most_twice_the_pages(
        keys in prop::collection::btree_set("[ab&+# %\u{1}\u{e9}]{1,6}", 0..60),
        page_keys in 1_usize..9,
    ) {
        let store = PagedStore::new(keys.iter().map(|key| as_it_is(key)), page_keys);
        let result = store.list(as_it_is);
        prop_assert!(result.is_complete);
        prop_assert_eq!(result.keys, keys.iter().cloned().collect::<Vec<_>>());
        let needed = keys.len().div_ceil(page_keys).max(1);
        prop_assert!(result.pages <= 2 * needed, "{} pages, {needed} needed", result.pages);
    }

    /// Load pattern: the same beside keys that are no text, at a store that reads some keys wrongly.
    #[test]
    fn a_listing_ends_whatever_the_store_makes_of_a_key(
        keys in prop::collection::btree_set(prop::collection::vec(prop::sample::select(b"ab&+\xff\xc3".as_slice()), 1..5), 0..60),
        page_keys in 1_usize..9,
    ) {
        let store = PagedStore::new(keys, page_keys);
        for read in [as_it_is, cut_at_fields] {
            let result = store.list(read);
            prop_assert!(result.pages <= store.keys.len() + 1);
        }
    }
}

/// Replay of issue 70: 1,100 entries of another writer before 20 of upstreams, in pages of 500 that end with an odd name.
#[test]
fn pages_that_end_with_an_odd_name_cost_no_further_page() {
    for odd in ["&b", "+b", "#b", " ", "\u{1}", "%41", "\u{e9}"] {
        let names = (0..1_100).map(|number| match number % PAGE_KEYS == PAGE_KEYS - 1 {
            true => format!("a{number:04}{odd}"),
            false => format!("a{number:04}"),
        });
        let upstreams = (0..20).map(|number| format!("up-{number:02}"));
        let keys: Vec<String> = names.chain(upstreams).collect();
        let store = PagedStore::new(keys.iter().map(|key| as_it_is(key)), PAGE_KEYS);
        for read in [as_it_is, cut_at_fields] {
            let result = store.list(read);
            assert_eq!(result.keys.len(), keys.len(), "{odd:?}");
            assert_eq!((result.pages, result.is_complete), (3, true), "{odd:?}");
        }
    }
}

/// Replay of issue 70: a store that takes each key to end at the same place gives out the same page for ever.
#[test]
fn a_listing_that_makes_no_progress_ends() {
    let names = (0..1_100).map(|number| format!("a&b{number:04}").into_bytes());
    let store = PagedStore::new(names, PAGE_KEYS);
    let result = store.list(cut_at_fields);
    assert_eq!((result.pages, result.is_complete), (2, false));
}

#[test]
fn an_empty_page_with_more_to_come_is_no_end() {
    let mut listing = KeyListing::<()>::default();
    assert_eq!(listing.add_page([], true), ListingStep::Stalled);
    assert_eq!(listing.add_page([], false), ListingStep::Complete);
}

#[test]
fn the_next_page_follows_a_key_of_the_surest_form() {
    let forms = [
        ("up-1/v~2._", KeyForm::Plain),
        ("a b", KeyForm::Encoded),
        ("a\u{e9}", KeyForm::Encoded),
        ("a\u{fffd}", KeyForm::Unreadable),
    ];
    for (name, form) in forms {
        assert_eq!(KeyForm::of(name), form, "{name}");
    }
    let page = ["a", "b", "b&", "c\u{fffd}"].map(|name| (name.to_owned(), ()));
    let step = KeyListing::default().add_page(page, true);
    assert_eq!(step, ListingStep::After("b".to_owned()));
}
