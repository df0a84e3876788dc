//! Tests of rate limits of replicas over many daemons, some of which do not reach the relay.

use std::{collections::VecDeque, ops::Range, sync::Arc};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{IsolatedSends, SILENCE_MS, SendLimits};

const RUN: u64 = 1;
const STEP_MS: u64 = 10;
const WINDOW_MS: u64 = 4_000;
const RUN_MS: u64 = 60_000;
/// Time for which a relay that is replaced still answers some daemons.
const OVERLAP_MS: u64 = 700;

/// What goes wrong between the daemons and the relay.
#[derive(Clone, Debug, Default)]
struct Trouble {
    /// Share of the questions to the relay that are lost.
    loss: f64,
    /// When another daemon becomes the relay, in ms.
    replaced_at: Option<u64>,
    /// Share of the daemons that do not reach the relay, and when.
    cut: (f64, Range<u64>),
}

struct Site {
    daemons: Vec<IsolatedSends>,
    /// When each daemon may ask again.
    blocked: Vec<u64>,
    relays: [SendLimits; 2],
    zone: Arc<str>,
    /// Times of the requests that were sent, in ms.
    sent: VecDeque<u64>,
    most_in_window: usize,
    total: usize,
    random: SmallRng,
    now: u64,
}

impl Site {
    fn new(daemons: usize) -> Self {
        Self {
            daemons: (1..=daemons).map(|number| IsolatedSends::new(number as u64)).collect(),
            blocked: vec![0; daemons],
            relays: [SendLimits::new(0), SendLimits::new(0)],
            zone: "zone".into(),
            sent: VecDeque::new(),
            most_in_window: 0,
            total: 0,
            random: SmallRng::seed_from_u64(daemons as u64),
            now: 0,
        }
    }

    /// Daemons want to send `demand` requests a second together.
    fn run(&mut self, limit: f64, demand: f64, trouble: &Trouble) {
        while self.now < RUN_MS {
            self.now += STEP_MS;
            let mut wanted = demand * STEP_MS as f64 / 1000.0;
            while wanted > 0.0 {
                if self.random.random_bool(wanted.min(1.0)) {
                    let daemon = self.random.random_range(0..self.daemons.len());
                    self.ask(daemon, limit, trouble);
                }
                wanted -= 1.0;
            }
        }
    }

    fn ask(&mut self, daemon: usize, limit: f64, trouble: &Trouble) {
        let (now, count) = (self.now, self.daemons.len());
        if self.blocked[daemon] > now {
            return;
        }
        let relay = match trouble.replaced_at {
            Some(at) if now >= at + OVERLAP_MS || (now >= at && daemon.is_multiple_of(2)) => 1,
            _ => 0,
        };
        let cut_count = (trouble.cut.0 * count as f64) as usize;
        let is_cut = daemon < cut_count && trouble.cut.1.contains(&now);
        // The relay notices a silence as late as the daemons do.
        let is_noticed = trouble.cut.1.contains(&now) && now >= trouble.cut.1.start + SILENCE_MS;
        let heard = if is_noticed { count - cut_count } else { count };
        let decided = if is_cut || self.random.random_bool(trouble.loss) {
            self.daemons[daemon].charge(&self.zone, (RUN, limit), count, now)
        } else {
            self.daemons[daemon].record_answer(&self.zone);
            self.relays[relay].charge(RUN, limit, heard as f64 / count as f64, now)
        };
        match decided {
            Ok(()) => {
                self.total += 1;
                self.sent.push_back(now);
                while self.sent.front().is_some_and(|at| at + WINDOW_MS <= now) {
                    self.sent.pop_front();
                }
                self.most_in_window = self.most_in_window.max(self.sent.len());
            }
            Err(wait) => self.blocked[daemon] = now + wait.as_millis() as u64,
        }
    }
}

/// The most that the platform allows in a window.
fn allowed(limit: f64) -> f64 {
    1.5 * limit * WINDOW_MS as f64 / 1000.0 + 5.0
}

/// Guards against daemons that each keep to a limit by themselves.
#[test]
fn charge_all_daemons_together_keep_the_limit_and_use_it() {
    let troubles = [
        (Trouble::default(), 0.9),
        (Trouble { loss: 0.2, replaced_at: Some(30_000), ..Trouble::default() }, 0.85),
        (Trouble { cut: (0.4, 10_000..40_000), ..Trouble::default() }, 0.6),
        (Trouble { cut: (0.9, 10_000..40_000), ..Trouble::default() }, 0.3),
        (Trouble { cut: (1.0, 0..RUN_MS), ..Trouble::default() }, 0.0),
    ];
    for daemons in [7, 87, 195, 730] {
        for limit in [0.3, 0.9, 3.6, 20.0] {
            for (trouble, least) in &troubles {
                let mut site = Site::new(daemons);
                site.run(limit, 200.0, trouble);
                let used = site.total as f64 * 1000.0 / (RUN_MS as f64 * limit);
                let case = format!("{daemons} daemons, limit {limit}, {trouble:?}: {used:.2} of the limit used");
                assert!(site.most_in_window as f64 <= allowed(limit), "{case}, {} in a window", site.most_in_window);
                assert!(used >= *least, "{case}");
            }
        }
    }
}

#[test]
fn charge_uneven_demand_uses_the_limit() {
    // One daemon alone has requests, as all sessions of the replica reach it.
    let mut limits = SendLimits::new(0);
    let granted = (0..60_000).step_by(50).filter(|now| limits.charge(RUN, 3.6, 1.0, *now).is_ok()).count();
    assert!((200..=218).contains(&granted), "{granted} requests in 60 s at 3.6 a second");
}

#[test]
fn charge_limit_of_zero_lets_an_answer_tell_its_end() {
    let mut limits = SendLimits::new(0);
    let granted = (0..40_000).step_by(100).filter(|now| limits.charge(RUN, 0.0, 1.0, *now).is_ok()).count();
    assert!((9..=11).contains(&granted), "{granted} requests in 40 s");
}

#[test]
fn charge_follows_a_limit_that_changes() {
    let mut limits = SendLimits::new(0);
    let mut count = |from: u64, limit: f64| {
        (from..from + 10_000).step_by(10).filter(|now| limits.charge(RUN, limit, 1.0, *now).is_ok()).count()
    };
    assert!((99..=112).contains(&count(0, 10.0)));
    assert!((19..=23).contains(&count(10_000, 2.0)));
    assert!((99..=106).contains(&count(20_000, 10.0)));
}

/// Guards against a daemon that uses a share of its own beside the relay, as an answer was lost long before.
#[test]
fn charge_after_an_earlier_loss_waits_for_the_relay_again() {
    let (zone, mut daemon) = (Arc::from("zone"), IsolatedSends::new(1));
    assert!(daemon.charge(&zone, (RUN, 20.0), 1, 0).is_err());
    let late = 60_000;
    let granted =
        (late..late + SILENCE_MS).step_by(50).filter(|now| daemon.charge(&zone, (RUN, 20.0), 1, *now).is_ok());
    assert_eq!(granted.count(), 0, "the relay was not silent for long");
    let granted =
        (late + SILENCE_MS..late + 5_000).step_by(50).filter(|now| daemon.charge(&zone, (RUN, 20.0), 1, *now).is_ok());
    assert!(granted.count() > 0, "the relay was silent for long");
}
