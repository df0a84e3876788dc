//! Drives the exchange: sends and receives its messages, and applies them to the daemon's state.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Weak},
    time::Duration,
};

use log::info;
use parking_lot::Mutex;
use tokio::time::{Instant, sleep, sleep_until};

use super::{
    fleet_table::{FleetTable, Loads, Reach, SumHead},
    heard_relay::{HeardRelay, Hearing, relay_score},
    relay_role::{RELAYS, RelayRole},
    relays::{Recipient, Relays},
    rows::{
        MAX_CLOCKS, MAX_LOADS, MAX_QUOTAS, MAX_RUNS, MAX_WORKS, load_rows, loads_from, quota_level, quota_rows,
        quota_total, runs_from, work_row, works_from,
    },
    sent::{Sent, SentLevel, is_level_due, report},
    timing::{exchange_interval, other_region_stride},
    usage_fetch::{apply_table, extend_own_span, merge_usage, oldest_window, window_counts},
};
use crate::{
    pb::{self, answer, datagram::Body, request},
    process::{
        clock::boot_ms,
        gateway::Gateway,
        gossip::Gossip,
        lifecycle::Stage,
        quota::{QuotaLedger, QuotaLevel},
        usage::AccountCounts,
    },
    util::{stable_hash, unix_ms},
};

/// Minimum interval between two reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(30);
/// Time within which the relay must answer whether a request may be charged.
const GRANT_TIMEOUT: Duration = Duration::from_millis(25);

#[derive(Debug, Default)]
struct State {
    table: FleetTable,
    role: RelayRole,
    heard: HeardRelay,
    /// Address of the relay that is heard.
    relay: Option<SocketAddr>,
    relays: Relays,
    /// What the daemons that this one reports to have been sent, and their names.
    reported: (Vec<Arc<str>>, Sent),
    /// What daemons of the zone and relays of other zones have been sent.
    sent: HashMap<Arc<str>, Sent>,
    rounds: u32,
}

/// Applies the messages of other daemons to this one's state.
#[derive(Clone)]
pub(crate) struct Exchange {
    gateway: Weak<Gateway>,
    state: Arc<Mutex<State>>,
}

impl Exchange {
    pub fn new(gateway: &Arc<Gateway>) -> Self {
        Self { gateway: Arc::downgrade(gateway), state: Arc::default() }
    }

    /// Sends reports, and sums while this daemon is a relay, until the task is dropped.
    pub async fn run(self, gossip: Gossip) {
        loop {
            let members = self.state.lock().relays.members.len();
            let next = Instant::now() + exchange_interval(members);
            sleep(MIN_REPORT_INTERVAL).await;
            let Some(gateway) = self.gateway.upgrade() else { return };
            let urgent = tokio::select! {
                () = sleep_until(next) => false,
                () = gateway.shared.report_due.notified() => true,
            };
            let messages = self.step(&gateway, urgent);
            gossip.send_round(messages);
        }
    }

    /// Address of the relay that decides on scarce quotas; `None` if this daemon is it.
    ///
    /// # Errors
    /// Fails if no relay has been heard lately.
    pub fn quota_relay(&self, now: u64) -> Result<Option<SocketAddr>, NoRelay> {
        let state = self.state.lock();
        if state.role.is_speaking() {
            return Ok(None);
        }
        match (state.heard.name(now), state.relay) {
            (Some(_), Some(address)) => Ok(Some(address)),
            _ => Err(NoRelay),
        }
    }

    /// Address of the relay that decides on requests to a replica in `zone` with a rate limit, and whether it is in this daemon's
    /// zone; `None` in place of the address if this daemon is it. If no daemon is in that zone, another zone decides.
    ///
    /// # Errors
    /// Fails if no relay has been heard lately.
    pub fn send_relay(&self, own: &str, zone: &str, run: u64, now: u64) -> Result<(Option<SocketAddr>, bool), NoRelay> {
        let decider = {
            let state = self.state.lock();
            let zones =
                state.relays.others.iter().map(|(name, (_, list))| (&**name, list.first().map(|to| to.address)));
            let mut zones = zones.chain([(own, None)]);
            let score = |(name, _): &(&str, Option<SocketAddr>)| stable_hash(&[name.as_bytes(), &run.to_le_bytes()]);
            let home = zones.clone().find(|(name, _)| *name == zone);
            home.or_else(|| zones.by_ref().max_by_key(score)).and_then(|(_, address)| address)
        };
        match decider {
            Some(address) => Ok((Some(address), false)),
            None => self.quota_relay(now).map(|address| (address, true)),
        }
    }

    /// Charges a request to the rate limit of a replica's run as the relay of the zone; `None` if this daemon is not the relay.
    pub fn charge_send_as_relay(&self, run: u64, per_second: f64) -> Option<Result<(), Duration>> {
        let gateway = self.gateway.upgrade()?;
        let now = gateway.shared.now();
        let share = {
            let state = self.state.lock();
            state.role.is_speaking().then(|| state.table.reach(gateway.shared.daemon_count(), now).heard_share())?
        };
        Some(gateway.send_limits.lock().charge(run, per_second, share, now))
    }

    /// Asks the relay at `address` to charge a request to the rate limit of a replica's run; `None` if it does not answer within `limit` or is no relay.
    pub async fn ask_send(
        &self,
        gateway: &Gateway,
        address: SocketAddr,
        limit: Duration,
        (run, per_second): (u64, f64),
    ) -> Option<Result<(), Duration>> {
        let body = request::Body::AskSend(pb::AskSend { run, per_second });
        match gateway.shared.peer_client.request(address, body, limit).await {
            Ok(answer::Body::QuotaGrant(grant)) => decision(&grant),
            _ => None,
        }
    }

    /// Answers a daemon that asks this one as the relay of its availability zone about a rate limit.
    pub fn answer_send(&self, ask: &pb::AskSend) -> pb::QuotaGrant {
        let per_second = if ask.per_second.is_finite() { ask.per_second.max(0.0) } else { 0.0 };
        grant(self.charge_send_as_relay(ask.run, per_second))
    }

    /// Charges a request to an account's quota as the relay of the zone; `None` if this daemon is not the relay.
    pub fn charge_as_relay(&self, name: &str, units: f64) -> Option<Result<(), Duration>> {
        let gateway = self.gateway.upgrade()?;
        let now = gateway.shared.now();
        let reach = {
            let state = self.state.lock();
            state.role.is_speaking().then(|| state.table.reach(gateway.shared.daemon_count(), now))?
        };
        let in_force = gateway.shared.in_force.load();
        let account = in_force.site.accounts.get(name)?;
        let Some(quota) = &account.quota else { return Some(Ok(())) };
        Some(gateway.quota_ledger.lock().charge(&account.name, quota, units, &reach, now))
    }

    /// Asks the relay at `address` to charge a request; `None` if it does not answer in time or is no relay.
    pub async fn ask_relay(
        &self,
        gateway: &Gateway,
        address: SocketAddr,
        account: &Arc<str>,
        units: f64,
    ) -> Option<Result<(), Duration>> {
        let body = request::Body::AskQuota(pb::AskQuota { account: account.to_string(), units });
        let answer = gateway.shared.peer_client.request(address, body, GRANT_TIMEOUT).await;
        let Ok(answer::Body::QuotaGrant(grant)) = answer else { return None };
        decision(&grant)
    }

    /// Answers a daemon that asks this one as the relay of their zone.
    pub fn answer_quota(&self, ask: &pb::AskQuota) -> pb::QuotaGrant {
        let units = if ask.units.is_finite() { ask.units.max(0.0) } else { 0.0 };
        grant(self.charge_as_relay(&ask.account, units))
    }

    /// Removes a daemon that has announced its departure.
    pub fn remove_peer(&self, daemon: &str) {
        {
            let mut state = self.state.lock();
            state.table.remove_member(daemon);
            if state.heard.forget(daemon) {
                state.role.forget_relay();
                state.relay = None;
            }
        }
        if let Some(gateway) = self.gateway.upgrade() {
            gateway.quota_ledger.lock().remove_member(daemon);
        }
    }

    /// Applies a message of the daemon `from`.
    pub fn receive(&self, from: &str, address: SocketAddr, body: &Body) {
        let Some(gateway) = self.gateway.upgrade() else { return };
        match body {
            Body::Report(report) => self.apply_report(&gateway, &from.into(), report),
            Body::ZoneSum(sum) => self.apply_zone_sum(&gateway, from, sum),
            Body::Summary(summary) => self.apply_summary(&gateway, from, address, summary),
            _ => {}
        }
    }

    fn apply_report(&self, gateway: &Gateway, from: &Arc<str>, report: &pb::Report) {
        let now = gateway.shared.now();
        let is_own = **from == *gateway.shared.settings.name;
        if !is_own {
            gateway.shared.clock.lock().record_peer(from, report.unix_ms, boot_ms());
        }
        let (continues, reach) = {
            let mut state = self.state.lock();
            let loads = loads_from(&report.loads);
            let works = works_from(&report.works);
            let continues = state.table.apply_report(from, report.life, loads, works, report.holds_duties, now);
            state.table.apply_member_runs(from, runs_from(&report.runs), now);
            (continues, state.table.reach(gateway.shared.daemon_count(), now))
        };
        let in_force = gateway.shared.in_force.load();
        let mut ledger = gateway.quota_ledger.lock();
        if !continues {
            ledger.remove_member(from);
        }
        for row in &report.quotas {
            let Some(account) = in_force.site.accounts.get(row.account.as_str()) else { continue };
            let (Some(quota), Some(total)) = (&account.quota, quota_total(row)) else { continue };
            ledger.apply_member_report(from, (&account.name, quota), &total, &reach, now);
        }
        drop(ledger);
        if !is_own {
            merge_usage(gateway, from, report.life, &report.windows);
        }
    }

    fn apply_zone_sum(&self, gateway: &Gateway, from: &str, sum: &pb::ZoneSum) {
        if *sum.zone == *gateway.shared.settings.zone {
            return;
        }
        let now = gateway.shared.now();
        let zone: Arc<str> = sum.zone.as_str().into();
        let works = works_from(&sum.works);
        let (continues, reach, is_speaking) = {
            let mut state = self.state.lock();
            let figures = (loads_from(&sum.loads), works.clone());
            let hearing = state.table.apply_zone_sum(&zone, SumHead::from(sum, from), figures, now);
            let Some(continues) = hearing else { return };
            state.table.apply_zone_runs(&zone, runs_from(&sum.runs), now);
            (continues, state.table.reach(gateway.shared.daemon_count(), now), state.role.is_speaking())
        };
        gateway.shared.clock.lock().record_clocks(&zone, sum.unix_ms, &sum.clock_differences, boot_ms());
        // Any other daemon learns the work of the zone from its relay, whose figures are older than these.
        if is_speaking {
            let mut demand = gateway.demand.lock();
            for (pool, total_ms) in &works {
                demand.record(&zone, (from, sum.life), pool, *total_ms, now);
            }
        }
        let in_force = gateway.shared.in_force.load();
        let mut ledger = gateway.quota_ledger.lock();
        if !continues {
            ledger.restart_zone(&zone);
        }
        ledger.hear_zone(&zone, now);
        for row in &sum.quotas {
            let Some(account) = in_force.site.accounts.get(row.account.as_str()) else { continue };
            let (Some(quota), Some(total)) = (&account.quota, quota_total(row)) else { continue };
            ledger.apply_zone_report(&zone, (&account.name, quota), &total, &reach, now);
        }
    }

    fn apply_summary(&self, gateway: &Gateway, from: &str, address: SocketAddr, summary: &pb::Summary) {
        let now = gateway.shared.now();
        {
            let mut state = self.state.lock();
            let is_superior = relay_score(from) > relay_score(&gateway.shared.settings.name);
            if state.role.is_speaking() && !is_superior {
                return;
            }
            let hearing = state.heard.hear(from, summary.life, 0, now);
            if hearing == Hearing::Ignore {
                return;
            }
            if hearing == Hearing::Changed {
                info!("event=relay-changed relay={from}");
            }
            let rank = state.relays.rank_of(from).unwrap_or(usize::MAX);
            state.role.record_relay(rank, is_superior, now);
            state.relay = Some(address);
        }
        gateway.shared.clock.lock().adopt(summary.agreed_ms, boot_ms());
        let loads = loads_from(&summary.loads);
        apply_loads(gateway, &loads, now);
        gateway.shared.run_times.learn(runs_from(&summary.runs), std::time::Instant::now());
        let mut balances = gateway.quota_balances.lock();
        for row in &summary.quotas {
            let Some(level) = quota_level(row) else { continue };
            balances.apply_level(&row.account.as_str().into(), level, now);
        }
        drop(balances);
        let mut demand = gateway.demand.lock();
        for work in summary.works.iter().filter(|work| work.total_ms.is_finite()) {
            let zone = work.zone.as_str().into();
            demand.record(&zone, (from, summary.life), &work.pool.as_str().into(), work.total_ms, now);
        }
    }

    /// Returns the messages that are due. An urgent step only reports.
    fn step(&self, gateway: &Arc<Gateway>, urgent: bool) -> Vec<(SocketAddr, Body)> {
        let shared = &gateway.shared;
        let now = shared.now();
        let own: Arc<str> = shared.settings.name.clone();
        let relays = Relays::of(&shared.view.lock(), RELAYS);
        let usage = gateway.quota_balances.lock().usage_report();
        let mut state = self.state.lock();
        state.relays = relays;
        let mut messages = Vec::new();
        let ranked = state.relays.members.iter().enumerate();
        let is_target = |rank, name: &Arc<str>| state.role.is_target(rank) || state.relays.remaining.contains(name);
        let targets = ranked.filter(|(rank, member)| is_target(*rank, &member.name) && member.name != own);
        let targets: Vec<_> = targets.map(|(_, member)| member.clone()).collect();
        let names: Vec<_> = targets.iter().map(|target| target.name.clone()).collect();
        if state.reported.0 != names {
            state.reported.0 = names;
            state.reported.1.restart();
        }
        if !targets.is_empty() {
            let report = report(gateway, &mut state.reported.1, &usage, false, now);
            messages.extend(targets.iter().map(|target| (target.address, Body::Report(report.clone()))));
        }
        drop(state);
        // The relay counts its own figures like those of any other daemon.
        let whole = report(gateway, &mut Sent::default(), &usage, true, now);
        self.apply_report(gateway, &own, &whole);
        if urgent {
            return messages;
        }
        let mut state = self.state.lock();
        state.rounds = state.rounds.wrapping_add(1);
        state.table.expire(now);
        let (rank, members) = (state.relays.rank, state.relays.members.len());
        let begins = state.role.step(rank, members, now);
        if !state.role.is_speaking() {
            state.sent.values_mut().for_each(Sent::restart);
            return messages;
        }
        let reach = state.table.reach(shared.daemon_count(), now);
        if begins {
            info!("event=relay-begun zone={} members={} daemons={}", shared.settings.zone, reach.own, reach.total);
            adopt_levels(gateway, &reach, now);
            gateway.quota_ledger.lock().begin_reports(now);
        }
        self.speak(gateway, &mut state, &reach, now, &mut messages);
        messages
    }

    /// Adds the messages of a relay, and applies to this daemon what it tells others.
    fn speak(
        &self,
        gateway: &Gateway,
        state: &mut State,
        reach: &Reach,
        now: u64,
        messages: &mut Vec<(SocketAddr, Body)>,
    ) {
        let shared = &gateway.shared;
        let own = &shared.settings.name;
        let in_force = shared.in_force.load();
        let quota_of = |name: &str| in_force.site.accounts.get(name).and_then(|account| account.quota.as_ref());
        let agreed_ms = {
            let mut clock = shared.clock.lock();
            clock.lead();
            clock.now(unix_ms(), boot_ms())
        };
        let all = state.table.all_loads(now);
        let others = state.table.without_member(&all, own, now);
        for replica in shared.replicas.all() {
            replica.set_others_load(others.get(&replica.hash()).cloned().unwrap_or_default(), now);
        }
        let runs = state.table.all_runs(now);
        shared.run_times.learn(runs.clone(), std::time::Instant::now());
        let zone_works = state.table.zone_works();
        let mut demand = gateway.demand.lock();
        for (pool, total_ms) in &zone_works {
            demand.record(&shared.settings.zone, (own, shared.epoch), pool, *total_ms, now);
        }
        drop(demand);

        let mut ledger = gateway.quota_ledger.lock();
        let levels = ledger.levels(quota_of, reach, now);
        let own_levels: Vec<_> =
            levels.iter().map(|(name, level)| (name, counted(&ledger, name, level, own))).collect();
        let recipient_levels = |to: &str| -> Vec<_> {
            levels.iter().map(|(name, level)| (name.clone(), counted(&ledger, name, level, to))).collect()
        };
        let member_levels: HashMap<Arc<str>, Vec<_>> =
            state.relays.members.iter().map(|member| (member.name.clone(), recipient_levels(&member.name))).collect();
        let zone_quotas = ledger.zone_report(now);
        drop(ledger);
        let mut balances = gateway.quota_balances.lock();
        own_levels.into_iter().for_each(|(name, level)| balances.apply_level(name, level, now));
        drop(balances);
        let mut works: BTreeMap<(Arc<str>, Arc<str>), f64> = BTreeMap::new();
        let zones = state.table.other_works(now).chain([(&shared.settings.zone, &zone_works)]);
        for (zone, totals) in zones {
            works.extend(totals.iter().map(|(pool, ms)| ((zone.clone(), pool.clone()), *ms)));
        }
        let State { table, relays, sent, rounds, .. } = state;
        for member in relays.members.iter().filter(|member| member.name != *own) {
            let sent = sent.entry(member.name.clone()).or_default();
            let others = table.without_member(&all, &member.name, now);
            let levels = member_levels.get(&member.name).into_iter().flatten();
            let due = levels.filter(|(name, level)| {
                quota_of(name).is_some_and(|quota| is_level_due(sent.levels.get(name), level, quota, now))
            });
            let due: Vec<_> = due.take(MAX_QUOTAS).cloned().collect();
            let quotas = due.into_iter().map(|(name, level)| {
                sent.levels.insert(name.clone(), SentLevel { level: level.clone(), sent_at: now });
                let QuotaLevel { level, counted, reachable } = level;
                pb::QuotaLevel { account: name.to_string(), level, counted, reachable }
            });
            let quotas = quotas.collect();
            let works =
                if table.holds_duties(&member.name) { sent.works.take(&works, MAX_WORKS, now) } else { Vec::new() };
            let summary = pb::Summary {
                life: shared.epoch,
                agreed_ms,
                loads: load_rows(sent.loads.take(&others, MAX_LOADS, now)),
                quotas,
                works: works.into_iter().map(work_row).collect(),
                runs: sent.run_rows(&runs, MAX_RUNS, now),
            };
            messages.push((member.address, Body::Summary(summary)));
        }
        let (zone_loads, zone_runs) = (table.zone_loads(now), table.zone_runs(now));
        let zone_works: BTreeMap<_, _> = zone_works.into_iter().map(|(pool, ms)| ((Arc::from(""), pool), ms)).collect();
        let stride = other_region_stride(relays.others.len() + 1);
        let round_ms = exchange_interval(relays.members.len()).as_millis() as u32;
        for (is_near, recipients) in relays.others.values() {
            if !is_near && !rounds.is_multiple_of(stride) {
                continue;
            }
            for recipient in recipients {
                let sent = sent.entry(recipient.name.clone()).or_default();
                let is_member = |name: &str| table.is_member(name);
                let clock_differences = shared.clock.lock().differences(unix_ms(), boot_ms(), is_member, MAX_CLOCKS);
                let sum = pb::ZoneSum {
                    life: shared.epoch,
                    zone: shared.settings.zone.to_string(),
                    daemons: reach.own,
                    period_ms: if *is_near { round_ms } else { round_ms * stride },
                    unix_ms: unix_ms(),
                    clock_differences,
                    loads: load_rows(sent.loads.take(&zone_loads, MAX_LOADS, now)),
                    quotas: quota_rows(sent.quotas.take(&zone_quotas, MAX_QUOTAS, now)),
                    works: sent.works.take(&zone_works, MAX_WORKS, now).into_iter().map(work_row).collect(),
                    runs: sent.run_rows(&zone_runs, MAX_RUNS, now),
                };
                messages.push((recipient.address, Body::ZoneSum(sum)));
            }
        }
        let recipients: Vec<&Recipient> =
            relays.members.iter().chain(relays.others.values().flat_map(|(_, list)| list)).collect();
        sent.retain(|name, _| recipients.iter().any(|recipient| recipient.name == *name));
    }

    /// The state that requests to back ends share, while the daemon runs.
    pub fn gateway(&self) -> Option<Arc<Gateway>> {
        self.gateway.upgrade()
    }

    /// Returns the request counts since a window that this daemon knows, its own and those of other daemons.
    pub fn usage_table(&self, from_window: u64) -> pb::UsageTable {
        let Some(gateway) = self.gateway.upgrade() else { return pb::UsageTable::default() };
        extend_own_span(&gateway);
        gateway.learn_stored_record();
        let usage = gateway.usage.lock();
        let rows = |windows: &BTreeMap<u64, AccountCounts>| windows.range(from_window..).map(window_counts).collect();
        let own = pb::LifeCounts {
            daemon: gateway.shared.settings.name.to_string(),
            life: gateway.shared.epoch,
            windows: rows(usage.own()),
        };
        let others = usage.others().map(|((daemon, epoch), windows)| pb::LifeCounts {
            daemon: daemon.to_string(),
            life: *epoch,
            windows: rows(windows),
        });
        let recorded = usage.recorded().map(|record| window_counts((&record.window, &record.counts)));
        let lives = std::iter::once(own).chain(others).filter(|life| !life.windows.is_empty());
        let mut lives: Vec<_> = lives.collect();
        lives.sort_unstable_by(|a, b| (&a.daemon, a.life).cmp(&(&b.daemon, b.life)));
        drop(usage);
        let now = boot_ms();
        let span = |(zone, (begin, end)): (&Arc<str>, (u64, u64))| pb::KeptSpan {
            zone: zone.to_string(),
            begun_ms: now.saturating_sub(begin),
            ended_ms: now.saturating_sub(end),
        };
        // An empty span says that this daemon states its spans.
        let none = span((&gateway.shared.settings.zone, (now, now)));
        let kept = gateway.kept_spans.lock().all().map(span).chain([none]).collect();
        pb::UsageTable { lives, recorded, kept }
    }

    /// Takes the request counts that a daemon hands over before it leaves; `None` if this daemon keeps none, or has left.
    pub fn take_usage(&self, hand: pb::HandUsage) -> Option<pb::UsageTaken> {
        let gateway = self.gateway.upgrade()?;
        if !gateway.shared.view.lock().local().state.is_present() {
            return None;
        }
        let table = hand.table?;
        info!("event=usage-taken from={} lives={}", hand.from, table.lives.len());
        // Counts of windows that have been reported would add up.
        let oldest = oldest_window(&gateway).saturating_sub(1);
        gateway.usage.lock().forget_before(oldest);
        apply_table(&gateway, table, None);
        Some(pb::UsageTaken { stopping: gateway.shared.stage.get() == Stage::Draining })
    }
}

/// Encodes what a relay decides; `None` if the daemon is no relay.
fn grant(decided: Option<Result<(), Duration>>) -> pb::QuotaGrant {
    match decided {
        None => pb::QuotaGrant { decision: pb::QuotaDecision::NotRelay.into(), retry_ms: 0 },
        Some(Ok(())) => pb::QuotaGrant { decision: pb::QuotaDecision::Granted.into(), retry_ms: 0 },
        Some(Err(wait)) => {
            let retry_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            pb::QuotaGrant { decision: pb::QuotaDecision::Refused.into(), retry_ms }
        }
    }
}

/// Decodes what a relay has decided; `None` if the daemon was no relay.
fn decision(grant: &pb::QuotaGrant) -> Option<Result<(), Duration>> {
    match grant.decision() {
        pb::QuotaDecision::Granted => Some(Ok(())),
        pb::QuotaDecision::Refused => Some(Err(Duration::from_millis(grant.retry_ms))),
        pb::QuotaDecision::NotRelay | pb::QuotaDecision::Unspecified => None,
    }
}

/// No relay of the availability zone has been heard lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoRelay;

fn apply_loads(gateway: &Gateway, loads: &Loads, now: u64) {
    for replica in gateway.shared.replicas.all() {
        if let Some(load) = loads.get(&replica.hash()) {
            replica.set_others_load(load.clone(), now);
        }
    }
}

/// Continues from the levels that the previous relay has told this daemon.
fn adopt_levels(gateway: &Gateway, reach: &Reach, now: u64) {
    let in_force = gateway.shared.in_force.load();
    let quota_of = |name: &str| in_force.site.accounts.get(name).and_then(|account| account.quota.as_ref());
    let levels = gateway.quota_balances.lock().levels(quota_of, now);
    let mut ledger = gateway.quota_ledger.lock();
    for (name, level) in levels {
        if let Some(quota) = quota_of(&name) {
            ledger.adopt_level(&name, quota, level, reach, now);
        }
    }
}

fn counted(ledger: &QuotaLedger, name: &str, level: &QuotaLevel, daemon: &str) -> QuotaLevel {
    QuotaLevel { counted: ledger.counted(name, daemon), ..level.clone() }
}
