//! Events that come while requests wait, and what they may lead to.

use super::{
    cell::{Cell, Kind, Step},
    outcome::Outcome::{self, Closed, Cut, MayHaveRun, NotRun, Whole},
};

/// Configuration of a site: `orders` and `models` are held at steps, nothing connects to `far` and `far-models`.
pub(super) const CONFIG: &str = "
zones:
  north-a: { region: north }
pools:
  models: { kind: model }
  orders: { kind: plain }
  far-models: { kind: model }
  far: { kind: plain }
  spare-models: { kind: model }
  spare: { kind: plain }
routes:
  meal-planner: { pool: models, model: meal-planner, timeout-seconds: 12, retry-percent: 100 }
  far-planner: { pool: far-models, model: far-planner, timeout-seconds: 12, retry-percent: 100 }
  confirm: { pool: orders, prefix: /orders/confirm, repeatable: false, timeout-seconds: 12 }
  far-confirm: { pool: far, prefix: /far/confirm, repeatable: false, timeout-seconds: 12 }
  lookup: { pool: orders, prefix: /orders/lookup, lookup: true, timeout-seconds: 12 }
  far-lookup: { pool: far, prefix: /far/lookup, lookup: true, timeout-seconds: 12 }
  orders: { pool: orders, prefix: /orders/, timeout-seconds: 12 }
  far: { pool: far, prefix: /far/, timeout-seconds: 12 }
accounts:
  kitchen:
    key-sha256: 62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef
versions:
  models-1: { pool: models }
  orders-1: { pool: orders }
  far-models-1: { pool: far-models }
  far-1: { pool: far }
  spare-models-1: { pool: spare-models }
  spare-1: { pool: spare }
";

/// What comes while requests wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Event {
    KeyWithdrawn,
    RoutesDropped,
    RoutesMoved,
    PoolsDropped,
    TimeoutsLowered,
    KindsChanged,
    LimitsLowered,
    /// SIGHUP.
    Hangup,
    /// SIGTERM without a time limit.
    Stop,
    /// SIGTERM with a time limit.
    LimitedStop,
    /// SIGTERM of the daemon that owns keys.
    OwnerStop,
    /// SIGKILL of the daemon that owns keys.
    OwnerKill,
    ServersLeaving,
    ServersGone,
    /// The servers go on after 1.9 s only.
    ServersSilent,
    ConnectionsReset,
    /// The store fails for 2 s.
    StoreAway,
}

/// The outcomes that the design allows for a request at a step beside events.
pub(super) fn allowed(events: &[Event], cell: Cell) -> Vec<Outcome> {
    let mut allowed: Vec<Outcome> = events.iter().flat_map(|event| event.allowed(cell)).copied().collect();
    if events.iter().any(|event| event.withdraws()) && cell.is_unsent() && cell.step != Step::Connecting {
        allowed.retain(|outcome| *outcome != Whole);
    }
    // A request that was reset is not repeated once its run may outlast the daemon.
    if events.contains(&Event::ConnectionsReset) && events.contains(&Event::LimitedStop) && !cell.is_unsent() {
        allowed.push(if cell.kind == Kind::Stream && cell.is_answering() { Whole } else { MayHaveRun });
    }
    allowed
}

impl Event {
    /// Whether it takes what a request needs to be sent.
    fn withdraws(self) -> bool {
        matches!(self, Self::KeyWithdrawn | Self::RoutesDropped)
    }

    /// The configuration after the event; `None` if it stays.
    pub fn config(self) -> Option<String> {
        let without = |text: &str, word: &str| -> String {
            text.lines().filter(|line| !line.contains(word)).map(|line| format!("{line}\n")).collect()
        };
        let moved = || {
            CONFIG.replace("{ pool: orders, ", "{ pool: spare, ").replace("{ pool: models, ", "{ pool: spare-models, ")
        };
        Some(match self {
            Self::KeyWithdrawn => CONFIG.replace("key-sha256: 62af", "key-sha256: 62ae"),
            Self::RoutesDropped => {
                let text = without(&without(CONFIG, "prefix: "), "model: ");
                text.replace("routes:", "routes:\n  rest: { pool: spare, prefix: /rest/ }")
            }
            Self::RoutesMoved => moved(),
            Self::PoolsDropped => {
                let text = moved();
                let dropped = ["  models: {", "  orders: { kind", "  models-1:", "  orders-1:"];
                dropped.iter().fold(text, |text, line| without(&text, line))
            }
            Self::TimeoutsLowered => CONFIG.replace("timeout-seconds: 12", "timeout-seconds: 0.5"),
            Self::KindsChanged => CONFIG
                .replace("repeatable: false", "repeatable: true")
                .replace(", lookup: true", "")
                .replace("prefix: /orders/,", "prefix: /orders/, repeatable: false,")
                .replace("prefix: /far/,", "prefix: /far/, repeatable: false,"),
            Self::LimitsLowered => {
                CONFIG.replace("  kitchen:", "  kitchen:\n    requests-per-second: 1\n    concurrency: 1")
            }
            _ => return None,
        })
    }

    /// The outcomes that the design allows for a request at a step beside this event alone.
    fn allowed(self, cell: Cell) -> &'static [Outcome] {
        let is_new = matches!(cell.step, Step::Head | Step::Idle);
        let claims = cell.kind == Kind::Confirm && (is_new || matches!(cell.step, Step::Body | Step::Claim));
        match self {
            // No first attempt begins once the change is in force; what was sent goes on.
            _ if self.withdraws() => match cell.step {
                Step::Connecting => &[Whole, NotRun],
                _ if cell.is_unsent() => &[NotRun],
                _ => &[Whole],
            },
            // Limits are asked at the head.
            Self::LimitsLowered if is_new => &[Whole, NotRun],
            Self::Stop | Self::LimitedStop if cell.step == Step::Idle => &[Whole, NotRun, Closed],
            Self::Stop if cell.step == Step::Head => &[Whole, NotRun],
            Self::LimitedStop if cell.is_unsent() => &[Whole, NotRun],
            Self::OwnerStop | Self::OwnerKill | Self::StoreAway if claims => &[Whole, NotRun],
            Self::ConnectionsReset if cell.is_unsent() || cell.step == Step::Recording => &[Whole],
            Self::ConnectionsReset if cell.kind == Kind::Confirm => &[MayHaveRun],
            Self::ConnectionsReset if cell.is_answering() && cell.kind.is_passed_on() => &[Cut],
            _ => &[Whole],
        }
    }
}
