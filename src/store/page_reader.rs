//! Reads the keys below a prefix page by page.

use std::collections::HashSet;

use super::EventStore;
use super::Freshness;
use super::Page;
use super::StoreError;

/// The pages of the keys below a prefix, in order.
#[derive(Debug)]
pub struct PageReader<'a, S> {
    store: &'a S,
    prefix: &'a str,
    freshness: Freshness,
    /// Last key of each page so far. None occurs twice, so that a reading of finitely many keys ends.
    page_ends: HashSet<String>,
    /// Last key of the latest page.
    after: Option<String>,
    complete: bool,
}

impl<'a, S: EventStore> PageReader<'a, S> {
    /// Creates a reader of the keys below `prefix`, from the first one on.
    #[must_use]
    pub fn new(store: &'a S, prefix: &'a str, freshness: Freshness) -> Self {
        let page_ends = HashSet::new();
        Self { store, prefix, freshness, page_ends, after: None, complete: false }
    }

    /// Reads the next page, of which there is at least one; `None` after the last one.
    ///
    /// # Errors
    /// If the store does not answer, or answers with a page that ends where an earlier one did: asked
    /// for what follows, it would do so without end.
    pub async fn next_page(&mut self) -> Result<Option<Page>, StoreError> {
        if self.complete {
            return Ok(None);
        }
        let after = self.after.as_deref();
        let page = self.store.list_page(self.prefix, after, self.freshness).await?;
        let end = page.items.last().filter(|_| page.has_more).map(|item| item.key.clone());
        match &end {
            Some(end) if !self.page_ends.insert(end.clone()) => {
                return Err(StoreError::Refused(format!("two pages end with the key {end:?}")));
            }
            Some(_) => {}
            None => self.complete = true,
        }
        self.after = end;
        Ok(Some(page))
    }
}
