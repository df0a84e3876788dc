//! Bound on the head of a response and the interim heads before it.

use std::{error::Error, fmt};

/// Largest head of a response in bytes, the interim heads before it included.
pub(crate) const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;
/// Most heads of a response, the final one included.
pub(crate) const MAX_RESPONSE_HEADS: usize = 32;

/// Position of a status code in the first line of a head.
const STATUS_START: usize = "HTTP/1.1 ".len();
/// Length of the first line of a head up to the end of the status code.
const STATUS_END: usize = STATUS_START + 3;

/// What a server has sent without the end of a final head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadTooLong {
    pub bytes: usize,
    /// Heads that have ended, all of them interim.
    pub heads: usize,
}

impl fmt::Display for HeadTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no final response head in {} bytes and {} interim heads", self.bytes, self.heads)
    }
}

impl Error for HeadTooLong {}

/// Follows the bytes of a response until its final head has ended.
#[derive(Debug, Default)]
pub(super) struct ResponseHead {
    bytes: usize,
    heads: usize,
    is_complete: bool,
    /// Beginning of the first line of the current head.
    status_line: [u8; STATUS_END],
    status_length: usize,
    /// Whether the first line of the current head has ended.
    is_in_fields: bool,
    /// Bytes of the current line, without its end.
    line_length: usize,
}

impl ResponseHead {
    /// Awaits the next response.
    pub fn restart(&mut self) {
        *self = Self::default();
    }

    /// What has come so far.
    pub fn progress(&self) -> HeadTooLong {
        HeadTooLong { bytes: self.bytes, heads: self.heads }
    }

    /// Reads the next bytes. Those after the final head are ignored.
    ///
    /// # Errors
    /// Fails if a bound is exceeded.
    pub fn read(&mut self, bytes: &[u8]) -> Result<(), HeadTooLong> {
        for byte in bytes {
            if self.is_complete {
                return Ok(());
            }
            self.bytes += 1;
            self.read_byte(*byte);
            if self.bytes > MAX_RESPONSE_HEAD_BYTES || (!self.is_complete && self.heads >= MAX_RESPONSE_HEADS) {
                return Err(self.progress());
            }
        }
        Ok(())
    }

    fn read_byte(&mut self, byte: u8) {
        match byte {
            // A line may also end without it.
            b'\r' => {}
            b'\n' if self.line_length > 0 => {
                self.is_in_fields = true;
                self.line_length = 0;
            }
            b'\n' if self.is_in_fields => self.end_head(),
            // Empty lines before a head are skipped.
            b'\n' => {}
            _ => {
                self.line_length += 1;
                if !self.is_in_fields && self.status_length < STATUS_END {
                    self.status_line[self.status_length] = byte;
                    self.status_length += 1;
                }
            }
        }
    }

    fn end_head(&mut self) {
        let status = &self.status_line[STATUS_START.min(self.status_length)..self.status_length];
        let is_interim = status.len() == STATUS_END - STATUS_START && status[0] == b'1' && status != b"101";
        if is_interim {
            self.heads += 1;
        }
        self.is_complete = !is_interim;
        self.is_in_fields = false;
        self.status_length = 0;
    }
}

#[cfg(test)]
#[path = "response_head_test.rs"]
mod response_head_test;
