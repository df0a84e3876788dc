//! Duration of the engine's steps.
//!
//! The constants model an 8-billion-parameter model on one accelerator of the
//! 80 GB class, rounded from figures published for continuous batching engines:
//! a decode step of about 10 ms for a small batch that grows slowly with the batch
//! (Kwon et al., "Efficient Memory Management for Large Language Model Serving with
//! PagedAttention", SOSP 2023), and prefill at about 10,000 tokens a second with
//! chunks of 512 tokens (Agrawal et al., "Taming Throughput-Latency Tradeoff in LLM
//! Inference with Sarathi-Serve", OSDI 2024).

use std::time::Duration;

/// Fixed part of a step, in microseconds.
const STEP_BASE_US: f64 = 9_000.0;
const STEP_PER_SEQUENCE_US: f64 = 90.0;
const STEP_PER_1000_CONTEXT_TOKENS_US: f64 = 25.0;
const STEP_PER_PREFILL_TOKEN_US: f64 = 95.0;
/// Maximum number of tokens prefilled in one step.
pub(crate) const PREFILL_CHUNK_TOKENS: usize = 512;
/// Time to import the KV cache of 1,000 tokens, in microseconds.
const IMPORT_PER_1000_TOKENS_US: f64 = 2_500.0;

/// Durations of steps and imports, scaled by a common factor.
#[derive(Clone, Copy, Debug)]
pub struct CostModel {
    /// Factor applied to all times: 1 for the published figures, less for fast tests.
    pub time_factor: f64,
}

impl CostModel {
    /// Duration of a step that decodes `decoding` sequences, with `context` tokens in the
    /// batch, and prefills `prefill` tokens.
    pub fn step_time(&self, decoding: usize, context: usize, prefill: usize) -> Duration {
        let micros = STEP_BASE_US
            + STEP_PER_SEQUENCE_US * decoding as f64
            + STEP_PER_1000_CONTEXT_TOKENS_US * context as f64 / 1000.0
            + STEP_PER_PREFILL_TOKEN_US * prefill as f64;
        Duration::from_nanos((micros * self.time_factor * 1000.0) as u64)
    }

    /// Duration of an import of the KV cache of `tokens` tokens.
    pub fn import_time(&self, tokens: usize) -> Duration {
        let micros = IMPORT_PER_1000_TOKENS_US * tokens as f64 / 1000.0;
        Duration::from_nanos((micros * self.time_factor * 1000.0) as u64)
    }
}
