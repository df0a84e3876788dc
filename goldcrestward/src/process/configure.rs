//! Configuration: accepted by compare-and-swap, watched by a few daemons, compiled by all.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use log::{error, info, warn};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use super::shared::{InForce, Shared};
use crate::{
    config::{Document, Override, Problem, merge},
    pb,
    store::{Change as StoreChange, Commit, Compare, Error, Purpose, Put, Row},
    util::unix_ms,
};

/// Daemons that watch the service; more than one, as duplicates do no harm.
const WATCHERS: usize = 3;
/// Time after which a daemon asks itself anew whether it shall watch.
const ROLE_INTERVAL: Duration = Duration::from_secs(2);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Least time between two compilations.
const COMPILE_PAUSE: Duration = Duration::from_millis(100);
/// Tries to learn whether a change whose answer was lost took effect.
const SETTLE_TRIES: u32 = 6;

/// The value of the head key, which every accepted change rewrites.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Head {
    /// Names the change.
    token: String,
    /// Names the change before it.
    after: String,
}

/// The value of a file's key.
#[derive(Debug, Serialize, Deserialize)]
struct StoredFile {
    text: Option<String>,
}

/// One file to be set or removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Change {
    /// The file's name.
    pub name: Arc<str>,
    /// Its text; `None` removes it.
    pub text: Option<String>,
}

/// What became of a proposed change.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub(crate) enum Proposed {
    /// It is in the service at this revision.
    Accepted {
        /// The revision.
        revision: u64,
        /// Entries that later files override.
        overrides: Vec<Override>,
    },
    /// It is what is already in force.
    Unchanged {
        /// The revision in force.
        revision: u64,
    },
    /// It is wrong; nothing was changed.
    Invalid {
        /// What is wrong.
        problems: Vec<Problem>,
    },
    /// Another change came first; nothing was changed.
    Conflict {
        /// The revision now in force.
        revision: u64,
        /// Files that differ from what the operator expected.
        changed: Vec<Arc<str>>,
    },
    /// The service cannot be reached; nothing was changed.
    Unavailable {
        /// Why.
        message: String,
    },
    /// The service's answer was lost; the change may have been accepted.
    Unknown {
        /// What to do.
        message: String,
    },
}

/// The configuration's side of the platform's service.
#[derive(Clone)]
pub(crate) struct Configurer {
    shared: Arc<Shared>,
    prefix: String,
}

impl Configurer {
    /// The configuration of the daemon's site.
    pub fn new(shared: Arc<Shared>) -> Self {
        let prefix = format!("/goldcrestward/{}/config/", shared.settings.site);
        Self { shared, prefix }
    }

    /// Reads the service once, then watches it while that is this daemon's duty.
    pub async fn watch(self) {
        while self.read().await.is_err() && self.shared.config.lock().revision() == 0 {
            sleep(RETRY_PAUSE).await;
        }
        loop {
            if self.is_watcher() && !self.shared.kv.is_paused() {
                self.follow().await;
                sleep(RETRY_PAUSE).await;
            } else {
                sleep(ROLE_INTERVAL).await;
            }
        }
    }

    /// Puts changed files into force until the task is dropped.
    pub async fn compile(self) {
        loop {
            self.shared.config_changed.notified().await;
            let (revision, merged) = {
                let config = self.shared.config.lock();
                (config.revision(), config.compile())
            };
            if merged.problems.is_empty() {
                self.shared.in_force.store(Arc::new(InForce { revision, site: merged.site }));
                self.shared.metrics.config_revision.set(revision as i64);
                self.shared.metrics.config_since.set(unix_ms() as i64);
                self.shared.refresh_choices();
                info!("event=config-in-force revision={revision}");
            } else {
                // Every change is checked before it is accepted, so this needs a foreign writer.
                let problems: Vec<_> = merged.problems.iter().map(ToString::to_string).collect();
                error!("event=config-refused revision={revision} problems={problems:?}");
            }
            sleep(COMPILE_PAUSE).await;
        }
    }

    /// Proposes changes. With `base`, they are accepted only on top of that revision.
    pub async fn propose(&self, changes: Vec<Change>, base: Option<u64>) -> Proposed {
        if let Err(error) = self.read().await {
            return Proposed::Unavailable { message: error.to_string() };
        }
        let revision = self.shared.config.lock().revision();
        if let Some(base) = base.filter(|base| *base != revision) {
            let changed = self.shared.config.lock().delta(base).files;
            let changed = changed.into_iter().map(|file| file.name.into()).collect();
            return Proposed::Conflict { revision, changed };
        }
        let documents = self.shared.config.lock().documents();
        let changes: Vec<_> = changes.into_iter().filter(|change| differs(&documents, change)).collect();
        if changes.is_empty() {
            return Proposed::Unchanged { revision };
        }
        let merged = merge(&with_changes(documents, &changes));
        if !merged.problems.is_empty() {
            return Proposed::Invalid { problems: merged.problems };
        }
        self.commit(&changes, revision, merged.overrides).await
    }

    fn is_watcher(&self) -> bool {
        self.shared.view.lock().rank("config-watch") < WATCHERS
    }

    fn head_key(&self) -> String {
        format!("{}head", self.prefix)
    }

    /// Reads what is newer than this daemon's files.
    async fn read(&self) -> Result<u64, Error> {
        let from = self.shared.config.lock().revision();
        let (rows, now) = self.shared.kv.list(Purpose::Config, &self.prefix, from + 1).await?;
        self.take(rows);
        Ok(now)
    }

    fn take(&self, rows: Vec<Row>) {
        let revision = rows.iter().map(|row| row.revision).max().unwrap_or(0);
        let files = rows.into_iter().filter_map(|row| {
            let name = row.key.strip_prefix(&self.prefix)?.strip_prefix("file/")?.to_owned();
            let file: StoredFile = serde_json::from_slice(&row.value).ok()?;
            Some(pb::ConfigFile { name, revision: row.revision, text: file.text })
        });
        let files = files.collect();
        self.shared.merge_config(pb::ConfigDelta { revision, files, whole: false }, "service");
    }

    async fn follow(&self) {
        let Ok(now) = self.read().await else { return };
        let Ok(mut watch) = self.shared.kv.watch(Purpose::Config, &self.prefix, now).await else { return };
        loop {
            match timeout(ROLE_INTERVAL, watch.next()).await {
                Err(_) if self.is_watcher() => {}
                Err(_) => return,
                Ok(Ok(changes)) => self.take(changes.changes.into_iter().filter_map(put_row).collect()),
                Ok(Err(error)) => {
                    warn!("event=config-watch-ended error={error:?}");
                    return;
                }
            }
        }
    }

    async fn commit(&self, changes: &[Change], revision: u64, overrides: Vec<Override>) -> Proposed {
        let before = match self.read_head().await {
            Ok((head, at)) if at == revision => head.token,
            Ok((_, at)) => return Proposed::Conflict { revision: at, changed: Vec::new() },
            Err(error) => return Proposed::Unavailable { message: error.to_string() },
        };
        let token = format!("{:032x}", rand::random::<u128>());
        let mut uncertain = false;
        for _ in 0..SETTLE_TRIES {
            let commit = self.transaction(changes, revision, &token, &before);
            match self.shared.kv.txn(Purpose::Config, commit).await {
                Ok(txn) if txn.succeeded => return self.accepted(txn.revision, overrides).await,
                Ok(_) => return self.lost_race(&token, uncertain, overrides).await,
                Err(Error::Unreached { .. } | Error::Budget { .. }) if !uncertain => {
                    let message = "the platform's service cannot be reached; nothing was changed".into();
                    return Proposed::Unavailable { message };
                }
                // The same comparison admits the change once, so it can be sent again.
                Err(_) => uncertain = true,
            }
            sleep(RETRY_PAUSE).await;
        }
        Proposed::Unknown {
            message: format!("no answer from the service; look for change {token} in the status later"),
        }
    }

    fn transaction(&self, changes: &[Change], revision: u64, token: &str, before: &str) -> Commit {
        let head = Head { token: token.to_owned(), after: before.to_owned() };
        let mut puts =
            vec![Put { key: self.head_key(), value: serde_json::to_vec(&head).unwrap_or_default(), lease: 0 }];
        puts.extend(changes.iter().map(|change| {
            let file = StoredFile { text: change.text.clone() };
            let key = format!("{}file/{}", self.prefix, change.name);
            Put { key, value: serde_json::to_vec(&file).unwrap_or_default(), lease: 0 }
        }));
        Commit { compares: vec![Compare { key: self.head_key(), revision }], puts, removes: Vec::new() }
    }

    async fn read_head(&self) -> Result<(Head, u64), Error> {
        let row = self.shared.kv.get(Purpose::Config, &self.head_key()).await?;
        let Some(row) = row else { return Ok((Head::default(), 0)) };
        Ok((serde_json::from_slice(&row.value).unwrap_or_default(), row.revision))
    }

    async fn accepted(&self, revision: u64, overrides: Vec<Override>) -> Proposed {
        self.read().await.ok();
        info!("event=config-accepted revision={revision}");
        Proposed::Accepted { revision, overrides }
    }

    /// The comparison failed: either another change came first, or an earlier try took effect.
    async fn lost_race(&self, token: &str, uncertain: bool, overrides: Vec<Override>) -> Proposed {
        let head = self.read_head().await;
        self.read().await.ok();
        match head {
            Ok((head, at)) if head.token == token => self.accepted(at, overrides).await,
            Ok((head, at)) if head.after == token => self.accepted(at - 1, overrides).await,
            Ok((_, at)) if !uncertain => Proposed::Conflict { revision: at, changed: Vec::new() },
            _ => {
                let message = "other changes came meanwhile; look at the files in force";
                Proposed::Unknown { message: message.into() }
            }
        }
    }
}

/// A removed file is a value without text, so keys are never removed.
fn put_row(change: StoreChange) -> Option<Row> {
    match change {
        StoreChange::Put(row) => Some(row),
        StoreChange::Removed(..) => None,
    }
}

fn differs(documents: &BTreeMap<Arc<str>, Arc<Document>>, change: &Change) -> bool {
    let now = documents.get(&change.name).map(|document| &**document.text());
    now != change.text.as_deref()
}

fn with_changes(
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
