//! Tests of quotas over many daemons and availability zones that tell each other of their usage late, or not at all.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    super::{
        balance::{QuotaBalances, QuotaLevel, Verdict},
        isolated::IsolatedQuotas,
    },
    QuotaLedger, QuotaTotal,
};
use crate::{
    config::{Quota, QuotaUnit},
    process::exchange::{FleetTable, Reach, SumHead},
};

/// Interval of the exchange.
const INTERVAL_MS: u64 = 200;
/// Latency within a zone and to other zones.
const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 25;
/// Time after which unchanged usage is told again.
const REFRESH_MS: u64 = 1_000;
/// Window in which usage is checked.
const WINDOW_MS: u64 = 8_000;
const ACCOUNT: &str = "account";

enum Message {
    Report { from: usize, total: QuotaTotal },
    Sum { from: usize, daemons: u32, total: Option<QuotaTotal> },
    Level { to: usize, level: QuotaLevel },
}

/// Load on one account over several daemons.
struct Load {
    /// Units requested per second at each daemon before the burst, by availability zone.
    base_rates: Vec<Vec<f64>>,
    /// Factor on the base rates during the burst, which lasts from 4 s to 20 s.
    burst_factor: f64,
    /// Daemons that are partitioned from the others, by index.
    partitioned: Vec<usize>,
    /// Time in ms at which the partition begins.
    partitioned_since: u64,
    /// Units per request.
    units: f64,
    /// Share of the messages that are lost.
    loss: f64,
}

struct Outcome {
    /// Maximum number of units used in a window.
    peak: f64,
    /// Units used during the burst, after its first second, as a fraction of what the quota allows.
    used: f64,
    /// Units refused before the burst, from the first second on.
    refused: f64,
}

struct Daemon {
    zone: usize,
    is_relay: bool,
    rate: f64,
    balances: QuotaBalances,
    isolated: IsolatedQuotas,
}

struct Relay {
    ledger: QuotaLedger,
    table: FleetTable,
    /// Usage that it has last told the other zones, and when.
    told: Option<(QuotaTotal, u64)>,
}

struct Simulation<'a> {
    load: &'a Load,
    quota: &'a Quota,
    account: Arc<str>,
    daemons: Vec<Daemon>,
    relays: Vec<Relay>,
    names: Vec<Arc<str>>,
    zone_names: Vec<Arc<str>>,
    messages: VecDeque<(u64, Message)>,
    random: SmallRng,
}

impl<'a> Simulation<'a> {
    fn new(load: &'a Load, quota: &'a Quota, seed: u64) -> Self {
        let mut daemons = Vec::new();
        for (zone, rates) in load.base_rates.iter().enumerate() {
            daemons.extend(rates.iter().enumerate().map(|(n, rate)| Daemon {
                zone,
                is_relay: n == 0,
                rate: *rate,
                balances: QuotaBalances::default(),
                isolated: IsolatedQuotas::default(),
            }));
        }
        let zones = load.base_rates.len();
        Self {
            load,
            quota,
            account: ACCOUNT.into(),
            names: (0..daemons.len()).map(|n| format!("daemon-{n}").into()).collect(),
            daemons,
            relays: (0..zones)
                .map(|_| Relay { ledger: QuotaLedger::default(), table: FleetTable::default(), told: None })
                .collect(),
            zone_names: (0..zones).map(|n| format!("zone-{n}").into()).collect(),
            messages: VecDeque::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    fn relay_of(&self, zone: usize) -> usize {
        self.daemons.iter().position(|daemon| daemon.zone == zone && daemon.is_relay).expect("every zone has a relay")
    }

    fn connected(&self, a: usize, b: usize, now: u64) -> bool {
        now < self.load.partitioned_since || self.load.partitioned.contains(&a) == self.load.partitioned.contains(&b)
    }

    fn send(&mut self, due_ms: u64, message: Message) {
        if !self.random.random_bool(self.load.loss) {
            let at = self.messages.partition_point(|(due, _)| *due <= due_ms);
            self.messages.insert(at, (due_ms, message));
        }
    }

    fn reach(&self, zone: usize, now: u64) -> Reach {
        self.relays[zone].table.reach(self.daemons.len(), now)
    }

    fn deliver(&mut self, now: u64) {
        while self.messages.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, message)) = self.messages.pop_front() else { break };
            match message {
                Message::Report { from, total } => {
                    let (zone, name) = (self.daemons[from].zone, self.names[from].clone());
                    if !self.connected(from, self.relay_of(zone), now) {
                        continue;
                    }
                    self.relays[zone].table.apply_report(&name, 1, Default::default(), Default::default(), false, now);
                    let reach = self.reach(zone, now);
                    let ledger = &mut self.relays[zone].ledger;
                    ledger.apply_member_report(&name, (&self.account, self.quota), &total, &reach, now);
                }
                Message::Sum { from, daemons, total } => {
                    let relay = self.relay_of(from);
                    for zone in (0..self.relays.len()).filter(|zone| *zone != from) {
                        if !self.connected(relay, self.relay_of(zone), now) {
                            continue;
                        }
                        let (name, relay_name) = (self.zone_names[from].clone(), self.names[relay].clone());
                        let table = &mut self.relays[zone].table;
                        table.apply_zone_sum(
                            &name,
                            SumHead { relay: &relay_name, life: 1, daemons, period_ms: 0 },
                            Default::default(),
                            now,
                        );
                        let reach = self.reach(zone, now);
                        self.relays[zone].ledger.hear_zone(&name, now);
                        if let Some(total) = &total {
                            let ledger = &mut self.relays[zone].ledger;
                            ledger.apply_zone_report(&name, (&self.account, self.quota), total, &reach, now);
                        }
                    }
                }
                Message::Level { to, level } => {
                    if self.connected(to, self.relay_of(self.daemons[to].zone), now) {
                        self.daemons[to].balances.apply_level(&self.account, level, now);
                    }
                }
            }
        }
    }

    fn exchange(&mut self, now: u64) {
        for from in 0..self.daemons.len() {
            let is_due = (now + from as u64 * 29).is_multiple_of(INTERVAL_MS);
            let is_urgent = now.is_multiple_of(30)
                && self.daemons[from].balances.is_report_due(ACCOUNT, self.quota, self.daemons.len());
            if is_due || is_urgent {
                let total = self.daemons[from].balances.usage_report().remove(ACCOUNT).unwrap_or_default();
                self.send(now + NEAR_MS, Message::Report { from, total });
            }
            if !(is_due && self.daemons[from].is_relay) {
                continue;
            }
            let zone = self.daemons[from].zone;
            let reach = self.reach(zone, now);
            let relay = &mut self.relays[zone];
            let levels = relay.ledger.levels(|_| Some(self.quota), &reach, now);
            let total = relay.ledger.zone_report(now).remove(ACCOUNT);
            if let Some(level) = levels.get(ACCOUNT) {
                for to in (0..self.daemons.len()).filter(|to| self.daemons[*to].zone == zone).collect::<Vec<_>>() {
                    let counted = self.relays[zone].ledger.counted(ACCOUNT, &self.names[to]);
                    self.send(now + NEAR_MS, Message::Level { to, level: QuotaLevel { counted, ..level.clone() } });
                }
            }
            // Usage that has not changed is told again only now and then.
            let told = &mut self.relays[zone].told;
            let is_known =
                told.as_ref().is_some_and(|(told, at)| Some(told) == total.as_ref() && now < at + REFRESH_MS);
            let total = total.filter(|_| !is_known);
            if let Some(total) = &total {
                *told = Some((total.clone(), now));
            }
            self.send(now + FAR_MS, Message::Sum { from: zone, daemons: reach.own, total });
        }
    }

    fn charge(&mut self, n: usize, now: u64) -> Result<(), Duration> {
        let (zone, units) = (self.daemons[n].zone, self.load.units);
        let count = self.daemons.len();
        let verdict = self.daemons[n].balances.charge(&self.account, self.quota, units, count, now);
        if verdict == Verdict::Admitted {
            return Ok(());
        }
        if self.connected(n, self.relay_of(zone), now) {
            let reach = self.reach(zone, now);
            return self.relays[zone].ledger.charge(&self.account, self.quota, units, &reach, now);
        }
        let daemon = &mut self.daemons[n];
        let last_level = daemon.balances.last_level(ACCOUNT);
        daemon.isolated.charge(&self.account, self.quota, units, count, last_level, now)?;
        daemon.balances.record(&self.account, units);
        Ok(())
    }

    fn run(mut self) -> Outcome {
        let mut charges: Vec<(u64, f64)> = Vec::new();
        let mut refused = 0.0;
        // Daemons start some time before the load.
        const LEAD_MS: u64 = 3_000;
        for now in 0..LEAD_MS + 20_000 {
            self.deliver(now);
            let since = now.saturating_sub(LEAD_MS);
            let in_burst = since >= 4_000;
            for n in 0..self.daemons.len() {
                let rate = self.daemons[n].rate * if in_burst { self.load.burst_factor } else { 1.0 };
                if now >= LEAD_MS && self.random.random_bool((rate / self.load.units / 1000.0).min(1.0)) {
                    match self.charge(n, now) {
                        Ok(()) => charges.push((since, self.load.units)),
                        Err(_) if !in_burst => refused += self.load.units,
                        Err(_) => {}
                    }
                }
            }
            self.exchange(now);
        }
        let sum = |from: u64, to: u64| -> f64 { charges.iter().filter(|u| u.0 >= from && u.0 < to).map(|u| u.1).sum() };
        // Charges are in the order of time, so the windows that start at each of them slide over the list.
        let (mut peak, mut in_window, mut end) = (0.0_f64, 0.0, 0);
        for (at, units) in &charges {
            while charges.get(end).is_some_and(|charge| charge.0 < at + WINDOW_MS) {
                in_window += charges[end].1;
                end += 1;
            }
            peak = peak.max(in_window);
            in_window -= units;
        }
        let used = sum(5_000, 20_000) / (self.quota.rate * 15.0);
        Outcome { peak, used, refused }
    }
}

/// Maximum number of units that the users accept in a window: 10% more than rate and burst, plus 72,000 units.
fn allowed(quota: &Quota) -> f64 {
    (quota.rate * WINDOW_MS as f64 / 1000.0 + quota.burst) * 1.1 + 72_000.0
}

fn tokens(rate: f64) -> Quota {
    Quota { rate, burst: rate, unit: QuotaUnit::Tokens(200) }
}

fn check(name: &str, load: &Load, quota: &Quota) {
    let outcome = Simulation::new(load, quota, 7).run();
    let Outcome { peak, used, refused } = outcome;
    println!(
        "{name}, {} units: peak {:.2} of allowed, used {used:.2}, refused before {refused:.0}",
        load.units,
        peak / allowed(quota)
    );
    assert!(peak <= allowed(quota), "{name}: {peak} units in a window");
    assert!(used >= 0.85, "{name}: only {used:.2} of the quota was given out");
    assert!(refused == 0.0, "{name}: {refused} units refused below the quota");
}

#[test]
fn quotas_hold_under_hot_account() {
    let even = || vec![vec![25_000.0; 3], vec![25_000.0; 2], vec![25_000.0; 2]];
    let uneven = vec![vec![80_000.0, 40_000.0, 20_000.0], vec![15_000.0, 10_000.0], vec![8_000.0, 2_000.0]];
    let halves = || vec![vec![30_000.0; 3], vec![30_000.0; 3]];
    let cases = [
        ("even", even(), vec![], 0),
        ("uneven", uneven, vec![], 0),
        ("two daemons partitioned from the start", even(), vec![1, 4], 0),
        ("two daemons partitioned", even(), vec![1, 4], 6_000),
        ("one partitioned", even(), vec![2], 6_000),
        ("a zone partitioned from the start", even(), vec![3, 4], 0),
        ("a zone partitioned", even(), vec![5, 6], 6_000),
        ("partitioned in the burst", even(), vec![1, 4], 9_000),
        ("half partitioned from the start", halves(), vec![0, 1, 2], 0),
        ("half partitioned", halves(), vec![0, 1, 2], 6_000),
        ("alone", vec![vec![175_000.0]], vec![], 0),
    ];
    for (name, base_rates, partitioned, partitioned_since) in cases {
        for units in [900.0, 9_200.0] {
            let (base_rates, partitioned) = (base_rates.clone(), partitioned.clone());
            let load = Load { base_rates, burst_factor: 7.5, partitioned, partitioned_since, units, loss: 0.0 };
            check(name, &load, &tokens(320_000.0));
        }
    }
}

#[test]
fn quotas_of_long_prompts_are_used_at_many_daemons() {
    // A request of one account arrives at one daemon only every few seconds, so no fixed part of the quota can hold it.
    for (zones, members) in [(6, 15), (6, 33), (33, 22)] {
        for (name, rate, loss) in [("even", 320_000.0, 0.0), ("one message in ten lost", 320_000.0, 0.1)] {
            let base = rate * 0.55 / (zones * members) as f64;
            let base_rates = vec![vec![base; members]; zones];
            let load =
                Load { base_rates, burst_factor: 4.0, partitioned: vec![], partitioned_since: 0, units: 9_200.0, loss };
            check(&format!("{name}, {} daemons", zones * members), &load, &tokens(rate));
        }
    }
}

#[test]
fn substitute_reports_only_what_is_used_after_it_begins() {
    let (quota, account, zone): (_, Arc<str>, Arc<str>) = (tokens(100_000.0), ACCOUNT.into(), "zone-0".into());
    let reach = Reach { own: 2, total: 4, zones: vec![("zone-1".into(), 2, true)] };
    let far_reach = Reach { own: 2, total: 4, zones: vec![(zone.clone(), 2, true)] };
    let (mut substitute, mut far) = (QuotaLedger::default(), QuotaLedger::default());
    let total = |used| QuotaTotal { used, asked: used, used_before: used - 5_000.0 };
    // For 20 s, the substitute gets the reports that the relay gets as well.
    for second in 1..=20_u32 {
        let used = f64::from(second) * 5_000.0;
        let now = u64::from(second) * 1_000;
        substitute.apply_member_report(&"daemon-1".into(), (&account, &quota), &total(used), &reach, now);
    }
    let level = |far: &mut QuotaLedger| far.levels(|_| Some(&quota), &far_reach, 20_000)[ACCOUNT].level;
    far.charge(&account, &quota, 1.0, &far_reach, 20_000).expect("plenty is left");
    let before = level(&mut far);
    far.restart_zone(&zone);
    substitute.begin_reports(20_000);
    let first = substitute.zone_report(20_000).remove(ACCOUNT).expect("the account was used");
    far.apply_zone_report(&zone, (&account, &quota), &first, &far_reach, 20_000);
    assert!(before - level(&mut far) < 1.0, "{} units charged a second time", before - level(&mut far));
    substitute.apply_member_report(&"daemon-1".into(), (&account, &quota), &total(105_000.0), &reach, 20_000);
    let next = substitute.zone_report(20_000).remove(ACCOUNT).expect("the account was used");
    far.apply_zone_report(&zone, (&account, &quota), &next, &far_reach, 20_000);
    assert!((before - level(&mut far) - 5_000.0).abs() < 1.0, "{} units charged", before - level(&mut far));
}

/// Guards against use above the quota when daemons are cut off at any moment of a burst.
#[test]
fn quotas_hold_whenever_daemons_are_partitioned() {
    let quota = tokens(320_000.0);
    let mut worst = (0.0_f64, String::new());
    for partitioned in [vec![1, 5], vec![0, 4], vec![1, 2], vec![3, 5]] {
        for partitioned_since in (6_800..11_000).step_by(300) {
            for units in [900.0, 9_200.0] {
                let base_rates = vec![vec![25_000.0; 3], vec![25_000.0; 2], vec![25_000.0; 2]];
                let partitioned = partitioned.clone();
                let case = format!("{partitioned:?} from {partitioned_since} ms, {units} units");
                let load = Load { base_rates, burst_factor: 7.5, partitioned, partitioned_since, units, loss: 0.0 };
                let peak = Simulation::new(&load, &quota, partitioned_since).run().peak / allowed(&quota);
                if peak > worst.0 {
                    worst = (peak, case);
                }
            }
        }
    }
    println!("worst: {:.3} of what is allowed, {}", worst.0, worst.1);
    assert!(worst.0 <= 1.0, "{:.3} of what is allowed, {}", worst.0, worst.1);
}

/// Guards against refusals below the quota where a zone that asks for nearly all of it misses reports of the others.
#[test]
fn quotas_are_granted_below_the_limit_while_messages_are_lost() {
    let quota = tokens(320_000.0);
    let cases = [
        ("one zone", vec![vec![90_000.0; 3], vec![500.0; 2], vec![500.0; 2]]),
        ("one daemon", vec![vec![280_000.0, 100.0, 100.0], vec![500.0; 2], vec![500.0; 2]]),
        ("even", vec![vec![40_000.0; 3], vec![40_000.0; 2], vec![40_000.0; 2]]),
    ];
    for (name, base_rates) in cases {
        for loss in [0.0, 0.05, 0.1, 0.2] {
            for seed in 0..16 {
                let load = Load {
                    base_rates: base_rates.clone(),
                    burst_factor: 1.0,
                    partitioned: vec![],
                    partitioned_since: 0,
                    units: 900.0,
                    loss,
                };
                let refused = Simulation::new(&load, &quota, seed).run().refused;
                assert_eq!(refused, 0.0, "{name}, {loss} of the messages lost, seed {seed}");
            }
        }
    }
}
