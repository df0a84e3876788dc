//! Settings of a daemon from a YAML file, environment variables and flags, each overriding the one before.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use serde::Deserialize;
use snafu::{ResultExt, Snafu};

use super::retries::RetryLimit;

/// Result of reading settings.
pub type Result<T, E = SettingsError> = std::result::Result<T, E>;

/// Minimum length of a peer secret.
const MIN_SECRET_BYTES: usize = 16;

/// Why settings could not be read or are invalid.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("could not read settings from {path}: {source}"))]
    Read { path: String, source: std::io::Error },
    /// The content of the file is invalid.
    #[snafu(display("{path}:{line}: {field}: {message}"))]
    Invalid {
        path: String,
        /// Line number, starting at 1.
        line: u64,
        /// Path of the field from the top level.
        field: String,
        message: String,
    },
    /// A value is missing or invalid.
    #[snafu(display("{field}: {message}"))]
    Value { field: &'static str, message: String },
}

/// Settings as given in one source: a file, or variables and flags. A field that the source does not set is `None`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Overrides {
    /// The site that the daemon belongs to.
    pub site: Option<String>,
    /// Name of the daemon, unique in the site.
    pub name: Option<String>,
    pub region: Option<String>,
    /// Availability zone.
    pub zone: Option<String>,
    /// Address on which callers connect.
    pub callers: Option<SocketAddr>,
    /// Address on which operators connect.
    pub admin: Option<SocketAddr>,
    /// Address on which other daemons connect.
    pub peers: Option<SocketAddr>,
    /// Address that other daemons use for this one, if it differs from `peers`.
    pub advertise: Option<SocketAddr>,
    /// Address of the platform's key-value store and instance list.
    pub platform: Option<SocketAddr>,
    /// Daemons to join when the platform's store cannot name any.
    pub join: Option<Vec<SocketAddr>>,
    /// Shared secrets by which daemons authenticate each other: the first signs, all verify.
    pub peer_secrets: Option<Vec<String>>,
    /// SHA-256 of the operators' token in lowercase hexadecimal digits; needed if `admin` is set.
    pub admin_token_sha256: Option<String>,
    /// Number of worker threads.
    pub workers: Option<usize>,
    /// Maximum duration of a graceful shutdown in seconds; 0 for no limit.
    pub drain_seconds: Option<u64>,
    /// Time in ms for the load balancer to notice that the daemon is stopping.
    pub notice_ms: Option<u64>,
    /// Address for the load balancer's readiness checks, if it does not check at the address for callers.
    pub ready: Option<SocketAddr>,
    /// Address at which metrics can be read without a token.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform API that one daemon calls on behalf of all.
    pub cloud: Option<SocketAddr>,
    /// Region of each availability zone.
    pub zones: Option<BTreeMap<Arc<str>, Arc<str>>>,
    /// Retries allowed as a share of requests, for the whole site.
    pub retry_share: Option<f64>,
    /// Retries allowed in addition to that share, for the whole site.
    pub retry_extra: Option<f64>,
    /// Window in seconds over which retries are counted.
    pub retry_window: Option<f64>,
    /// Length in seconds of the window that a usage report covers.
    pub usage_window: Option<u64>,
    /// Time in seconds after the end of a window within which its usage is reported.
    pub usage_delay: Option<u64>,
    /// Lifetime in ms of the lease on the duties: the time for which their holder keeps them without a renewal.
    pub lease_ms: Option<u64>,
    /// Time in ms within which a change of the platform's configuration must be in force on all daemons.
    pub config_apply_ms: Option<u64>,
    /// Memory that the daemon may take in MB.
    pub memory_mb: Option<u64>,
}

impl Overrides {
    /// Reads a settings file.
    ///
    /// # Errors
    /// Fails when the file cannot be read or is invalid, naming line and field.
    pub fn read(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).context(ReadSnafu { path: &name })?;
        serde_saphyr::from_str(&text).map_err(|error| {
            let problem = crate::config::yaml_problem(&name.as_str().into(), &text, &error);
            let (line, field, message) = (problem.line, problem.field, problem.message);
            SettingsError::Invalid { path: name, line, field, message }
        })
    }

    /// Returns these settings with every field that `overrides` sets replaced.
    #[must_use]
    pub fn overridden_by(self, overrides: Self) -> Self {
        Self {
            site: overrides.site.or(self.site),
            name: overrides.name.or(self.name),
            region: overrides.region.or(self.region),
            zone: overrides.zone.or(self.zone),
            callers: overrides.callers.or(self.callers),
            admin: overrides.admin.or(self.admin),
            peers: overrides.peers.or(self.peers),
            advertise: overrides.advertise.or(self.advertise),
            platform: overrides.platform.or(self.platform),
            join: overrides.join.or(self.join),
            peer_secrets: overrides.peer_secrets.or(self.peer_secrets),
            admin_token_sha256: overrides.admin_token_sha256.or(self.admin_token_sha256),
            workers: overrides.workers.or(self.workers),
            drain_seconds: overrides.drain_seconds.or(self.drain_seconds),
            notice_ms: overrides.notice_ms.or(self.notice_ms),
            ready: overrides.ready.or(self.ready),
            metrics: overrides.metrics.or(self.metrics),
            cloud: overrides.cloud.or(self.cloud),
            zones: overrides.zones.or(self.zones),
            retry_share: overrides.retry_share.or(self.retry_share),
            retry_extra: overrides.retry_extra.or(self.retry_extra),
            retry_window: overrides.retry_window.or(self.retry_window),
            usage_window: overrides.usage_window.or(self.usage_window),
            usage_delay: overrides.usage_delay.or(self.usage_delay),
            lease_ms: overrides.lease_ms.or(self.lease_ms),
            config_apply_ms: overrides.config_apply_ms.or(self.config_apply_ms),
            memory_mb: overrides.memory_mb.or(self.memory_mb),
        }
    }
}

/// The validated settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The site that the daemon belongs to.
    pub site: Arc<str>,
    /// Name of the daemon, unique in the site.
    pub name: Arc<str>,
    pub region: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address on which operators connect; `None` disables the listener.
    pub admin: Option<SocketAddr>,
    /// Address on which other daemons connect.
    pub peers: SocketAddr,
    /// Address that other daemons use for this one.
    pub advertise: SocketAddr,
    /// Address of the platform's key-value store and instance list.
    pub platform: SocketAddr,
    /// Daemons to join when the platform's store cannot name any.
    pub join: Vec<SocketAddr>,
    /// Shared secrets by which daemons authenticate each other: the first signs, all verify.
    pub secrets: Vec<String>,
    /// SHA-256 of the operators' token in lowercase hexadecimal digits; empty if `admin` is `None`.
    pub token_hash: Arc<str>,
    /// Number of worker threads.
    pub workers: usize,
    /// Maximum duration of a graceful shutdown in seconds; 0 for no limit.
    pub drain_seconds: u64,
    /// Time for the load balancer to notice that the daemon is stopping.
    pub notice: Duration,
    /// Address for the load balancer's readiness checks, if it does not check at the address for callers.
    pub ready: Option<SocketAddr>,
    /// Address at which metrics can be read without a token.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform API that one daemon calls on behalf of all.
    pub cloud: Option<SocketAddr>,
    /// Region of each availability zone.
    pub zones: BTreeMap<Arc<str>, Arc<str>>,
    pub retries: RetryLimit,
    /// Length of the window that a usage report covers.
    pub usage_window: Duration,
    /// Time after the end of a window within which its usage is reported.
    pub usage_delay: Duration,
    /// Lifetime of the lease on the duties: the time for which their holder keeps them without a renewal.
    pub lease: Duration,
    /// Time within which a change of the platform's configuration must be in force on all daemons.
    pub config_apply: Duration,
    /// Bytes of responses that the daemon keeps at most.
    pub response_bytes: usize,
    /// Bytes of the bodies of requests that the daemon keeps at most.
    pub request_bytes: usize,
}

const DEFAULT_NOTICE_MS: u64 = 500;
const DEFAULT_RETRY_SHARE: f64 = 0.1;
const DEFAULT_RETRY_EXTRA: f64 = 20.0;
const DEFAULT_RETRY_WINDOW_SECONDS: f64 = 10.0;
const DEFAULT_USAGE_WINDOW_SECONDS: u64 = 60;
const DEFAULT_USAGE_DELAY_SECONDS: u64 = 60;
const DEFAULT_LEASE_MS: u64 = 5_000;
const DEFAULT_CONFIG_APPLY_MS: u64 = 2_500;
const DEFAULT_MEMORY_MB: u64 = 256;
const MIN_MEMORY_MB: u64 = 64;
/// Part of the memory for the responses that a daemon keeps; the buffers of connections and all else take the rest.
const RESPONSE_PART: usize = 4;
/// Part of the memory for the bodies of callers' requests.
const REQUEST_PART: usize = 4;

impl TryFrom<Overrides> for Settings {
    type Error = SettingsError;

    fn try_from(overrides: Overrides) -> Result<Self> {
        let peers = required("peers", overrides.peers)?;
        let secrets = required("peer-secrets", overrides.peer_secrets)?;
        if secrets.is_empty() || secrets.iter().any(|s| s.len() < MIN_SECRET_BYTES) {
            return invalid("peer-secrets", format!("needs at least one secret of {MIN_SECRET_BYTES} bytes or more"));
        }
        let token_hash = match overrides.admin {
            Some(_) => required("admin-token-sha256", overrides.admin_token_sha256)?,
            None => String::new(),
        };
        let digits = token_hash.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'));
        if overrides.admin.is_some() && (token_hash.len() != 64 || !digits) {
            return invalid("admin-token-sha256", "must be 64 lowercase hexadecimal digits".into());
        }
        let workers = overrides.workers.unwrap_or(2);
        if workers == 0 {
            return invalid("workers", "must be above 0".into());
        }
        let memory = memory_bytes(overrides.memory_mb.unwrap_or(DEFAULT_MEMORY_MB))?;
        Ok(Self {
            site: identifier("site", overrides.site)?,
            name: match overrides.name {
                Some(name) => identifier("name", Some(name))?,
                None => format!("daemon-{peers}").into(),
            },
            region: identifier("region", overrides.region)?,
            zone: identifier("zone", overrides.zone)?,
            callers: required("callers", overrides.callers)?,
            admin: overrides.admin,
            advertise: overrides.advertise.unwrap_or(peers),
            peers,
            platform: required("platform", overrides.platform)?,
            join: overrides.join.unwrap_or_default(),
            secrets,
            token_hash: token_hash.into(),
            workers,
            drain_seconds: overrides.drain_seconds.unwrap_or(0),
            notice: Duration::from_millis(overrides.notice_ms.unwrap_or(DEFAULT_NOTICE_MS)),
            ready: overrides.ready,
            metrics: overrides.metrics,
            cloud: overrides.cloud,
            zones: overrides.zones.unwrap_or_default(),
            retries: RetryLimit {
                share: positive("retry-share", overrides.retry_share, DEFAULT_RETRY_SHARE)?,
                extra: positive("retry-extra", overrides.retry_extra, DEFAULT_RETRY_EXTRA)?,
                window: (positive("retry-window", overrides.retry_window, DEFAULT_RETRY_WINDOW_SECONDS)? * 1000.0)
                    as u64,
            },
            usage_window: seconds("usage-window", overrides.usage_window, DEFAULT_USAGE_WINDOW_SECONDS)?,
            usage_delay: seconds("usage-delay", overrides.usage_delay, DEFAULT_USAGE_DELAY_SECONDS)?,
            lease: Duration::from_millis(overrides.lease_ms.unwrap_or(DEFAULT_LEASE_MS)),
            config_apply: Duration::from_millis(match overrides.config_apply_ms.unwrap_or(DEFAULT_CONFIG_APPLY_MS) {
                0 => return invalid("config-apply-ms", "must be above 0".into()),
                ms => ms,
            }),
            response_bytes: memory / RESPONSE_PART,
            request_bytes: memory / REQUEST_PART,
        })
    }
}

fn positive(field: &'static str, value: Option<f64>, default: f64) -> Result<f64> {
    let value = value.unwrap_or(default);
    if !value.is_finite() || value <= 0.0 {
        return invalid(field, format!("must be a number above 0, not {value}"));
    }
    Ok(value)
}

fn memory_bytes(memory_mb: u64) -> Result<usize> {
    if memory_mb < MIN_MEMORY_MB {
        return invalid("memory-mb", format!("must be {MIN_MEMORY_MB} or more, not {memory_mb}"));
    }
    let bytes = memory_mb.saturating_mul(1024 * 1024);
    Ok(usize::try_from(bytes).unwrap_or(usize::MAX))
}

fn seconds(field: &'static str, value: Option<u64>, default: u64) -> Result<Duration> {
    match value.unwrap_or(default) {
        0 => invalid(field, "must be above 0".into()),
        seconds => Ok(Duration::from_secs(seconds)),
    }
}

fn required<T>(field: &'static str, value: Option<T>) -> Result<T> {
    value.ok_or(SettingsError::Value { field, message: "is missing".into() })
}

fn identifier(field: &'static str, value: Option<String>) -> Result<Arc<str>> {
    let value = required(field, value)?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if value.is_empty() || value.len() > 64 || !value.chars().all(is_allowed) {
        return invalid(field, format!("must be 1 to 64 letters, digits, '-', '_', '.' or ':', not {value:?}"));
    }
    Ok(value.into())
}

fn invalid<T>(field: &'static str, message: String) -> Result<T> {
    Err(SettingsError::Value { field, message })
}
