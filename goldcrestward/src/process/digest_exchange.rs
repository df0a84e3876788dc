//! Digests that daemons send each other several times a second: load, quota use and request counts.
//!
//! A digest carries totals since the sender's start, so the next one makes up for a lost datagram.

use std::{
    collections::HashMap,
    sync::{Arc, Weak, atomic::Ordering},
    time::Duration,
};

use futures_util::future::join_all;
use log::info;
use tokio::time::{Instant, sleep, sleep_until};

use super::{
    clock::boot_ms,
    digest_timing::{cross_region_stride, digest_interval},
    duty::SETTLE_DIVISOR,
    gateway::Gateway,
    gossip::Gossip,
    loads::PeerLoad,
    quota::QuotaUsage,
    usage::{AccountCounts, windows_in},
};
use crate::{
    pb::{self, answer, datagram::Body, request},
    util::unix_ms,
};

/// Maximum number of daemons queried for the usage counts of daemons that have stopped.
const USAGE_SOURCES: usize = 8;
/// Time within which they must answer.
const USAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum interval between two digests.
const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(30);

/// Applies the digests of other daemons to this one's state.
#[derive(Clone)]
pub(crate) struct DigestExchange {
    gateway: Weak<Gateway>,
}

impl DigestExchange {
    pub fn new(gateway: &Arc<Gateway>) -> Self {
        Self { gateway: Arc::downgrade(gateway) }
    }

    /// Sends digests to the other daemons until the task is dropped.
    pub async fn run(gateway: Arc<Gateway>, gossip: Gossip) {
        let mut rounds = 0_u32;
        loop {
            let next = Instant::now() + digest_interval(gateway.shared.daemon_count());
            sleep(MIN_DIGEST_INTERVAL).await;
            tokio::select! {
                () = sleep_until(next) => {}
                () = gateway.shared.send_digest.notified() => {}
            }
            let digest = digest(&gateway);
            let name = gateway.shared.settings.name.clone();
            update_demand(&gateway, &name, &digest, gateway.shared.now());
            rounds = rounds.wrapping_add(1);
            let all_regions = rounds.is_multiple_of(cross_region_stride(gateway.shared.daemon_count()));
            gossip.broadcast(&Body::Digest(digest), all_regions);
        }
    }

    /// Stops reserving a share of quotas for a daemon that has announced its departure.
    pub fn remove_peer(&self, daemon: &str) {
        if let Some(gateway) = self.gateway.upgrade() {
            gateway.quotas.lock().remove_peer(daemon);
        }
    }

    /// Applies a digest of the daemon `from`.
    pub fn receive(&self, from: &str, digest: &pb::Digest) {
        let Some(gateway) = self.gateway.upgrade() else { return };
        let from: Arc<str> = from.into();
        let now = gateway.shared.now();
        gateway.shared.last_digest_ms.store(now, Ordering::Relaxed);
        gateway.shared.clock.lock().record_peer(&from, digest.unix_ms, boot_ms());
        let loads: HashMap<u64, &pb::ReplicaLoad> = digest.loads.iter().map(|load| (load.replica, load)).collect();
        for replica in gateway.shared.replicas.all() {
            let reported = loads.get(&replica.hash());
            let load = reported.map(|l| PeerLoad { running: l.running, prefill_ms: f64::from(l.reading_ms) });
            replica.set_peer_load(&from, load, now);
        }
        update_demand(&gateway, &from, digest, now);
        let in_force = gateway.shared.in_force.load();
        let mut quotas = gateway.quotas.lock();
        for reported in &digest.quotas {
            let Some(account) = in_force.site.accounts.get(reported.account.as_str()) else { continue };
            let Some(quota) = &account.quota else { continue };
            let total = QuotaUsage { used: reported.used, asked: reported.asked };
            quotas.apply_peer_report(&from, digest.life, &account.name, &total, quota, now);
        }
        drop(quotas);
        merge_usage(&gateway, &from, digest.life, &digest.windows);
    }

    /// Returns all request counts that this daemon knows, its own and those of other daemons.
    pub fn usage_table(&self) -> pb::UsageTable {
        let Some(gateway) = self.gateway.upgrade() else { return pb::UsageTable::default() };
        let usage = gateway.usage.lock();
        let own = pb::LifeCounts {
            daemon: gateway.shared.settings.name.to_string(),
            life: gateway.shared.epoch,
            windows: usage.own().iter().map(window_counts).collect(),
        };
        let others = usage.others().map(|((daemon, epoch), windows)| pb::LifeCounts {
            daemon: daemon.to_string(),
            life: *epoch,
            windows: windows.iter().map(window_counts).collect(),
        });
        pb::UsageTable { lives: std::iter::once(own).chain(others).collect() }
    }
}

/// Fetches from other daemons the counts of daemons that have stopped, which a newly started daemon lacks.
pub(crate) async fn fetch_usage(gateway: &Gateway) {
    let own_name = gateway.shared.view.lock().local().name.clone();
    let addresses: Vec<_> = {
        let view = gateway.shared.view.lock();
        view.present()
            .filter(|member| member.name != own_name)
            .take(USAGE_SOURCES)
            .map(|member| member.address)
            .collect()
    };
    let query = |address| {
        let body = request::Body::AskUsage(pb::AskUsage {});
        gateway.shared.peer_client.request(address, body, USAGE_TIMEOUT)
    };
    let count = addresses.len();
    let mut answered = 0;
    for answer in join_all(addresses.into_iter().map(query)).await {
        let Ok(answer::Body::UsageTable(table)) = answer else { continue };
        answered += 1;
        for process in table.lives {
            let daemon: Arc<str> = process.daemon.into();
            if (&daemon, process.life) != (&own_name, gateway.shared.epoch) {
                merge_usage(gateway, &daemon, process.life, &process.windows);
            }
        }
    }
    info!("event=usage-learnt asked={count} answered={answered}");
}

fn merge_usage(gateway: &Gateway, from: &Arc<str>, epoch: u64, windows: &[pb::WindowCounts]) {
    let mut usage = gateway.usage.lock();
    for window in windows {
        let counts = window.counts.iter().map(|c| (c.account.as_str().into(), c.count)).collect();
        usage.merge(from, epoch, window.window, counts);
    }
}

fn window_counts((window, counts): (&u64, &AccountCounts)) -> pb::WindowCounts {
    let counts = counts.iter().map(|(name, count)| pb::AccountCount { account: name.to_string(), count: *count });
    pb::WindowCounts { window: *window, counts: counts.collect() }
}

fn update_demand(gateway: &Gateway, from: &Arc<str>, digest: &pb::Digest, now: u64) {
    let zone: Arc<str> = digest.zone.as_str().into();
    let mut demand = gateway.demand.lock();
    for work in &digest.works {
        demand.record(from, &zone, digest.life, &work.pool.as_str().into(), work.total_ms, now);
    }
}

fn digest(gateway: &Gateway) -> pb::Digest {
    let loads = gateway.shared.replicas.all().into_iter().filter_map(|replica| {
        let PeerLoad { running, prefill_ms } = replica.own_load();
        let load = pb::ReplicaLoad { replica: replica.hash(), running, reading_ms: prefill_ms as u32 };
        (running > 0).then_some(load)
    });
    let loads = loads.collect();
    let quotas = gateway.quotas.lock().usage_report().into_iter();
    let quotas = quotas
        .map(|(name, QuotaUsage { used, asked })| pb::QuotaUse { account: name.to_string(), used, asked })
        .collect();
    let works =
        gateway.work.lock().iter().map(|(pool, ms)| pb::PoolWork { pool: pool.to_string(), total_ms: *ms }).collect();
    let settings = &gateway.shared.settings;
    let zone = settings.zone.to_string();
    // The current window, and those that the duty holder normally has not reported yet.
    let recent = windows_in(settings.usage_window, settings.usage_delay / SETTLE_DIVISOR) + 2;
    let usage = gateway.usage.lock();
    let windows = usage.own().iter().rev().take(recent).map(window_counts);
    let (life, unix_ms) = (gateway.shared.epoch, unix_ms());
    pb::Digest { life, unix_ms, loads, quotas, windows: windows.collect(), works, zone }
}
