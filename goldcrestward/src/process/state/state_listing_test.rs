//! Tests of listings some pages of which cannot be read.

use super::{MAX_PAGE_FAILURES, StateListing};
use crate::{
    pb,
    store::{Cause, Error, Page, Revision, Row},
};

const SERVICE: &str = "store";
/// Pages of a site with 12,000 entries.
const PAGES: u64 = 24;

fn page(number: u64) -> Page {
    let key = format!("entries/{number:02}");
    let revision = Revision::new(1, 100 + number);
    let row = Row { key: key.clone(), value: "x".into(), revision, create_revision: revision };
    Page { rows: vec![row], revision, next: (number < PAGES).then_some(key) }
}

fn unanswered(cause: Cause) -> Error {
    Error::Unanswered { service: SERVICE, cause }
}

fn read_page(listing: &mut StateListing, page: Page) {
    let rows = listing.progress.enter(page, SERVICE).expect("a page of the same history");
    listing.add(rows.into_iter().map(|row| pb::ConfigFile { name: row.key, ..pb::ConfigFile::default() }));
}

/// Guards against RECOVER: a listing that failed at a late page began with the first one, so that a long one never ended.
#[test]
fn listing_goes_on_with_the_page_that_failed() {
    let (mut listing, mut calls) = (StateListing::new(5), 0);
    for number in 1..=PAGES {
        // Each page fails as often as it may.
        for _ in 1..MAX_PAGE_FAILURES {
            calls += 1;
            assert!(listing.record_failure(&unanswered(Cause::TimedOut)));
            assert!(listing.record_failure(&Error::Budget { purpose: "site" }));
        }
        assert_eq!(listing.progress.next_page() as u64, number);
        calls += 1;
        read_page(&mut listing, page(number));
    }
    assert_eq!(calls, PAGES * u64::from(MAX_PAGE_FAILURES));
    assert!(listing.progress.is_complete());
    // A watch goes on from the first page, as entries of it may have changed since.
    assert_eq!((listing.progress.revision(), listing.begun_at), (Revision::new(1, 101), 5));
    assert_eq!(listing.into_files().len() as u64, PAGES);
}

#[test]
fn listing_whose_page_fails_again_and_again_ends() {
    let mut listing = StateListing::new(0);
    read_page(&mut listing, page(1));
    for _ in 1..MAX_PAGE_FAILURES {
        assert!(listing.record_failure(&unanswered(Cause::Broken)));
    }
    assert!(!listing.record_failure(&unanswered(Cause::Broken)));
}

#[test]
fn listing_of_an_ended_history_ends() {
    let mut listing = StateListing::new(0);
    read_page(&mut listing, page(1));
    let restored = Page { revision: Revision::new(2, 1), ..page(2) };
    let error = listing.progress.enter(restored, SERVICE).expect_err("a page of another history");
    assert!(!listing.record_failure(&error));
}

#[test]
fn listing_that_is_stuck_keeps_what_was_read() {
    let mut listing = StateListing::new(0);
    read_page(&mut listing, page(1));
    // A page that leads to the key after which it began.
    let next = Some(listing.progress.after().to_owned());
    read_page(&mut listing, Page { next, ..page(2) });
    assert!(listing.progress.is_stuck() && !listing.progress.is_complete());
    assert!(!listing.record_failure(&unanswered(Cause::PageStuck)));
    assert_eq!(listing.into_files().len(), 2);
}
