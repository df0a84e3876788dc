//! Site configuration: committed by compare-and-swap, watched by a few daemons, compiled by all.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use log::{error, info, warn};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::{
    shared::{InForce, Shared},
    state::{Budget, Overdue, Place},
};
use crate::{
    config::{Compilation, Document, Override, Problem, StoredDocument, merge},
    pb,
    store::{Change as StoreChange, Compare, Error, Purpose, Put, Revision, Row, Txn},
    util::{stable_hash, unix_ms},
};

const BUDGET: Budget = Budget::CONFIG;
/// Number of daemons that watch the key-value store; more than one, as duplicates do no harm.
const WATCHERS: usize = 3;
/// Pause between retries of a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Minimum interval between two compilations.
const MIN_COMPILE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between the lines on a file that stays refused.
const REFUSAL_INTERVAL: Duration = Duration::from_secs(60);
/// Most refused files with a line each.
const MAX_REFUSAL_LINES: usize = 16;
/// Maximum number of attempts to commit a change. A further attempt also shows whether one whose answer was lost
/// took effect.
const COMMIT_ATTEMPTS: u32 = 6;

/// The value of the head key. Every accepted change rewrites it, and every commit compares its revision.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct Head {
    /// Unique token of the last accepted change.
    token: String,
    /// Token of the change before it.
    after: String,
}

/// The value of a file's key; a removed file has no text.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct StoredFile {
    text: Option<String>,
}

/// A file to be written or removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Change {
    pub name: Arc<str>,
    /// Content of the file; `None` removes the file.
    pub text: Option<String>,
}

/// Outcome of a proposed change.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub(crate) enum ProposalOutcome {
    /// The change was committed.
    Accepted {
        /// Revision of the commit.
        revision: u64,
        /// Entries that later files override.
        overrides: Vec<Override>,
    },
    /// The change equals what is already stored.
    Unchanged {
        /// Current revision.
        revision: u64,
    },
    /// The resulting configuration is invalid; nothing was changed.
    Invalid { problems: Vec<Problem> },
    /// Another change came first; nothing was changed.
    Conflict {
        /// Current revision.
        revision: u64,
        /// Files that have changed since the revision that the operator expected; empty if not known.
        changed: Vec<Arc<str>>,
    },
    /// The key-value store cannot be reached; nothing was changed.
    Unavailable { message: String },
    /// The store's answer was lost; the change may have been committed.
    Unknown {
        /// How the operator can find out.
        message: String,
    },
}

/// Reads, watches and changes the site's configuration in the platform's key-value store.
#[derive(Clone)]
pub(crate) struct Configurer {
    shared: Arc<Shared>,
    prefix: String,
}

impl Configurer {
    pub fn new(shared: Arc<Shared>) -> Self {
        let prefix = format!("/goldcrestward/{}/config/", shared.settings.site);
        Self { shared, prefix }
    }

    /// Reads the store once, then watches it while this daemon is a watcher, and reads it whenever others do not keep this
    /// daemon's knowledge young.
    pub async fn watch(self) {
        while self.read().await.is_err() && self.shared.config.lock().revision().is_none() {
            sleep(RETRY_PAUSE).await;
        }
        loop {
            if let Some(overdue) = self.overdue() {
                let revision = self.shared.config.lock().revision();
                info!("event=state-source source=catch-up why={} revision={revision}", overdue.label());
                if self.read().await.is_err() {
                    sleep(RETRY_PAUSE).await;
                }
            } else if let Some(place) = self.place() {
                self.follow(place).await;
            } else {
                sleep(Duration::from_millis(BUDGET.check)).await;
            }
        }
    }

    fn overdue(&self) -> Option<Overdue> {
        let delay = stable_hash(&[b"config-reader", self.shared.settings.name.as_bytes()]) % BUDGET.spread;
        let own = self.shared.config.lock().revision();
        self.shared.freshness.lock().overdue(&BUDGET, own, delay, self.shared.now())
    }

    async fn until_overdue(&self) {
        while self.overdue().is_none() {
            sleep(Duration::from_millis(BUDGET.check)).await;
        }
    }

    /// Compiles and applies changed files until the task is dropped. Every change is validated before it is committed, so
    /// a file that cannot be used is of another writer, and the others are in force without it.
    pub async fn compile(self) {
        let (mut refused, mut problems) = (Vec::new(), Vec::new());
        loop {
            tokio::select! {
                () = self.shared.config_changed.notified() => {}
                () = sleep(REFUSAL_INTERVAL), if !(refused.is_empty() && problems.is_empty()) => {
                    self.log_refused(&refused, &problems);
                    continue;
                }
            }
            let (revision, files) = {
                let config = self.shared.config.lock();
                (config.revision(), config.documents())
            };
            let Compilation { merged, refused: left_out } = self.compile_files(&files, revision);
            (refused, problems) = (left_out, merged.problems);
            self.log_refused(&refused, &problems);
            self.shared.metrics.refused_files.set(refused.len() as i64);
            if problems.is_empty() {
                self.shared.in_force.store(Arc::new(InForce { revision, site: merged.site }));
                self.shared.metrics.config_revision.set(revision.ordinal() as i64);
                self.shared.metrics.config_since.set(unix_ms() as i64);
                self.shared.refresh_version_choices();
                info!("event=config-in-force revision={revision} refused_files={}", refused.len());
            }
            sleep(MIN_COMPILE_INTERVAL).await;
        }
    }

    /// Logs the files that are not used, and why the others are not in force if they are not valid together.
    fn log_refused(&self, refused: &[Problem], problems: &[Problem]) {
        for Problem { file, line, field, message } in refused.iter().take(MAX_REFUSAL_LINES) {
            let others = refused.len().saturating_sub(MAX_REFUSAL_LINES);
            warn!(
                "event=config-file-refused file={file:?} line={line} field={field:?} error={message:?} others={others}"
            );
        }
        if !problems.is_empty() {
            let in_force = self.shared.in_force.load().revision;
            let revision = self.shared.config.lock().revision();
            let problems: Vec<_> = problems.iter().map(ToString::to_string).collect();
            error!("event=config-refused revision={revision} in_force={in_force} problems={problems:?}");
        }
    }

    /// Compiles the files. What is in force stays if they are not valid together; without anything in force the older ones
    /// are used.
    fn compile_files(&self, files: &[StoredDocument], newest: Revision) -> Compilation {
        let compilation = Compilation::of_readable(files);
        if compilation.merged.problems.is_empty() || !self.shared.in_force.load().revision.is_none() {
            return compilation;
        }
        Compilation::of_oldest(files, newest).unwrap_or(compilation)
    }

    /// Validates and commits changes. With `base`, they are accepted only on top of that revision.
    pub async fn propose(&self, changes: Vec<Change>, base: Option<u64>) -> ProposalOutcome {
        if let Err(error) = self.read().await {
            return ProposalOutcome::Unavailable { message: error.to_string() };
        }
        let revision = self.shared.config.lock().revision();
        if let Some(base) = base.map(Revision::from_ordinal).filter(|base| *base != revision) {
            let changed = self.shared.config.lock().delta(base).files;
            let changed = changed.into_iter().map(|file| file.name.into()).collect();
            return ProposalOutcome::Conflict { revision: revision.ordinal(), changed };
        }
        let files = self.shared.config.lock().documents();
        let documents: BTreeMap<_, _> = files.into_iter().map(|file| (file.name, file.document)).collect();
        let changes: Vec<_> = changes.into_iter().filter(|change| differs(&documents, change)).collect();
        if changes.is_empty() {
            return ProposalOutcome::Unchanged { revision: revision.ordinal() };
        }
        let (unreadable, readable) = documents.into_iter().partition(|(_, document)| document.problem().is_some());
        let merged = merge(&apply_changes(readable, &changes));
        if !merged.problems.is_empty() {
            let mut problems = merged.problems;
            problems.extend(problems_apart_from(&unreadable, &changes));
            return ProposalOutcome::Invalid { problems };
        }
        self.commit(&changes, revision, merged.overrides).await
    }

    /// This daemon's place among those that watch the store, if it is one of them.
    fn place(&self) -> Option<Place> {
        let view = self.shared.view.lock();
        let (index, count) = (view.rank("config-watch"), view.present().count().clamp(1, WATCHERS));
        (index < count).then_some(Place { index, count })
    }

    fn head_key(&self) -> String {
        format!("{}head", self.prefix)
    }

    /// Reads files newer than this daemon's copy; returns the store's revision.
    async fn read(&self) -> Result<Revision, Error> {
        let from = self.shared.config.lock().revision();
        let sent_at = self.shared.now();
        let (rows, now) = self.shared.kv.list(Purpose::Config, &self.prefix, from.next()).await?;
        self.merge_rows(rows);
        self.record_reading(sent_at);
        Ok(now)
    }

    /// Records that the copy held all that the store had at `at`, and announces it.
    fn record_reading(&self, at: u64) {
        self.shared.freshness.lock().record_reading(at);
        self.shared.announce.notify_one();
    }

    fn merge_rows(&self, rows: Vec<Row>) {
        let revision = rows.iter().map(|row| row.revision).max().unwrap_or_default().ordinal();
        let files = rows.into_iter().filter_map(|row| {
            let name = row.key.strip_prefix(&self.prefix)?.strip_prefix("file/")?.to_owned();
            let refuse = |error: serde_json::Error| {
                self.shared.refusals.record_entry(&row.key, row.revision, row.value.len(), &error.to_string());
            };
            let file: StoredFile = serde_json::from_slice(&row.value).map_err(refuse).ok()?;
            let revision = row.revision.ordinal();
            Some(pb::ConfigFile { name, revision, text: file.text, ..pb::ConfigFile::default() })
        });
        let files = files.collect();
        self.shared.merge_config(pb::ConfigDelta { revision, files, whole: false, next: None }, "service");
    }

    /// Watches the store until this daemon loses its place, the watch ends, or its knowledge gets too old. A watch without
    /// changes looks like a dead one, so it also reads in its slots.
    async fn follow(&self, place: Place) {
        let followed = async {
            let now = self.read().await?;
            let mut watch = self.shared.kv.watch(Purpose::Config, &self.prefix, now).await?;
            while self.place() == Some(place) {
                let until_slot = Duration::from_millis(place.poll_ms(&BUDGET, self.shared.agreed_ms()));
                tokio::select! {
                    changes = watch.next(until_slot) => {
                        self.merge_rows(changes?.changes.into_iter().filter_map(put_row).collect());
                        self.record_reading(self.shared.now());
                    }
                    () = sleep(until_slot) => drop(self.read().await?),
                    () = self.until_overdue() => break,
                }
            }
            Ok::<(), Error>(())
        };
        if let Err(error) = followed.await {
            warn!("event=config-watch-ended error={error:?}");
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn commit(&self, changes: &[Change], revision: Revision, overrides: Vec<Override>) -> ProposalOutcome {
        // The copy has all changes up to its revision, which is later than the head's if another program wrote since.
        let (previous, head_revision) = match self.read_head().await {
            Ok((head, at)) if at <= revision => (head.token, at),
            Ok((_, at)) => return ProposalOutcome::Conflict { revision: at.ordinal(), changed: Vec::new() },
            Err(error) => return ProposalOutcome::Unavailable { message: error.to_string() },
        };
        let token = format!("{:032x}", rand::random::<u128>());
        let mut uncertain = false;
        for _ in 0..COMMIT_ATTEMPTS {
            let commit = self.transaction(changes, head_revision, &token, &previous);
            match self.shared.kv.txn(Purpose::Config, commit).await {
                Ok(txn) if txn.succeeded => return self.accepted(txn.revision, overrides).await,
                Ok(_) => return self.resolve_conflict(&token, uncertain, overrides).await,
                Err(Error::Unreached { .. } | Error::Budget { .. }) if !uncertain => {
                    let message = "the platform's service cannot be reached; nothing was changed".into();
                    return ProposalOutcome::Unavailable { message };
                }
                // The comparison lets the change succeed only once, so it is safe to send it again.
                Err(_) => uncertain = true,
            }
            sleep(RETRY_PAUSE).await;
        }
        ProposalOutcome::Unknown {
            message: format!("no answer from the service; look for change {token} in the status later"),
        }
    }

    fn transaction(&self, changes: &[Change], head_revision: Revision, token: &str, previous: &str) -> Txn {
        let head = Head { token: token.to_owned(), after: previous.to_owned() };
        let mut puts =
            vec![Put { key: self.head_key(), value: serde_json::to_vec(&head).unwrap_or_default(), lease: 0 }];
        puts.extend(changes.iter().map(|change| {
            let file = StoredFile { text: change.text.clone() };
            let key = format!("{}file/{}", self.prefix, change.name);
            Put { key, value: serde_json::to_vec(&file).unwrap_or_default(), lease: 0 }
        }));
        Txn { compares: vec![Compare { key: self.head_key(), revision: head_revision }], puts, removes: Vec::new() }
    }

    async fn read_head(&self) -> Result<(Head, Revision), Error> {
        let row = self.shared.kv.get(Purpose::Config, &self.head_key()).await?;
        let Some(row) = row else { return Ok((Head::default(), Revision::NONE)) };
        let head = serde_json::from_slice(&row.value).unwrap_or_else(|error| {
            self.shared.refusals.record_entry(&row.key, row.revision, row.value.len(), &error.to_string());
            Head::default()
        });
        Ok((head, row.revision))
    }

    async fn accepted(&self, revision: Revision, overrides: Vec<Override>) -> ProposalOutcome {
        self.read().await.ok();
        info!("event=config-accepted revision={revision}");
        ProposalOutcome::Accepted { revision: revision.ordinal(), overrides }
    }

    /// Handles a failed comparison: either another change came first, or an earlier attempt took effect.
    async fn resolve_conflict(&self, token: &str, uncertain: bool, overrides: Vec<Override>) -> ProposalOutcome {
        let head = self.read_head().await;
        self.read().await.ok();
        match head {
            Ok((head, at)) if head.token == token => self.accepted(at, overrides).await,
            Ok((head, at)) if head.after == token => self.accepted(at.previous(), overrides).await,
            Ok((_, at)) if !uncertain => ProposalOutcome::Conflict { revision: at.ordinal(), changed: Vec::new() },
            _ => {
                let message = "other changes came meanwhile; look at the files in force";
                ProposalOutcome::Unknown { message: message.into() }
            }
        }
    }
}

/// Returns the row of a put. A removed file is stored as a value without text, so keys are never removed.
fn put_row(change: StoreChange) -> Option<Row> {
    match change {
        StoreChange::Put(row) => Some(row),
        StoreChange::Removed(..) => None,
    }
}

/// Problems of files that cannot be read and that the changes leave as they are.
fn problems_apart_from(unreadable: &BTreeMap<Arc<str>, Arc<Document>>, changes: &[Change]) -> Vec<Problem> {
    let is_changed = |name: &Arc<str>| changes.iter().any(|change| change.name == *name);
    let left = unreadable.iter().filter(|(name, _)| !is_changed(name));
    left.filter_map(|(_, document)| document.problem().cloned()).collect()
}

fn differs(documents: &BTreeMap<Arc<str>, Arc<Document>>, change: &Change) -> bool {
    let current = documents.get(&change.name).map(|document| &**document.text());
    current != change.text.as_deref()
}

fn apply_changes(
    mut documents: BTreeMap<Arc<str>, Arc<Document>>,
    changes: &[Change],
) -> BTreeMap<Arc<str>, Arc<Document>> {
    for change in changes {
        match &change.text {
            Some(text) => {
                let document = Document::parse(&change.name, text.as_str().into());
                documents.insert(change.name.clone(), Arc::new(document));
            }
            None => {
                documents.remove(&change.name);
            }
        }
    }
    documents
}
