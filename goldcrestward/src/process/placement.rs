//! Chooses the backend server with the earliest expected first response to a request.
//!
//! All costs are in milliseconds, so that a cached prompt, a queue and network latency can be compared.

use crate::util::derive_value_traits;

/// Added latency of another availability zone of the region, plus the price of its traffic in the same unit.
const OTHER_ZONE_MS: f64 = 4.0;
/// Added round-trip time to another region, plus the price of its traffic in the same unit.
const OTHER_REGION_MS: f64 = 60.0;
/// Added time at a server that has only just started.
const COLD_START_MS: f64 = 40.0;
/// Added time at a server that only peers reach.
const RELAY_MS: f64 = 8.0;
/// Penalty of a server whose recent attempts have all failed; scaled by the failure score.
const FAILURE_PENALTY_MS: f64 = 600.0;
/// Time that each running request adds to the next step of a batch.
const BATCH_STEP_MS: f64 = 0.35;
/// Time for which a request holds a slot of a full server; one of its slots comes free each
/// `SLOT_HOLD_MS / slots`.
const SLOT_HOLD_MS: f64 = 400.0;

derive_value_traits! {
    /// Where a server is, as seen from this daemon.
    pub(crate) enum Locality {
        SameZone,
        /// In another availability zone of the same region.
        SameRegion,
        OtherRegion,
    }
}

derive_value_traits! {
    /// A server that a request may be placed on.
    pub(crate) struct Candidate {
        /// Hash of the server's id.
        pub hash: u64,
        pub locality: Locality,
        /// Requests from all daemons that it runs or queues.
        pub running: u32,
        /// Time that it needs to prefill the waiting prompts from all daemons.
        pub prefill_ms: f64,
        /// Requests that it can run at once; 0 if unknown.
        pub slots: u32,
        /// Whether it has only just started.
        pub cold: bool,
        /// Score of its recent failures, from 0 for none to 1.
        pub failure_score: f64,
        /// Whether only peers reach it.
        pub unreached: bool,
    }
}

impl Candidate {
    /// Whether a further request would run at once.
    pub fn has_free_slot(&self) -> bool {
        self.slots == 0 || self.running < self.slots
    }
}

derive_value_traits! {
    /// Prefill time of a request's prompt.
    pub(crate) struct PromptCost {
        /// Requests with the same affinity share a prompt prefix; `None` if the request shares none.
        pub affinity: Option<u64>,
        /// Time to prefill the shared prefix, which a server may have cached.
        pub prefix_ms: f64,
        /// Time to prefill the rest of the prompt.
        pub suffix_ms: f64,
    }
}

derive_value_traits! {
    /// The chosen server, with estimates for the request.
    pub(crate) struct Placement {
        /// Index of the server in the list of candidates.
        pub index: usize,
        /// Time to prefill the prompt, without what is cached.
        pub prefill_ms: f64,
        /// Time until the first response, including the wait at the server.
        pub first_response_ms: f64,
        /// Whether the server has a free slot.
        pub has_free_slot: bool,
    }
}

/// Chooses the candidate with the earliest expected first response; `None` if there are none. `salt`
/// spreads requests over equal candidates.
pub(crate) fn place(candidates: &[Candidate], prompt_cost: &PromptCost, salt: u64) -> Option<Placement> {
    let cache_holders = prompt_cost.affinity.map(|key| cache_holders(candidates, key));
    let placements = candidates.iter().enumerate().map(|(index, candidate)| {
        let is_cached = cache_holders.as_ref().is_some_and(|cache_holders| cache_holders.contains(&Some(index)));
        let prefill_ms = prompt_cost.suffix_ms + if is_cached { 0.0 } else { prompt_cost.prefix_ms };
        let cost = cost(candidate, prefill_ms) + jitter(candidate.hash ^ salt);
        (
            cost,
            Placement {
                index,
                prefill_ms,
                first_response_ms: wait(candidate) + prefill_ms,
                has_free_slot: candidate.has_free_slot(),
            },
        )
    });
    placements.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, placement)| placement)
}

/// The server of each locality that is expected to have cached the shared prefix.
fn cache_holders(candidates: &[Candidate], key: u64) -> [Option<usize>; 3] {
    let best = |locality: Locality| {
        let matching = candidates.iter().enumerate().filter(|(_, c)| c.locality == locality);
        matching.max_by_key(|(_, c)| mix(c.hash ^ key)).map(|(index, _)| index)
    };
    [best(Locality::SameZone), best(Locality::SameRegion), best(Locality::OtherRegion)]
}

fn cost(candidate: &Candidate, prefill_ms: f64) -> f64 {
    let network = match candidate.locality {
        Locality::SameZone => 0.0,
        Locality::SameRegion => OTHER_ZONE_MS,
        Locality::OtherRegion => OTHER_REGION_MS,
    };
    let cold = if candidate.cold { COLD_START_MS } else { 0.0 };
    let relay = if candidate.unreached { RELAY_MS } else { 0.0 };
    wait(candidate) + prefill_ms + network + cold + relay + FAILURE_PENALTY_MS * candidate.failure_score
}

/// Time until the server starts to process a further request.
fn wait(candidate: &Candidate) -> f64 {
    let batch = BATCH_STEP_MS * f64::from(candidate.running.min(candidate.slots));
    let slot_wait = if candidate.has_free_slot() {
        0.0
    } else {
        SLOT_HOLD_MS * f64::from(candidate.running - candidate.slots + 1) / f64::from(candidate.slots)
    };
    candidate.prefill_ms + batch + slot_wait
}

/// A cost below a millisecond, to spread requests over equal servers.
fn jitter(value: u64) -> f64 {
    (mix(value) >> 11) as f64 / (1u64 << 53) as f64
}

/// Mixes the bits of a hash, so that the result of an XOR with a key is evenly distributed.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    let value = (value ^ (value >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    value ^ (value >> 32)
}

#[cfg(test)]
#[path = "placement_test.rs"]
mod placement_test;
