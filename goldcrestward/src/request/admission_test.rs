//! Tests of requests whose configuration changes between any two of their steps.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use quickcheck::{Arbitrary, Gen, QuickCheck};

use super::{super::target::Target, Admission, AdmissionRequest, InForce, Reason};
use crate::{
    config::{Account, Limits, Pool, PoolKind, Route, RouteKind, Site, key_hash},
    store::Revision,
};

const TESTS: u64 = 5_000;
const KEY: &str = "a-key";
const PATH: &str = "/orders/1";
const MODEL: &str = "planner";
const HOST: &str = "site.example";
const KINDS: [RouteKind; 3] = [
    RouteKind::Idempotent,
    RouteKind::NonIdempotent,
    RouteKind::Stream { resumable: true, max_event_gap: Duration::from_millis(300) },
];

/// What a version of the configuration says of one request.
#[derive(Clone, Debug)]
struct Version {
    has_route: bool,
    has_key: bool,
    is_allowed: bool,
    account: &'static str,
    kind: RouteKind,
    timeout: Duration,
    pool: &'static str,
    concurrency: u32,
    body_bytes: usize,
}

impl Arbitrary for Version {
    fn arbitrary(random: &mut Gen) -> Self {
        let mostly = [true, true, true, false];
        let mut has = || *random.choose(&mostly).expect("not empty");
        let (has_route, has_key, is_allowed) = (has(), has(), has());
        Self {
            has_route,
            has_key,
            is_allowed,
            account: random.choose(&["first", "second"]).expect("not empty"),
            kind: *random.choose(&KINDS).expect("not empty"),
            timeout: Duration::from_secs(*random.choose(&[1, 3, 5]).expect("not empty")),
            pool: random.choose(&["near", "far"]).expect("not empty"),
            concurrency: *random.choose(&[1, 8]).expect("not empty"),
            body_bytes: *random.choose(&[10, 1_000]).expect("not empty"),
        }
    }
}

impl Version {
    fn in_force(&self, number: u64) -> InForce {
        let mut site = Site { version: number, ..Site::default() };
        site.caller_limits.body_bytes = self.body_bytes;
        site.pools.insert(self.pool.into(), self.pool());
        let key_hashes = if self.has_key { vec![key_hash(KEY)] } else { Vec::new() };
        site.accounts.insert(self.account.into(), Arc::new(self.account(key_hashes)));
        if self.has_route {
            site.routes.insert("route".into(), Arc::new(self.route()));
        }
        site.build_host_index();
        InForce { revision: Revision::new(1, number), site }
    }

    fn pool(&self) -> Pool {
        Pool {
            name: self.pool.into(),
            kind: PoolKind::Plain,
            checks_fencing_tokens: false,
            replicas: 0,
            concurrency: self.concurrency,
            max_connections: 8,
            health_path: None,
            engine: None,
            scaling: None,
        }
    }

    fn account(&self, key_hashes: Vec<Arc<str>>) -> Account {
        let none = f64::INFINITY;
        Account {
            name: self.account.into(),
            key_hashes,
            routes: vec![if self.is_allowed { "route" } else { "another" }.into()],
            weight: 1.0,
            limits: Limits { requests: none, tokens: none, concurrency: none },
            priority: None,
            quota: None,
        }
    }

    fn route(&self) -> Route {
        Route {
            name: "route".into(),
            pool: self.pool.into(),
            model: Some(MODEL.into()),
            prefix: Some("/orders/".into()),
            repeatable: self.kind.is_idempotent(),
            lookup: false,
            timeout: self.timeout,
            retry_share: 0.1,
            priority: 0,
            host: Some(HOST.into()),
            shares: Vec::new(),
            kind: self.kind,
            attempt_limit: 2,
            latency_target: Duration::from_millis(500),
            allows_anonymous: false,
        }
    }
}

/// A request whose body has a size and takes a time.
#[derive(Clone, Debug)]
struct Body {
    bytes: usize,
    time: Duration,
}

impl Arbitrary for Body {
    fn arbitrary(random: &mut Gen) -> Self {
        let bytes = *random.choose(&[5, 500]).expect("not empty");
        Self { bytes, time: Duration::from_millis(*random.choose(&[500, 2_000, 4_000]).expect("not empty")) }
    }
}

fn targets() -> [Target; 3] {
    [Target::Host { host: HOST.into(), path: PATH.into() }, Target::Path(PATH.into()), Target::Model(MODEL.into())]
}

/// The steps of a request: its head, the end of its body and its first attempt, each by the version in force then.
fn outcome(request: &AdmissionRequest, body: &Body, versions: [&InForce; 3]) -> Result<Admission, Reason> {
    let [at_head, at_body, at_send] = versions;
    let admission = request.admit(at_head).map_err(|refusal| refusal.reason)?;
    let now = request.arrived + body.time;
    let is_proxied = matches!(request.target, Target::Host { .. });
    if is_proxied && body.bytes > admission.body_bytes {
        return Err(Reason::BodyTooLarge);
    }
    if is_proxied && admission.deadline <= now {
        return Err(Reason::BodyTimeout);
    }
    let admission = match is_proxied {
        true => admission.renew(at_body, body.bytes, now),
        false => request.admit(at_body),
    };
    let admission = admission.map_err(|refusal| refusal.reason)?;
    admission.check_withdrawn(at_send).map_err(|refusal| refusal.reason)?;
    Ok(admission)
}

fn is_one_versions_outcome(versions: (Version, Version, Version), body: Body, arrived: Instant) -> Result<(), String> {
    let versions = [versions.0.in_force(1), versions.1.in_force(2), versions.2.in_force(3)];
    for target in targets() {
        let (salt, key) = (7, Some(KEY.into()));
        let request = AdmissionRequest { target, key, salt, arrived, timeout: Some(Duration::from_secs(4)) };
        let mixed = outcome(&request, &body, versions.each_ref());
        let alone: Vec<_> = versions.iter().map(|version| outcome(&request, &body, [version; 3])).collect();
        if !alone.contains(&mixed) {
            return Err(format!("{mixed:?} is none of {alone:?}"));
        }
        if mixed.is_ok() && request.admit(&versions[2]).is_err() {
            return Err(format!("{mixed:?} begins although it was withdrawn"));
        }
    }
    Ok(())
}

/// Guards against requests that take their time or size from one version, and their pool or kind from another.
#[test]
fn outcome_is_that_of_one_version_whenever_the_configuration_changes() {
    fn property(first: Version, second: Version, third: Version, body: Body) -> Result<(), String> {
        is_one_versions_outcome((first, second, third), body, Instant::now())
    }
    let mut quickcheck = QuickCheck::new().tests(TESTS).rng(Gen::from_size_and_seed(100, 62));
    quickcheck.quickcheck(property as fn(Version, Version, Version, Body) -> Result<(), String>);
}

/// Guards against LOST: a refusal at the deadline came when its caller, whose time had begun before, had just gone.
#[test]
fn request_is_refused_before_the_time_of_its_caller_is_over() {
    let in_force = Version {
        has_route: true,
        has_key: true,
        is_allowed: true,
        account: "first",
        kind: RouteKind::NonIdempotent,
        timeout: Duration::from_secs(3),
        pool: "near",
        concurrency: 1,
        body_bytes: 10,
    }
    .in_force(1);
    for (named, deadline, answer) in [
        (Some(2_000), 2_000, 1_990),
        (Some(50), 50, 45),
        (Some(3_005), 3_000, 2_995),
        (Some(4_000), 3_000, 3_000),
        (None, 3_000, 3_000),
    ] {
        let target = Target::Host { host: HOST.into(), path: PATH.into() };
        let (arrived, timeout) = (Instant::now(), named.map(Duration::from_millis));
        let request = AdmissionRequest { target, key: Some(KEY.into()), salt: 7, arrived, timeout };
        let admission = request.admit(&in_force).expect("the request is allowed");
        let times = [admission.deadline, admission.answer_by].map(|time| time - arrived);
        assert_eq!(times, [deadline, answer].map(Duration::from_millis), "{named:?}");
    }
}
