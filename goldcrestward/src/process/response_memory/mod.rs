//! What the daemon keeps of the responses of others, and the limit on its sum.

mod buffer;
mod byte_budget;
mod caller_share;
mod kept_answer;
mod memory;
mod request_bodies;

pub use buffer::{ReadError, ResponseBuffer, TooLong};
pub use byte_budget::MemoryLimit;
pub use kept_answer::KeptAnswer;
pub use memory::ResponseMemory;
pub(crate) use request_bodies::RequestBodies;

#[cfg(test)]
mod memory_test;
