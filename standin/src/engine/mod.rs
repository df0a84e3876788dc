//! A simulated model engine with continuous batching and an OpenAI-compatible API.

mod batch;
mod cache;
mod cost;
mod server;
mod text;

pub use batch::{Batch, OutputEvent, Sequence};
pub use cache::PrefixCache;
pub use cost::CostModel;
pub use server::{Engine, EngineCounts, EngineFaults, EngineOptions};
pub use text::{generated_text, prompt_hash, token};
