//! What a step of the engine costs in time.
//!
//! The constants stand for an 8-billion-parameter model on one accelerator of the
//! 80 GB class, rounded from figures published for continuous batching engines:
//! a decode step of about 10 ms for a small batch that grows slowly with the batch
//! (Kwon et al., "Efficient Memory Management for Large Language Model Serving with
//! PagedAttention", SOSP 2023), and prefill at about 10,000 tokens a second with
//! chunks of 512 tokens (Agrawal et al., "Taming Throughput-Latency Tradeoff in LLM
//! Inference with Sarathi-Serve", OSDI 2024).

use std::time::Duration;

/// Time of a decode step with an empty batch, in microseconds.
const STEP_BASE_US: f64 = 9_000.0;
/// Time that each decoding sequence adds to a step, in microseconds.
const STEP_SEQUENCE_US: f64 = 90.0;
/// Time that each 1,000 tokens of context in the batch add to a step, in microseconds.
const STEP_CONTEXT_US: f64 = 25.0;
/// Time that each prefilled token adds to a step, in microseconds.
const STEP_PREFILL_US: f64 = 95.0;
/// Tokens of prefill done in one step at most.
pub(crate) const PREFILL_CHUNK_TOKENS: usize = 512;
/// Time to import the cached keys and values of 1,000 tokens, in microseconds.
const IMPORT_US: f64 = 2_500.0;

/// The cost model with a factor on all times.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Factor on all times; 1 for the published figures, less for fast tests.
    pub time_factor: f64,
}

impl Cost {
    /// Time of one step.
    pub fn step(&self, decoding: usize, context: usize, prefill: usize) -> Duration {
        let micros = STEP_BASE_US
            + STEP_SEQUENCE_US * decoding as f64
            + STEP_CONTEXT_US * context as f64 / 1000.0
            + STEP_PREFILL_US * prefill as f64;
        Duration::from_nanos((micros * self.time_factor * 1000.0) as u64)
    }

    /// Time to import the keys and values of `tokens`.
    pub fn import(&self, tokens: usize) -> Duration {
        let micros = IMPORT_US * tokens as f64 / 1000.0;
        Duration::from_nanos((micros * self.time_factor * 1000.0) as u64)
    }
}
