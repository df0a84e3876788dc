//! Schema of a configuration file.

use std::{collections::BTreeMap, sync::Arc};

use serde::Deserialize;
use serde_saphyr::Spanned;

/// Entries by name, with their positions in the file.
pub(crate) type Entries<T> = BTreeMap<Arc<str>, Spanned<T>>;

/// Interface of a pool's backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines with an OpenAI-compatible interface.
    Model,
    /// Plain services, to which calls are forwarded.
    Plain,
}

/// Content of a file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Spec {
    pub(crate) routes: Entries<RouteSpec>,
    pub(crate) accounts: Entries<AccountSpec>,
    pub(crate) pools: Entries<PoolSpec>,
    pub(crate) versions: Entries<VersionSpec>,
    pub(crate) zones: Entries<ZoneSpec>,
    pub(crate) prices: Entries<PriceSpec>,
}

/// Rule that sends requests for a model or a path to a pool.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct RouteSpec {
    pub pool: Spanned<Arc<str>>,
    #[serde(default)]
    pub model: Option<Spanned<Arc<str>>>,
    #[serde(default)]
    pub prefix: Option<Spanned<Arc<str>>>,
    #[serde(default = "yes")]
    pub repeatable: bool,
    #[serde(default)]
    pub lookup: bool,
    #[serde(default)]
    pub timeout_seconds: Option<Spanned<f64>>,
    #[serde(default)]
    pub retry_percent: Option<Spanned<f64>>,
    #[serde(default)]
    pub priority: i32,
}

/// A client account.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct AccountSpec {
    pub key_sha256: Spanned<Arc<str>>,
    #[serde(default)]
    pub routes: Vec<Spanned<Arc<str>>>,
    #[serde(default)]
    pub weight: Option<Spanned<f64>>,
    #[serde(default)]
    pub requests_per_second: Option<Spanned<f64>>,
    #[serde(default)]
    pub tokens_per_second: Option<Spanned<f64>>,
    #[serde(default)]
    pub concurrency: Option<Spanned<f64>>,
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct PoolSpec {
    pub kind: PoolKind,
    #[serde(default)]
    pub checks_fences: bool,
    #[serde(default)]
    pub replicas: Option<Spanned<u32>>,
    #[serde(default)]
    pub concurrency: Option<Spanned<u32>>,
}

/// A version of a pool's backend servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct VersionSpec {
    pub pool: Spanned<Arc<str>>,
    #[serde(default)]
    pub start: Option<Spanned<Arc<str>>>,
    #[serde(default)]
    pub date: Option<Spanned<Arc<str>>>,
    #[serde(default)]
    pub steps_percent: Option<Spanned<Vec<f64>>>,
    #[serde(default)]
    pub harm_percent: Option<Spanned<f64>>,
}

/// An availability zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct ZoneSpec {
    pub region: Spanned<Arc<str>>,
}

/// Prices of an instance class in an availability zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct PriceSpec {
    pub zone: Spanned<Arc<str>>,
    pub class: Arc<str>,
    pub reclaimable_per_hour: Spanned<f64>,
    pub on_demand_per_hour: Spanned<f64>,
}

fn yes() -> bool {
    true
}
