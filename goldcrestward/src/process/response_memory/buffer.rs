//! The bytes of a response that is being read.

use std::{
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;

use super::{
    byte_budget::{HolderId, MemoryLimit, Precedence},
    kept_answer::KeptAnswer,
    memory::ResponseMemory,
};

/// Says that a response does not fit in a limit, or has given way to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong {
    /// Bytes that have been received, or that the server has stated.
    pub bytes: usize,
    pub limit: MemoryLimit,
}

/// Why a response could not be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection broke.
    Broken,
    TooLong(TooLong),
}

impl From<TooLong> for ReadError {
    fn from(error: TooLong) -> Self {
        Self::TooLong(error)
    }
}

/// The bytes of a response that is being read. They are freed when it is dropped, or when it gives way to others.
pub struct ResponseBuffer {
    memory: ResponseMemory,
    server: Arc<str>,
    limit: usize,
    precedence: Precedence,
    /// `None` while it is empty.
    holder: Option<HolderId>,
    length: usize,
}

impl ResponseBuffer {
    pub(super) fn new(memory: ResponseMemory, server: Arc<str>, limit: usize, precedence: Precedence) -> Self {
        Self { memory, server, limit, precedence, holder: None, length: 0 }
    }

    /// Discards the bytes and goes on with the response of another server.
    pub fn restart(&mut self, server: &Arc<str>) {
        self.clear();
        self.server = server.clone();
    }

    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Number of bytes, also of those that were freed because the response has given way.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Adds received bytes.
    ///
    /// # Errors
    /// Fails if they are too many, or the response has given way to others. The bytes are freed then.
    pub fn append(&mut self, data: &[u8]) -> Result<(), TooLong> {
        if data.is_empty() {
            return Ok(());
        }
        let id = *self.holder.get_or_insert_with(|| self.memory.open(self.server.clone(), self.precedence));
        match self.memory.append(id, data, self.limit) {
            Ok(()) => {
                self.length += data.len();
                Ok(())
            }
            Err(limit) => {
                let bytes = self.length + data.len();
                self.clear();
                Err(TooLong { bytes, limit })
            }
        }
    }

    /// Fails if a response of this many bytes would be too long.
    pub(super) fn check_stated(&self, bytes: u64) -> Result<(), TooLong> {
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        if bytes > self.limit { Err(TooLong { bytes, limit: MemoryLimit::Response }) } else { Ok(()) }
    }

    /// Lets `look` see the bytes.
    pub fn look<T>(&self, look: impl FnOnce(&[u8]) -> T) -> T {
        match self.holder {
            Some(id) => self.memory.look(id, look),
            None => look(&[]),
        }
    }

    /// Returns the bytes and is empty then. They count as kept until the last reference to them is dropped.
    ///
    /// # Errors
    /// Fails if the response has given way to others.
    pub fn take(&mut self) -> Result<Bytes, TooLong> {
        let bytes = std::mem::take(&mut self.length);
        let Some(id) = self.holder.take() else { return Ok(Bytes::new()) };
        self.memory.finish(id).map_err(|limit| {
            self.memory.close(id);
            TooLong { bytes, limit }
        })
    }

    /// Returns the bytes as an answer for a caller, and is empty then.
    ///
    /// # Errors
    /// Fails if the response has given way to others.
    pub(super) fn take_answer(&mut self) -> Result<KeptAnswer, TooLong> {
        let bytes = std::mem::take(&mut self.length);
        let answer = match self.holder.take() {
            Some(id) => self.memory.finish_answer(id).inspect_err(|_| self.memory.close(id)),
            None => self.memory.empty_answer(self.server.clone()),
        };
        answer.map_err(|limit| TooLong { bytes, limit })
    }

    /// Frees the bytes.
    pub fn clear(&mut self) {
        self.length = 0;
        if let Some(id) = self.holder.take() {
            self.memory.close(id);
        }
    }

    /// Becomes ready when the response has given way to others.
    pub fn poll_given_up(&self, context: &mut Context<'_>) -> Poll<TooLong> {
        let Some(id) = self.holder else { return Poll::Pending };
        self.memory.poll_given_up(id, context).map(|limit| TooLong { bytes: self.length, limit })
    }
}

impl Drop for ResponseBuffer {
    fn drop(&mut self) {
        self.clear();
    }
}

impl std::fmt::Debug for ResponseBuffer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("ResponseBuffer").field("server", &self.server).field("length", &self.length).finish()
    }
}
