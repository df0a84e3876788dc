//! Follows the site's state in the platform's store, for all daemons or where peers do not.
//!
//! Daemons synchronize their copies with each other by revision. A few read the store, and every other one does so itself
//! before its knowledge is older than the budget allows.

use std::{
    future::Future,
    mem,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use log::{info, warn};
use rand::Rng;
use tokio::time::{sleep, timeout};

use super::{
    freshness::{Budget, Overdue},
    line_limit::LineLimit,
    state_listing::StateListing,
    turn::{Place, Turn, readers_per_region},
    unread_changes::UnreadChanges,
};
use crate::{
    pb,
    port::Catalog,
    process::{duty::OWN_PREFIX, shared::Shared},
    store::{Cause, Change, Changes, Error, Purpose, Revision, Row},
    util::stable_hash,
};

/// Mean pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Mean pause after repeated failures of a daemon that others read for, when no peer has announced anything: all daemons
/// of the site may be without the store then.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Time between two lines on readings that others should have saved this daemon.
const LOG_INTERVAL_MS: u64 = 1_000;
/// Longest entry of a server, in bytes.
const MAX_INSTANCE_BYTES: usize = 16 * 1024;

/// Reads the site's state in the platform's store.
pub(crate) struct StateReader {
    shared: Arc<Shared>,
    catalog: Arc<dyn Catalog>,
    budget: Budget,
    /// Time by which this daemon begins to read later than others whose knowledge is as old, in ms.
    delay_ms: u64,
    unread_changes: UnreadChanges,
    /// Failed calls in a row.
    failures: u32,
    /// Listings in a row that ended before their last page.
    abandoned_listings: u32,
    /// The way that was logged last, and when.
    logged: (&'static str, u64),
    /// The listing that is under way.
    listing: Option<StateListing>,
    /// The page that failed last, and the key after which it begins.
    failed_page: (usize, String),
    failure_lines: LineLimit,
    /// Whether a failure has been logged since the last success.
    is_failure_logged: bool,
}

impl StateReader {
    pub fn new(shared: Arc<Shared>, catalog: Arc<dyn Catalog>) -> Self {
        let budget = Budget::for_site(u64::try_from(shared.settings.config_apply.as_millis()).unwrap_or(u64::MAX));
        if !budget.is_kept() {
            let total = budget.total;
            warn!("event=config-apply-too-short config_apply_ms={total} max_age_ms={}", budget.max_age);
        }
        let delay_ms = stable_hash(&[b"state-reader", shared.settings.name.as_bytes()]) % budget.spread;
        Self {
            shared,
            catalog,
            budget,
            delay_ms,
            unread_changes: UnreadChanges::default(),
            failures: 0,
            abandoned_listings: 0,
            logged: ("", 0),
            listing: None,
            failed_page: (0, String::new()),
            failure_lines: LineLimit::default(),
            is_failure_logged: false,
        }
    }

    /// Reads the store when it is this daemon's turn, until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let turn = self.next_turn();
            if matches!(turn, Turn::Poll(_) | Turn::CatchUp(_)) {
                // Peers have brought what the listing was for.
                self.listing = None;
            }
            self.log_turn(turn);
            let result = match turn {
                Turn::List => self.list().await,
                Turn::Poll(ms) => self.poll(Duration::from_millis(ms)).await,
                Turn::CatchUp(_) => self.catch_up().await,
                Turn::Rely => {
                    sleep(Duration::from_millis(self.budget.check)).await;
                    Ok(false)
                }
            };
            let error = match result {
                Ok(has_read) => {
                    self.record_success(turn, has_read);
                    continue;
                }
                Err(error) => error,
            };
            self.failures += 1;
            if turn == Turn::List {
                self.unread_changes.record_failed_listing(self.failed_page.0.saturating_sub(1));
            } else {
                self.unread_changes.record_failure(&error);
            }
            self.record_error(turn, &error);
            let pause = self.pause(turn).mul_f64(rand::rng().random_range(0.5..1.5));
            sleep(pause).await;
        }
    }

    /// Mean pause after a failed call.
    fn pause(&self, turn: Turn) -> Duration {
        let exponent = match turn {
            // All pages would be read again.
            Turn::List => self.abandoned_listings,
            Turn::CatchUp(Overdue::Age) if self.place().is_none() => self.failures.saturating_sub(2),
            _ => 0,
        };
        (RETRY_PAUSE * 2_u32.saturating_pow(exponent.min(8))).min(MAX_RETRY_PAUSE)
    }

    fn next_turn(&self) -> Turn {
        let own = self.shared.config.lock().revision();
        let is_restored = self.shared.kv.history().number.is_some_and(|known| known > own.history());
        let must_list = own.is_none() || is_restored || self.unread_changes.must_list();
        Turn::next(&self.budget, self.place(), self.overdue(), must_list, self.shared.agreed_ms())
    }

    /// This daemon's place among those that read the store for all, if it is one of them.
    fn place(&self) -> Option<Place> {
        let readers = self.shared.view.lock().highest_of_regions("site-watch", readers_per_region);
        let index = readers.iter().position(|name| *name == self.shared.settings.name)?;
        Some(Place { index, count: readers.len() })
    }

    fn overdue(&self) -> Option<Overdue> {
        let own = self.shared.config.lock().revision();
        self.shared.freshness.lock().overdue(&self.budget, own, self.delay_ms, self.shared.now())
    }

    async fn until_overdue(&self) {
        while self.overdue().is_none() {
            sleep(Duration::from_millis(self.budget.check)).await;
        }
    }

    /// Logs a change of the way in which this daemon learns of changes, and each reading that others should have saved it.
    fn log_turn(&mut self, turn: Turn) {
        let source = turn.label();
        let now = self.shared.now();
        let is_repeated = matches!(turn, Turn::CatchUp(_)) && now >= self.logged.1 + LOG_INTERVAL_MS;
        if self.logged.0 == source && !is_repeated {
            return;
        }
        self.logged = (source, now);
        let why = if let Turn::CatchUp(overdue) = turn { overdue.label() } else { "-" };
        let own = self.shared.config.lock().revision();
        let age = self.shared.freshness.lock().age(own, now);
        let age = age.map_or_else(|| "-".to_owned(), |age| age.to_string());
        let wanted = if let Turn::CatchUp(Overdue::Missing(wanted)) = turn { wanted } else { Revision::NONE };
        info!("event=state-source source={source} why={why} age_ms={age} revision={own} wanted={wanted}");
    }

    /// Reads everything. This and the other ways of reading return whether the store has stated its state.
    async fn list(&mut self) -> Result<bool, Error> {
        let mut listing = self.listing.take().unwrap_or_else(|| StateListing::new(self.shared.now()));
        let prefix = self.catalog.prefix();
        while !listing.progress.is_complete() {
            let page = self.shared.kv.list_next(Purpose::Site, prefix, Revision::NONE, &mut listing.progress);
            let error = match page.await {
                // What is not kept of a page goes before the next one comes.
                Ok(rows) => {
                    let rows = rows.into_iter().filter(|row| self.is_relevant(&row.key));
                    listing.add(rows.map(|row| self.row_to_file(row)));
                    if !listing.progress.is_stuck() {
                        continue;
                    }
                    Error::Unanswered { service: "key-value service", cause: Cause::PageStuck }
                }
                Err(error) => error,
            };
            self.failed_page = (listing.progress.next_page(), listing.progress.after().to_owned());
            if listing.record_failure(&error) {
                self.listing = Some(listing);
            } else {
                self.abandoned_listings += 1;
                self.adopt(listing);
            }
            return Err(error);
        }
        let (revision, begun_at) = (listing.progress.revision(), listing.begun_at);
        let files = listing.into_files();
        let listing = pb::ConfigDelta { revision: revision.ordinal(), files, whole: true, next: None };
        let known = self.shared.config.lock().revision();
        let files = listing.files.len();
        if self.shared.config.lock().replace(listing) {
            self.notify_changed("listing");
        }
        info!("event=state-listed revision={revision} files={files} known={known}");
        self.record_reading(revision, begun_at);
        self.unread_changes.record_success();
        self.abandoned_listings = 0;
        Ok(true)
    }

    /// Uses the entries of a listing that has ended early. The copy does not become one of the listing's revision, as it
    /// lacks entries and keeps what may have been removed.
    fn adopt(&self, listing: StateListing) {
        let revision = listing.progress.revision();
        let files = listing.into_files();
        let count = files.len();
        if self.shared.config.lock().adopt_listed(files, revision) {
            warn!("event=state-listed-in-part revision={revision} files={count} pages={}", self.failed_page.0);
            self.shared.config_changed.notify_one();
        }
    }

    /// Waits at the store for changes after those of the copy. Ends early if the wait itself might leave the copy behind.
    async fn poll(&self, limit: Duration) -> Result<bool, Error> {
        let own = self.shared.config.lock().revision();
        let sent_at = self.shared.now();
        let mut watch = self.shared.kv.watch(Purpose::Site, self.catalog.prefix(), own).await?;
        let changes = tokio::select! {
            changes = watch.next(limit) => changes?,
            // Another call has been answered from a new history, in which the watch may miss changes.
            () = self.shared.kv.history_ended(own.history()) => return Ok(false),
            () = self.until_overdue() => return Ok(false),
        };
        // Without changes the store has answered when the time was over; the answer may have been under way for long.
        let is_empty = changes.changes.is_empty();
        let waited_until = sent_at + u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        let now = self.shared.now();
        self.merge(changes, if is_empty { waited_until.min(now) } else { now });
        Ok(true)
    }

    /// Reads the changes after those of the copy. If the store takes its time, a second reading begins beside the first,
    /// as the connection may be dead.
    async fn catch_up(&self) -> Result<bool, Error> {
        let own = self.shared.config.lock().revision();
        let sent_at = self.shared.now();
        let read = || self.shared.kv.changes(Purpose::Site, self.catalog.prefix(), own);
        let changes = hedged(read, Duration::from_millis(self.budget.hedge)).await?;
        self.merge(changes, sent_at);
        Ok(true)
    }

    /// Merges changes that the store has stated at `at`.
    fn merge(&self, Changes { changes, revision }: Changes, at: u64) {
        let files = changes.into_iter().filter_map(|change| self.changed_file(change)).collect::<Vec<_>>();
        let any = !files.is_empty();
        let known = self.shared.config.lock().revision();
        if any && revision < known {
            warn!("event=changes-dropped revision={revision} files={} known={known}", files.len());
        }
        let delta = pb::ConfigDelta { revision: revision.ordinal(), files, whole: false, next: None };
        let newer = self.shared.config.lock().merge(delta);
        if newer && any {
            self.notify_changed("watch");
        }
        self.record_reading(revision, at);
    }

    /// Records that the store's state was at `revision` at `at`, if the copy holds it.
    fn record_reading(&self, revision: Revision, at: u64) {
        if self.shared.config.lock().revision() >= revision {
            self.shared.freshness.lock().record_reading(at);
        }
    }

    fn is_relevant(&self, key: &str) -> bool {
        self.catalog.is_relevant(key) || key.starts_with(OWN_PREFIX)
    }

    fn record_success(&mut self, turn: Turn, has_read: bool) {
        if has_read && mem::take(&mut self.is_failure_logged) {
            info!("event=state-read-back kind={} failures={}", turn.label(), self.failures);
        }
        if has_read {
            self.unread_changes.record_success();
        }
        self.failures = 0;
    }

    /// Counts a failed reading, and logs it, at most once a second.
    fn log_failure(&mut self, turn: Turn, error: &Error) {
        let (kind, why, failures) = (turn.label(), error.label(), self.failures);
        self.shared.metrics.state_read_failures.with_label_values(&[kind, why]).inc();
        let Some(others) = self.failure_lines.record(self.shared.now()) else { return };
        self.is_failure_logged = true;
        let (page, after) = match turn {
            Turn::List => (self.failed_page.0.to_string(), &*self.failed_page.1),
            _ => ("-".to_owned(), ""),
        };
        warn!(
            "event=state-read-failed kind={kind} why={why} page={page} after={after:?} failures={failures} others={others}"
        );
    }

    fn record_error(&mut self, turn: Turn, error: &Error) {
        self.log_failure(turn, error);
        if matches!(error, Error::Compacted { .. }) {
            info!("event=store-history-lost");
            return;
        }
        if error.is_too_long() {
            // The store is up.
            return;
        }
        self.shared.last_store_error_ms.store(self.shared.now().max(1), Ordering::Relaxed);
    }

    fn notify_changed(&self, source: &str) {
        self.shared.metrics.config_changes.with_label_values(&[source]).inc();
        self.shared.config_changed.notify_one();
        self.shared.announce.notify_one();
    }

    /// Converts a row. Text that no server's entry can be is propagated as empty text, which is just as unreadable:
    /// others may write entries of any length there, and every daemon keeps them.
    fn row_to_file(&self, row: Row) -> pb::ConfigFile {
        let Row { key, revision, value, .. } = row;
        let is_instance = self.catalog.instance_id(&key).is_some();
        let is_long = is_instance && value.len() > MAX_INSTANCE_BYTES;
        let text = if is_long { Err("too long") } else { String::from_utf8(value.to_vec()).map_err(|_| "not UTF-8") };
        let text = text.unwrap_or_else(|error| {
            self.shared.refusals.record_entry(&key, revision, value.len(), error);
            String::new()
        });
        let mut file =
            pb::ConfigFile { name: key, revision: revision.ordinal(), text: Some(text), ..pb::ConfigFile::default() };
        // Servers' entries are many, and change with each heartbeat.
        if !is_instance {
            file.reader = self.shared.settings.name.to_string();
            file.read_ms = self.shared.agreed_ms();
        }
        file
    }

    fn changed_file(&self, change: Change) -> Option<pb::ConfigFile> {
        match change {
            Change::Put(row) if self.is_relevant(&row.key) => Some(self.row_to_file(row)),
            Change::Removed(key, revision) if self.is_relevant(&key) => {
                Some(pb::ConfigFile { name: key, revision: revision.ordinal(), ..pb::ConfigFile::default() })
            }
            _ => None,
        }
    }
}

/// Makes a call, and a second one beside it if it is not answered within `delay`. Returns the first success, or the last
/// error.
async fn hedged<T, E, F: Future<Output = Result<T, E>>>(mut call: impl FnMut() -> F, delay: Duration) -> Result<T, E> {
    let first = call();
    tokio::pin!(first);
    if let Ok(result) = timeout(delay, &mut first).await {
        return result;
    }
    let second = call();
    tokio::pin!(second);
    let mut failed = (false, false);
    loop {
        let (result, other_failed) = tokio::select! {
            result = &mut first, if !failed.0 => (result, mem::replace(&mut failed.0, true) || failed.1),
            result = &mut second, if !failed.1 => (result, mem::replace(&mut failed.1, true) || failed.0),
        };
        if result.is_ok() || other_failed {
            return result;
        }
    }
}

#[cfg(test)]
#[path = "reader_test.rs"]
mod reader_test;
