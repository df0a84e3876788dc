//! Merging and validation of configuration files.

use std::{collections::BTreeMap, fmt, sync::Arc, time::Duration};

use chrono::DateTime;
use serde::Serialize;
use serde_saphyr::Spanned;

use super::{
    document::Document,
    policy::RouteKind,
    site::{Account, Limits, Pool, Price, RolloutMode, Route, Site, VersionPlan, Zone},
    spec::{AccountSpec, Entries, PoolKind, PoolSpec, PriceSpec, RouteSpec, VersionSpec, ZoneSpec},
};

/// Time limit of a request whose route sets none, in seconds.
const DEFAULT_TIMEOUT_SECONDS: f64 = 120.0;
/// Retry budget of a route that sets none, as a percentage of its requests.
const DEFAULT_RETRY_PERCENT: f64 = 10.0;
/// Shares of traffic in the steps of a rollout that sets none.
const DEFAULT_STEPS: [f64; 5] = [0.01, 0.05, 0.2, 0.5, 1.0];
/// Increase in the percentage of failed or slow requests that counts as harm if the version sets none.
const DEFAULT_HARM_PERCENT: f64 = 5.0;
/// Intended number of requests in flight per server if its pool sets none.
const DEFAULT_CONCURRENCY: u32 = 32;
/// Connections that each server accepts from all daemons together.
const DEFAULT_MAX_CONNECTIONS: u32 = 1024;
/// Most replicas to which one request may be sent.
const DEFAULT_ATTEMPT_LIMIT: u32 = 3;
/// Time within which a response or the first event of a stream counts as in time; the capacity page has the same target.
const DEFAULT_LATENCY_TARGET: Duration = Duration::from_millis(340);

/// An error in the content of a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    pub file: Arc<str>,
    /// Line number, from 1; 0 if unknown.
    pub line: u64,
    /// Path of the field from the top of the document, such as `routes.chat.pool`.
    pub field: String,
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.file, self.line, self.field, self.message)
    }
}

/// An entry that a later file replaces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Override {
    /// Kind and name of the entry, such as `routes.chat`.
    pub entry: String,
    /// File whose entry is replaced.
    pub earlier: Arc<str>,
    /// File whose entry is in force.
    pub later: Arc<str>,
}

#[derive(Clone, Debug, Default)]
pub struct Merged {
    /// The configuration; valid only if there are no problems.
    pub site: Site,
    pub problems: Vec<Problem>,
    pub overrides: Vec<Override>,
}

/// Entries of one kind by name, each with the file that it comes from.
type Sources<'a, T> = BTreeMap<Arc<str>, (Arc<str>, &'a Spanned<T>)>;

/// Merges documents in order of file name and validates the result.
pub fn merge(documents: &BTreeMap<Arc<str>, Arc<Document>>) -> Merged {
    let mut merger = Merger { merged: Merged::default() };
    for document in documents.values() {
        merger.merged.problems.extend(document.problem().cloned());
    }
    let zones = merger.collect(documents, "zones", |d| &d.spec().zones);
    let pools = merger.collect(documents, "pools", |d| &d.spec().pools);
    let routes = merger.collect(documents, "routes", |d| &d.spec().routes);
    let accounts = merger.collect(documents, "accounts", |d| &d.spec().accounts);
    let versions = merger.collect(documents, "versions", |d| &d.spec().versions);
    let prices = merger.collect(documents, "prices", |d| &d.spec().prices);
    merger.add_zones(&zones);
    merger.add_pools(&pools);
    merger.add_routes(&routes);
    merger.add_accounts(&accounts);
    merger.add_versions(&versions);
    merger.add_prices(&prices);
    merger.merged
}

struct Merger {
    merged: Merged,
}

impl Merger {
    fn collect<'a, T>(
        &mut self,
        documents: &'a BTreeMap<Arc<str>, Arc<Document>>,
        kind: &str,
        entries: impl Fn(&'a Document) -> &'a Entries<T>,
    ) -> Sources<'a, T> {
        let mut sources: Sources<'a, T> = BTreeMap::new();
        for (file, document) in documents {
            for (name, entry) in entries(document) {
                let before = sources.insert(name.clone(), (file.clone(), entry));
                let Some((earlier, _)) = before else { continue };
                let entry = format!("{kind}.{name}");
                self.merged.overrides.push(Override { entry, earlier, later: file.clone() });
            }
        }
        sources
    }

    fn report<T>(&mut self, file: &Arc<str>, at: &Spanned<T>, field: String, message: impl Into<String>) {
        let line = at.referenced.line();
        let message = message.into();
        self.merged.problems.push(Problem { file: file.clone(), line, field, message });
    }

    fn check_positive(&mut self, file: &Arc<str>, value: &Option<Spanned<f64>>, field: String, default: f64) -> f64 {
        let Some(given) = value else { return default };
        if !given.value.is_finite() || given.value <= 0.0 {
            self.report(file, given, field, format!("must be a number above 0, not {}", given.value));
        }
        given.value
    }

    fn check_percent(&mut self, file: &Arc<str>, value: &Option<Spanned<f64>>, field: String, default: f64) -> f64 {
        let Some(given) = value else { return default / 100.0 };
        if !(0.0..=100.0).contains(&given.value) {
            self.report(file, given, field, format!("must be between 0 and 100, not {}", given.value));
        }
        given.value / 100.0
    }

    fn add_zones(&mut self, zones: &Sources<'_, ZoneSpec>) {
        for (name, (file, entry)) in zones {
            let region = entry.value.region.value.clone();
            if region.is_empty() {
                self.report(file, &entry.value.region, format!("zones.{name}.region"), "must not be empty");
            }
            self.merged.site.zones.insert(name.clone(), Zone { name: name.clone(), region });
        }
    }

    fn add_pools(&mut self, pools: &Sources<'_, PoolSpec>) {
        for (name, (file, entry)) in pools {
            let spec = &entry.value;
            if let Some(count) = spec.concurrency.as_ref().filter(|c| c.value == 0) {
                self.report(file, count, format!("pools.{name}.concurrency"), "must be above 0");
            }
            let pool = Pool {
                name: name.clone(),
                kind: spec.kind,
                checks_fencing_tokens: spec.checks_fences,
                replicas: spec.replicas.as_ref().map_or(0, |r| r.value),
                concurrency: spec.concurrency.as_ref().map_or(DEFAULT_CONCURRENCY, |c| c.value),
                max_connections: DEFAULT_MAX_CONNECTIONS,
                health_path: None,
                engine: None,
                scaling: None,
            };
            self.merged.site.pools.insert(name.clone(), pool);
        }
    }

    fn add_routes(&mut self, routes: &Sources<'_, RouteSpec>) {
        let mut prefixes = BTreeMap::new();
        let mut models = BTreeMap::new();
        for (name, (file, entry)) in routes {
            let spec = &entry.value;
            self.check_route(name, file, entry);
            let prefix = spec.prefix.as_ref().map(|p| p.value.clone());
            let model = spec.model.as_ref().map(|m| m.value.clone());
            let route_of = |(other, file): &(Arc<str>, Arc<str>)| format!("{other} of {file}");
            if let Some(given) = &spec.prefix
                && let Some(other) = prefixes.insert(given.value.clone(), (name.clone(), file.clone()))
            {
                let message = format!("another route has this prefix: {}", route_of(&other));
                self.report(file, given, format!("routes.{name}.prefix"), message);
            }
            if let Some(given) = &spec.model
                && let Some(other) = models.insert(given.value.clone(), (name.clone(), file.clone()))
            {
                let message = format!("another route has this model: {}", route_of(&other));
                self.report(file, given, format!("routes.{name}.model"), message);
            }
            let timeout = format!("routes.{name}.timeout-seconds");
            let retries = format!("routes.{name}.retry-percent");
            let seconds = self.check_positive(file, &spec.timeout_seconds, timeout, DEFAULT_TIMEOUT_SECONDS);
            let route = Route {
                name: name.clone(),
                pool: spec.pool.value.clone(),
                model,
                prefix,
                repeatable: spec.repeatable,
                lookup: spec.lookup,
                timeout: Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX),
                retry_share: self.check_percent(file, &spec.retry_percent, retries, DEFAULT_RETRY_PERCENT),
                priority: spec.priority,
                host: None,
                shares: Vec::new(),
                kind: if spec.repeatable { RouteKind::Idempotent } else { RouteKind::NonIdempotent },
                attempt_limit: DEFAULT_ATTEMPT_LIMIT,
                latency_target: DEFAULT_LATENCY_TARGET,
                allows_anonymous: false,
            };
            self.merged.site.routes.insert(name.clone(), Arc::new(route));
        }
    }

    fn check_route(&mut self, name: &Arc<str>, file: &Arc<str>, entry: &Spanned<RouteSpec>) {
        let spec = &entry.value;
        let kind = self.merged.site.pools.get(&spec.pool.value).map(|p| p.kind);
        match kind {
            None => {
                let message = format!("there is no pool {}", spec.pool.value);
                self.report(file, &spec.pool, format!("routes.{name}.pool"), message);
            }
            Some(PoolKind::Model) if spec.model.is_none() => {
                self.report(file, entry, format!("routes.{name}.model"), "a route to a model pool needs a model");
            }
            Some(PoolKind::Plain) if spec.prefix.is_none() => {
                self.report(file, entry, format!("routes.{name}.prefix"), "a route to a plain pool needs a prefix");
            }
            Some(PoolKind::Model) if !spec.repeatable => {
                self.report(
                    file,
                    entry,
                    format!("routes.{name}.repeatable"),
                    "only plain routes can be not repeatable",
                );
            }
            Some(_) => {}
        }
        if spec.lookup && !spec.repeatable {
            self.report(file, entry, format!("routes.{name}.lookup"), "a lookup must be repeatable");
        }
        if let Some(prefix) = spec.prefix.as_ref().filter(|p| !p.value.starts_with('/')) {
            self.report(file, prefix, format!("routes.{name}.prefix"), "must start with /");
        }
    }

    fn add_accounts(&mut self, accounts: &Sources<'_, AccountSpec>) {
        let mut keys = BTreeMap::new();
        for (name, (file, entry)) in accounts {
            let spec = &entry.value;
            let key = &spec.key_sha256;
            let digits = key.value.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'));
            if key.value.len() != 64 || !digits {
                let message = "must be 64 lowercase hexadecimal digits";
                self.report(file, key, format!("accounts.{name}.key-sha256"), message);
            }
            if let Some((other, other_file)) = keys.insert(key.value.clone(), (name.clone(), file.clone())) {
                let message = format!("another account has this key: {other} of {other_file}");
                self.report(file, key, format!("accounts.{name}.key-sha256"), message);
            }
            for route in &spec.routes {
                if !self.merged.site.routes.contains_key(&route.value) {
                    let message = format!("there is no route {}", route.value);
                    self.report(file, route, format!("accounts.{name}.routes"), message);
                }
            }
            let field = |field: &str| format!("accounts.{name}.{field}");
            let unlimited = f64::INFINITY;
            let limits = Limits {
                requests: self.check_positive(file, &spec.requests_per_second, field("requests-per-second"), unlimited),
                tokens: self.check_positive(file, &spec.tokens_per_second, field("tokens-per-second"), unlimited),
                concurrency: self.check_positive(file, &spec.concurrency, field("concurrency"), unlimited),
            };
            let account = Account {
                name: name.clone(),
                key_hashes: vec![key.value.clone()],
                routes: spec.routes.iter().map(|r| r.value.clone()).collect(),
                weight: self.check_positive(file, &spec.weight, field("weight"), 1.0),
                limits,
                priority: None,
                quota: None,
            };
            self.merged.site.accounts.insert(name.clone(), Arc::new(account));
        }
    }

    fn parse_time(&mut self, file: &Arc<str>, text: &Option<Spanned<Arc<str>>>, field: String) -> Option<u64> {
        let given = text.as_ref()?;
        let Ok(time) = DateTime::parse_from_rfc3339(&given.value) else {
            let message = format!("must be a time such as 2027-01-31T06:00:00+08:00, not {}", given.value);
            self.report(file, given, field, message);
            return None;
        };
        u64::try_from(time.timestamp_millis()).ok()
    }

    fn add_versions(&mut self, versions: &Sources<'_, VersionSpec>) {
        for (name, (file, entry)) in versions {
            let spec = &entry.value;
            if !self.merged.site.pools.contains_key(&spec.pool.value) {
                let message = format!("there is no pool {}", spec.pool.value);
                self.report(file, &spec.pool, format!("versions.{name}.pool"), message);
            }
            let start_ms = self.parse_time(file, &spec.start, format!("versions.{name}.start"));
            let date_ms = self.parse_time(file, &spec.date, format!("versions.{name}.date"));
            if spec.start.is_some() != spec.date.is_some() {
                let message = "a rollout needs both a start and a date";
                self.report(file, entry, format!("versions.{name}.start"), message);
            }
            if let (Some(start), Some(date), Some(given)) = (start_ms, date_ms, &spec.date)
                && date <= start
            {
                self.report(file, given, format!("versions.{name}.date"), "must be later than the start");
            }
            let steps = self.check_steps(name, file, &spec.steps_percent);
            let harm_field = format!("versions.{name}.harm-percent");
            let harm_threshold = self.check_percent(file, &spec.harm_percent, harm_field, DEFAULT_HARM_PERCENT);
            let pool = spec.pool.value.clone();
            let rollout_key = name.clone();
            let plan = VersionPlan {
                name: name.clone(),
                rollout_key,
                pool,
                start_ms,
                date_ms,
                steps,
                harm_threshold,
                mode: RolloutMode::Planned,
            };
            self.merged.site.versions.insert(name.clone(), plan);
        }
    }

    fn check_steps(&mut self, name: &Arc<str>, file: &Arc<str>, given: &Option<Spanned<Vec<f64>>>) -> Vec<f64> {
        let Some(given) = given else { return DEFAULT_STEPS.to_vec() };
        let steps: Vec<f64> = given.value.iter().map(|s| s / 100.0).collect();
        let rising = steps.windows(2).all(|pair| pair[0] < pair[1]);
        let ends_valid = steps.last() == Some(&1.0) && steps.first().is_some_and(|s| *s > 0.0);
        if !rising || !ends_valid {
            let message = "must rise from above 0 to 100";
            self.report(file, given, format!("versions.{name}.steps-percent"), message);
        }
        steps
    }

    fn add_prices(&mut self, prices: &Sources<'_, PriceSpec>) {
        for (name, (file, entry)) in prices {
            let spec = &entry.value;
            if !self.merged.site.zones.contains_key(&spec.zone.value) {
                let message = format!("there is no zone {}", spec.zone.value);
                self.report(file, &spec.zone, format!("prices.{name}.zone"), message);
            }
            for (field, price) in
                [("reclaimable-per-hour", &spec.reclaimable_per_hour), ("on-demand-per-hour", &spec.on_demand_per_hour)]
            {
                if !price.value.is_finite() || price.value < 0.0 {
                    self.report(file, price, format!("prices.{name}.{field}"), "must be a number from 0 up");
                }
            }
            let price = Price {
                zone: spec.zone.value.clone(),
                class: spec.class.clone(),
                reclaimable: spec.reclaimable_per_hour.value,
                on_demand: spec.on_demand_per_hour.value,
            };
            self.merged.site.prices.insert(name.clone(), price);
        }
    }
}
