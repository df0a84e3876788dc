//! Chooses a backend server by the time that a request would spend until its first answer there.
//!
//! All terms are in milliseconds, so that a cached prompt, a queue and a long way weigh against each other.

use crate::util::value;

/// Added time on the way to another availability zone of the region, and the price of its bytes in the same unit.
const ZONE_MS: f64 = 4.0;
/// Added time on the way to another region and back, and the price of its bytes in the same unit.
const REGION_MS: f64 = 60.0;
/// Added time at a server that has only just started.
const COLD_MS: f64 = 40.0;
/// Added time at a server that has done nothing but fail of late.
const TROUBLE_MS: f64 = 600.0;
/// Time that one more running request adds to the next step of a batch.
const BATCH_MS: f64 = 0.35;
/// Time after which a place comes free at a server whose places are taken, divided by the number of its places.
const TURN_MS: f64 = 400.0;

value! {
    /// How far away a server is.
    pub(crate) enum Locality {
        /// In the same availability zone.
        SameZone,
        /// In another availability zone of the region.
        SameRegion,
        /// In another region.
        OtherRegion,
    }
}

value! {
    /// A server as the choice sees it.
    pub(crate) struct Candidate {
        /// Hash of its name.
        pub hash: u64,
        /// How far away it is.
        pub locality: Locality,
        /// Requests that it runs or that wait in it, of all daemons.
        pub running: u32,
        /// Time that it needs to read the prompts in front of it, of all daemons.
        pub prefill_ms: f64,
        /// Requests that it runs at once; 0 if it is not known.
        pub slots: u32,
        /// Whether it has only just started.
        pub cold: bool,
        /// Trouble with it of late, from 0 for none to 1.
        pub failure_score: f64,
    }
}

value! {
    /// A request as the choice sees it.
    pub(crate) struct PromptCost {
        /// Requests with the same affinity share a prompt; `None` if it shares none.
        pub affinity: Option<u64>,
        /// Time to read the part of the prompt that a server may have kept.
        pub prefix_ms: f64,
        /// Time to read the rest.
        pub suffix_ms: f64,
    }
}

value! {
    /// The chosen server.
    pub(crate) struct Placement {
        /// Its place among the candidates.
        pub index: usize,
        /// Time that it will take to read the prompt.
        pub prefill_ms: f64,
        /// Time until the first answer.
        pub first_ms: f64,
        /// Whether it has a place free.
        pub free: bool,
    }
}

/// Chooses the candidate with the earliest first answer; `None` if there are none.
pub(crate) fn place(candidates: &[Candidate], demand: &PromptCost, salt: u64) -> Option<Placement> {
    let keepers = demand.affinity.map(|key| keepers(candidates, key));
    let placed = candidates.iter().enumerate().map(|(index, candidate)| {
        let kept = keepers.as_ref().is_some_and(|keepers| keepers.contains(&Some(index)));
        let prefill_ms = demand.suffix_ms + if kept { 0.0 } else { demand.prefix_ms };
        let cost = cost(candidate, prefill_ms) + jitter(candidate.hash ^ salt);
        (cost, Placement { index, prefill_ms, first_ms: wait(candidate) + prefill_ms, free: is_free(candidate) })
    });
    placed.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, placed)| placed)
}

/// The server of each distance that is expected to have kept the shared part.
fn keepers(candidates: &[Candidate], key: u64) -> [Option<usize>; 3] {
    let best = |locality: Locality| {
        let fitting = candidates.iter().enumerate().filter(|(_, c)| c.locality == locality);
        fitting.max_by_key(|(_, c)| mix(c.hash ^ key)).map(|(index, _)| index)
    };
    [best(Locality::SameZone), best(Locality::SameRegion), best(Locality::OtherRegion)]
}

fn cost(candidate: &Candidate, prefill_ms: f64) -> f64 {
    let way = match candidate.locality {
        Locality::SameZone => 0.0,
        Locality::SameRegion => ZONE_MS,
        Locality::OtherRegion => REGION_MS,
    };
    let cold = if candidate.cold { COLD_MS } else { 0.0 };
    wait(candidate) + prefill_ms + way + cold + TROUBLE_MS * candidate.failure_score
}

/// Time until the server turns to one more request.
fn wait(candidate: &Candidate) -> f64 {
    let batch = BATCH_MS * f64::from(candidate.running.min(candidate.slots));
    let turn = if is_free(candidate) {
        0.0
    } else {
        TURN_MS * f64::from(candidate.running - candidate.slots + 1) / f64::from(candidate.slots)
    };
    candidate.prefill_ms + batch + turn
}

fn is_free(candidate: &Candidate) -> bool {
    candidate.slots == 0 || candidate.running < candidate.slots
}

/// Below a millisecond: spreads requests over servers that are alike.
fn jitter(value: u64) -> f64 {
    (mix(value) >> 11) as f64 / (1u64 << 53) as f64
}

/// Spreads the bits of a hash.
pub(crate) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    let value = (value ^ (value >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    value ^ (value >> 32)
}

#[cfg(test)]
#[path = "placement_test.rs"]
mod placement_test;
