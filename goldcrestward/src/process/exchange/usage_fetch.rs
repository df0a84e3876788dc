//! Request counts by window, which the holder of the duties fetches from the relays.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    ops::Range,
    sync::Arc,
    time::Duration,
};

use futures_util::future::join_all;
use log::info;
use tokio::time::sleep;

use super::{
    relay_role::RELAYS,
    relays::{Recipient, Relays},
    window_clock::WindowClock,
};
use crate::{
    pb::{self, answer, request},
    process::{clock::boot_ms, duty::SETTLE_DIVISOR, gateway::Gateway, term::UsageRecord, usage::AccountCounts},
    util::unix_ms,
};

/// Time within which a relay must answer a question for request counts.
const USAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two looks at which daemons of the zone have not been asked for their counts.
const LEARNING_INTERVAL: Duration = Duration::from_millis(200);
/// Daemons of each availability zone that are asked for request counts: the relays, and the one that was a relay
/// before another joined.
const USAGE_SOURCES: usize = RELAYS + 1;
/// Windows by which a daemon's clock may be ahead of the agreed time.
const MAX_WINDOWS_AHEAD: u64 = 2;
/// Time between two looks after which the daemon must have been suspended, so that reports may have been lost.
const SUSPENDED_MS: u64 = 1_000;

/// Fetches the request counts of windows from the relays of all availability zones and from the daemons that held the duties
/// before, the last one first. Returns the first window that some zone has not been learnt for as a whole, or the end of the
/// windows, and whether the last holder has answered.
pub(crate) async fn fetch_usage(gateway: &Gateway, windows: Range<u64>, former_holders: &[Arc<str>]) -> (u64, bool) {
    let own_name = gateway.shared.settings.name.clone();
    let (sources, last_holder): (Vec<(Arc<str>, SocketAddr)>, Option<SocketAddr>) = {
        let view = gateway.shared.view.lock();
        let is_former = |name: &Arc<str>| former_holders.contains(name) && *name != own_name;
        let former = || view.present().filter(|member| is_former(&member.name));
        // One that has started since the restore does not know what its process before recorded.
        let known_for = gateway.shared.kv.history().known_for().as_millis() as u64;
        let restored_ms = unix_ms().saturating_sub(known_for);
        let is_last = |name: &Arc<str>| former_holders.first() == Some(name);
        let last_holder = former().find(|member| is_last(&member.name) && member.incarnation < restored_ms);
        let last_holder = last_holder.map(|member| member.address);
        let former: Vec<_> = former().map(|member| (member.zone.clone(), member.address)).collect();
        let relays = Relays::of(&view, USAGE_SOURCES);
        let members = relays.members.into_iter().take(USAGE_SOURCES).filter(|member| member.name != own_name);
        let members = members.map(|member| (gateway.shared.settings.zone.clone(), member.address));
        let others = relays.others.into_iter();
        let others = others.flat_map(|(zone, (_, list))| list.into_iter().map(move |r| (zone.clone(), r.address)));
        let asked: BTreeSet<_> = members.chain(others).chain(former).collect();
        (asked.into_iter().collect(), last_holder)
    };
    let clock = WindowClock::now(gateway);
    // What was kept since a window earlier is kept since the first one for certain.
    let from_window = windows.start.saturating_sub(1);
    let query = async |(zone, address): (Arc<str>, SocketAddr)| {
        let body = request::Body::AskUsage(pb::AskUsage { from_window });
        (zone, address, gateway.shared.peer_client.request(address, body, USAGE_TIMEOUT).await)
    };
    let count = sources.len();
    let zones: BTreeSet<Arc<str>> = sources.iter().map(|(zone, _)| zone.clone()).collect();
    let (mut answered, mut unstated, mut has_last_holder) = (BTreeSet::new(), BTreeSet::new(), false);
    for (zone, address, answer) in join_all(sources.into_iter().map(query)).await {
        let Ok(answer::Body::UsageTable(table)) = answer else { continue };
        if table.kept.is_empty() {
            unstated.insert(zone.clone());
        }
        answered.insert(zone);
        has_last_holder |= last_holder == Some(address);
        apply_table(gateway, table, Some((&clock, from_window)));
    }
    extend_own_span(gateway);
    let settle_ms = u64::try_from(gateway.shared.settings.usage_delay.as_millis()).unwrap_or(u64::MAX);
    let settle_ms = settle_ms / u64::from(SETTLE_DIVISOR);
    let known_until = |zone: &Arc<str>| {
        let kept = gateway.kept_spans.lock();
        let is_kept = |window: u64| {
            let end = clock.begin_of(window + 1).saturating_add(settle_ms).min(clock.boot_ms);
            kept.contains(zone, (clock.begin_of(window), end))
        };
        windows.clone().find(|window| !is_kept(*window)).unwrap_or(windows.end)
    };
    let missing: Vec<_> = zones.difference(&answered).collect();
    let stated = answered.difference(&unstated).map(|zone| (zone, known_until(zone)));
    let young: BTreeMap<_, _> = stated.filter(|(_, until)| *until < windows.end).collect();
    let first_unknown =
        if missing.is_empty() { young.values().copied().min().unwrap_or(windows.end) } else { windows.start };
    info!(
        "event=usage-learnt from_window={} asked={count} zones={} missing={missing:?} young={:?}",
        windows.start,
        zones.len(),
        young.keys().collect::<Vec<_>>()
    );
    (first_unknown, has_last_holder)
}

/// Learns from the highest ranked daemons of the own zone the counts that they know, while this daemon keeps reports: those of
/// daemons that have left are reported no more. Runs until the task is dropped.
pub(crate) async fn learn_zone_usage(gateway: Arc<Gateway>) {
    let own_name = gateway.shared.settings.name.clone();
    let mut learned_from: BTreeSet<Recipient> = BTreeSet::new();
    let mut last_look = boot_ms();
    loop {
        sleep(LEARNING_INTERVAL).await;
        let now = boot_ms();
        let (sources, keeps_reports) = {
            let relays = Relays::of(&gateway.shared.view.lock(), RELAYS);
            let keeps_reports = relays.keeps_reports(&own_name);
            let highest = relays.members.into_iter().take(USAGE_SOURCES);
            let sources: BTreeSet<Recipient> =
                highest.filter(|member| keeps_reports && member.name != own_name).collect();
            (sources, keeps_reports)
        };
        if now.saturating_sub(last_look) > SUSPENDED_MS {
            learned_from.clear();
            gateway.kept_spans.lock().end_own(&gateway.shared.settings.zone, last_look);
        }
        last_look = now;
        gateway.kept_spans.lock().keep_own(&gateway.shared.settings.zone, keeps_reports, now);
        learned_from.retain(|source| sources.contains(source));
        let missing: Vec<_> = sources.difference(&learned_from).cloned().collect();
        let clock = WindowClock::now(&gateway);
        let from_window = oldest_window(&gateway);
        let query = async |source: Recipient| {
            let body = request::Body::AskUsage(pb::AskUsage { from_window });
            (gateway.shared.peer_client.request(source.address, body, USAGE_TIMEOUT).await, source)
        };
        for (answer, source) in join_all(missing.into_iter().map(query)).await {
            let Ok(answer::Body::UsageTable(table)) = answer else { continue };
            info!("event=zone-usage-learnt from={} lives={}", source.name, table.lives.len());
            apply_table(&gateway, table, Some((&clock, from_window)));
            learned_from.insert(source);
        }
    }
}

/// The first window whose report is not overdue.
pub(super) fn oldest_window(gateway: &Gateway) -> u64 {
    let settings = &gateway.shared.settings;
    let window_ms = settings.usage_window.as_millis().max(1) as u64;
    let span_ms = settings.usage_delay.as_millis() as u64 + window_ms;
    gateway.shared.agreed_ms().saturating_sub(span_ms) / window_ms
}

/// Counts the time to now as kept, if this daemon keeps its zone's reports.
pub(super) fn extend_own_span(gateway: &Gateway) {
    gateway.kept_spans.lock().extend_own(&gateway.shared.settings.zone, boot_ms());
}

/// Applies what a daemon knows; `asked` says when it was asked, and for which windows on, if it was.
pub(super) fn apply_table(gateway: &Gateway, table: pb::UsageTable, asked: Option<(&WindowClock, u64)>) {
    let now = boot_ms();
    {
        let (asked_ms, first_ms) = asked.map_or((now, 0), |(clock, window)| (clock.boot_ms, clock.begin_of(window)));
        let settings = &gateway.shared.settings;
        let retained_ms = 2 * (settings.usage_delay + settings.usage_window).as_millis() as u64;
        let mut kept = gateway.kept_spans.lock();
        for span in table.kept {
            let (begin, end) = (now.saturating_sub(span.begun_ms), asked_ms.saturating_sub(span.ended_ms));
            kept.add(&span.zone.into(), (begin.max(first_ms), end));
        }
        kept.forget_before(now.saturating_sub(retained_ms));
    }
    if let Some(recorded) = table.recorded {
        let counts = recorded.counts.into_iter().map(|c| (c.account.into(), c.count)).collect();
        gateway.usage.lock().learn_record(UsageRecord { window: recorded.window, counts, history: None });
    }
    let own = (&gateway.shared.settings.name, gateway.shared.epoch);
    for process in table.lives {
        let daemon: Arc<str> = process.daemon.into();
        if (&daemon, process.life) != own {
            merge_usage(gateway, &daemon, process.life, &process.windows);
        }
    }
}

pub(super) fn merge_usage(gateway: &Gateway, from: &Arc<str>, epoch: u64, windows: &[pb::WindowCounts]) {
    // A window far ahead would push out the counts of the present ones.
    let window_ms = gateway.shared.settings.usage_window.as_millis().max(1) as u64;
    let last_window = gateway.shared.agreed_ms() / window_ms + MAX_WINDOWS_AHEAD;
    let mut usage = gateway.usage.lock();
    for window in windows.iter().filter(|window| window.window <= last_window) {
        let counts = window.counts.iter().map(|c| (c.account.as_str().into(), c.count)).collect();
        usage.merge(from, epoch, window.window, counts);
    }
}

pub(super) fn window_counts((window, counts): (&u64, &AccountCounts)) -> pb::WindowCounts {
    let counts = counts.iter().map(|(name, count)| pb::AccountCount { account: name.to_string(), count: *count });
    pb::WindowCounts { window: *window, counts: counts.collect() }
}
