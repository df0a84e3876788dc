//! A listing that is read page by page.

use super::{
    error::{RestoredSnafu, Result},
    port::{Page, Row},
    revision::Revision,
};

/// How far a listing has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Listing {
    /// Revision of the service at the first page. A watch from there sees all changes made while later pages are read.
    first: Option<Revision>,
    /// Key after which the next page begins.
    after: String,
    /// Pages before the next one, or before the last one.
    pages: usize,
    state: State,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Reading,
    /// The last page has been read.
    Complete,
    /// The page that was read last does not lead past those before.
    Stuck,
}

impl Listing {
    /// Revision from which on the changes are to be read; [`Revision::NONE`] before the first page.
    pub fn revision(&self) -> Revision {
        self.first.unwrap_or(Revision::NONE)
    }

    /// Key after which the next page begins; empty for the first one.
    pub fn after(&self) -> &str {
        &self.after
    }

    /// Number of the next page, from 1.
    pub fn next_page(&self) -> usize {
        self.pages + 1
    }

    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Whether the last page that was read leads to no other, though it is not the last of the listing.
    pub fn is_stuck(&self) -> bool {
        self.state == State::Stuck
    }

    /// Enters the next page and returns its rows.
    ///
    /// # Errors
    /// Fails if the page is from another history than the first one.
    pub fn enter(&mut self, page: Page, service: &'static str) -> Result<Vec<Row>> {
        let revision = *self.first.get_or_insert(page.revision);
        if revision.history() != page.revision.history() {
            return RestoredSnafu { service }.fail();
        }
        match page.next {
            Some(next) if next > self.after => {
                self.after = next;
                self.pages += 1;
            }
            Some(_) => self.state = State::Stuck,
            None => self.state = State::Complete,
        }
        Ok(page.rows)
    }
}
