//! A whole response on its way to a caller.

use bytes::Bytes;

use super::{
    buffer::TooLong,
    byte_budget::{HolderId, MemoryLimit},
    memory::ResponseMemory,
};

/// A whole response that is kept until its caller has read it, or it gives way because the caller does not read.
pub struct KeptAnswer {
    memory: ResponseMemory,
    id: HolderId,
    length: usize,
}

impl KeptAnswer {
    pub(super) fn new(memory: ResponseMemory, id: HolderId, length: usize) -> Self {
        Self { memory, id, length }
    }

    /// Number of bytes, also if they have given way.
    pub fn len(&self) -> usize {
        self.length
    }

    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The bytes, for a look: what holds on to them keeps them from being freed when the answer gives way.
    ///
    /// # Errors
    /// Fails if the answer has given way.
    pub fn bytes(&self) -> Result<Bytes, TooLong> {
        self.memory.answer_bytes(self.id).ok_or_else(|| self.given_up())
    }

    /// Copies the piece of up to `limit` bytes that begins at `start`, which the caller takes.
    ///
    /// # Errors
    /// Fails if the answer has given way.
    pub fn take_piece(&self, start: usize, limit: usize) -> Result<Bytes, TooLong> {
        let bytes = self.memory.take_answer_bytes(self.id).ok_or_else(|| self.given_up())?;
        let end = start.saturating_add(limit).min(bytes.len());
        Ok(Bytes::copy_from_slice(bytes.get(start..end).unwrap_or_default()))
    }

    fn given_up(&self) -> TooLong {
        TooLong { bytes: self.length, limit: MemoryLimit::Daemon }
    }
}

impl Drop for KeptAnswer {
    fn drop(&mut self) {
        self.memory.close_answer(self.id);
    }
}

impl std::fmt::Debug for KeptAnswer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("KeptAnswer").field("length", &self.length).finish_non_exhaustive()
    }
}
