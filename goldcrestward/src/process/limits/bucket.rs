//! A token bucket whose rate is this daemon's share of a limit, with a measure of demand.

/// Capacity of a bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;
/// Weight of the last second in the moving average of demand.
const DEMAND_WEIGHT: f64 = 0.5;

/// Bucket for one limit of one account at this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Bucket {
    available: f64,
    refilled_at: u64,
    requested: f64,
    demand: f64,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(rate: f64, now: u64) -> Self {
        Self { available: rate * BURST_SECONDS, refilled_at: now, ..Self::default() }
    }

    /// Refills the bucket at `rate` per second up to `now`, in ms.
    pub fn refill(&mut self, rate: f64, now: u64) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.refilled_at = now;
        self.available = (self.available + rate * elapsed_s).min((rate * BURST_SECONDS).max(1.0));
    }

    /// Whether at least `amount` is available.
    pub fn has_at_least(&self, amount: f64) -> bool {
        self.available >= amount
    }

    /// Takes an amount, below zero if necessary, and counts it as demand.
    pub fn spend(&mut self, amount: f64) {
        self.available -= amount;
        self.requested += amount;
    }

    /// Counts a refused amount as demand.
    pub fn record_refusal(&mut self, amount: f64) {
        self.requested += amount;
    }

    /// Returns the moving average of demand per second; must be called once a second.
    pub fn update_demand(&mut self) -> f64 {
        self.demand = DEMAND_WEIGHT * self.requested + (1.0 - DEMAND_WEIGHT) * self.demand;
        self.requested = 0.0;
        self.demand
    }
}
