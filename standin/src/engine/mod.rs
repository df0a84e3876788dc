//! A model engine that batches continuously, behind the OpenAI-compatible interface.

mod batch;
mod cache;
mod cost;
mod server;
mod text;

pub use batch::{Batch, Piece, Sequence};
pub use cache::PrefixCache;
pub use cost::Cost;
pub use server::{Engine, EngineCounts, EngineFaults, EngineOptions};
pub use text::{generated_text, prompt_hash, token};
