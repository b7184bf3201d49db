//! Listing of all keys of a topic, page by page.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// How surely a store reads the name of a key, in a request, as the key that it listed under that name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum KeyForm {
    /// The name stands for bytes that are no text, so that the key's own bytes are not known.
    Unreadable,
    /// The name has to be encoded.
    Encoded,
    /// The name holds only characters that mean themselves everywhere.
    Plain,
}

/// What follows a page of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListingStep {
    /// The page was the last one.
    Complete,
    /// The next page is the one after this key.
    After(String),
    /// More keys are to follow, but the page holds none that is new: requests for further pages may go on for ever.
    Stalled,
}

/// Entries of the pages so far, each key once: `T` is what is known of a key.
#[derive(Debug)]
pub struct KeyListing<T> {
    entries: BTreeMap<String, T>,
}

impl KeyForm {
    /// Form of the key that is listed as `name`.
    pub fn of(name: &str) -> Self {
        if name.contains(char::REPLACEMENT_CHARACTER) {
            return Self::Unreadable;
        }
        match name.bytes().all(is_plain) {
            true => Self::Plain,
            false => Self::Encoded,
        }
    }
}

/// Whether a byte of a query means itself on every server.
fn is_plain(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte)
}

impl<T> Default for KeyListing<T> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
        }
    }
}

impl<T> KeyListing<T> {
    /// Adds the entries of the next page; `has_more` is whether the store says that others follow.
    ///
    /// The next page follows the last of those new keys that the store reads most surely; entries behind it are listed again.
    pub fn add_page(
        &mut self,
        page: impl IntoIterator<Item = (String, T)>,
        has_more: bool,
    ) -> ListingStep {
        let mut last: Option<(KeyForm, String)> = None;
        for (key, value) in page {
            let Entry::Vacant(slot) = self.entries.entry(key) else {
                continue;
            };
            let form = KeyForm::of(slot.key());
            if last.as_ref().is_none_or(|(surest, _)| form >= *surest) {
                last = Some((form, slot.key().clone()));
            }
            slot.insert(value);
        }
        match last {
            _ if !has_more => ListingStep::Complete,
            Some((_, key)) => ListingStep::After(key),
            None => ListingStep::Stalled,
        }
    }

    /// All entries, in the order of their keys.
    pub fn into_entries(self) -> impl Iterator<Item = (String, T)> {
        self.entries.into_iter()
    }
}
