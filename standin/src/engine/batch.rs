//! Continuous batching as a plain state machine: sequences in, pieces out, one step at a time.

use std::{collections::VecDeque, time::Duration};

use tokio::sync::mpsc;

use super::cost::{Cost, PREFILL_CHUNK_TOKENS};

/// A piece of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Piece {
    /// The token at this index.
    Token(usize),
    /// The answer is whole.
    End,
}

/// A request being worked on.
#[derive(Debug)]
pub struct Sequence {
    /// Higher runs first.
    pub priority: i32,
    /// Tokens of prompt that must be prefilled still.
    pub prefill: usize,
    /// Tokens of context so far.
    pub context: usize,
    /// Index of the next token.
    pub next: usize,
    /// Tokens that the whole answer has.
    pub last: usize,
    /// Where pieces go. A closed channel cancels the sequence.
    pub pieces: mpsc::UnboundedSender<Piece>,
}

/// The sequences of one engine.
#[derive(Debug)]
pub struct Batch {
    cost: Cost,
    limit: usize,
    queue: VecDeque<Sequence>,
    running: Vec<Sequence>,
}

impl Batch {
    /// A batch of at most `limit` running sequences.
    pub fn new(cost: Cost, limit: usize) -> Self {
        Self { cost, limit, queue: VecDeque::new(), running: Vec::new() }
    }

    /// Puts a sequence into the queue behind those of at least its priority.
    pub fn push(&mut self, sequence: Sequence) {
        let at = self.queue.iter().position(|s| s.priority < sequence.priority);
        self.queue.insert(at.unwrap_or(self.queue.len()), sequence);
    }

    /// Sequences running and waiting.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.queue.len())
    }

    /// True when there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Admits what fits and gives the time of the step to come, with the tokens prefilled in it.
    pub fn plan(&mut self) -> (Duration, usize) {
        self.queue.retain(|s| !s.pieces.is_closed());
        self.running.retain(|s| !s.pieces.is_closed());
        while self.running.len() < self.limit {
            let Some(sequence) = self.queue.pop_front() else { break };
            self.running.push(sequence);
        }
        let decoding = self.running.iter().filter(|s| s.prefill == 0).count();
        let context = self.running.iter().map(|s| s.context).sum();
        let waiting: usize = self.running.iter().map(|s| s.prefill).sum();
        let prefill = waiting.min(PREFILL_CHUNK_TOKENS);
        (self.cost.step(decoding, context, prefill), prefill)
    }

    /// Ends the step: prefills `prefill` tokens and gives each decoding sequence its token.
    pub fn step(&mut self, prefill: usize) {
        let mut left = prefill;
        for sequence in &mut self.running {
            if sequence.prefill > 0 {
                let part = sequence.prefill.min(left);
                sequence.prefill -= part;
                left -= part;
                if sequence.prefill > 0 {
                    continue;
                }
            }
            sequence.decode();
        }
        self.running.retain(|s| s.next < s.last);
    }
}

impl Sequence {
    fn decode(&mut self) {
        if self.next < self.last {
            self.pieces.send(Piece::Token(self.next)).ok();
            self.next += 1;
            self.context += 1;
        }
        if self.next >= self.last {
            self.pieces.send(Piece::End).ok();
        }
    }
}
