//! Continuous batching as a state machine that advances one step at a time.

use std::{collections::VecDeque, time::Duration};

use tokio::sync::mpsc;

use super::cost::{CostModel, PREFILL_CHUNK_TOKENS};

/// Output of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputEvent {
    /// The token at this index of the answer was generated.
    Token(usize),
    /// The answer is complete.
    End,
}

/// A request that waits or runs.
#[derive(Debug)]
pub struct Sequence {
    /// Sequences of higher priority are admitted first.
    pub priority: i32,
    /// Tokens still to be prefilled.
    pub prefill_left: usize,
    /// Tokens of context so far: prompt and generated tokens.
    pub context: usize,
    /// Index of the next token of the answer.
    pub next_index: usize,
    /// Tokens of the complete answer.
    pub answer_tokens: usize,
    /// Receives the output. Closing the channel cancels the sequence.
    pub output: mpsc::UnboundedSender<OutputEvent>,
}

/// The waiting and running sequences of one engine.
#[derive(Debug)]
pub struct Batch {
    cost: CostModel,
    max_running: usize,
    queue: VecDeque<Sequence>,
    running: Vec<Sequence>,
}

impl Batch {
    /// Creates a batch that runs at most `max_running` sequences at once.
    pub fn new(cost: CostModel, max_running: usize) -> Self {
        Self { cost, max_running, queue: VecDeque::new(), running: Vec::new() }
    }

    /// Queues a sequence behind those of the same or a higher priority.
    pub fn enqueue(&mut self, sequence: Sequence) {
        let at = self.queue.iter().position(|s| s.priority < sequence.priority);
        self.queue.insert(at.unwrap_or(self.queue.len()), sequence);
    }

    /// Number of running and of waiting sequences.
    pub fn sequence_counts(&self) -> (usize, usize) {
        (self.running.len(), self.queue.len())
    }

    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Admits waiting sequences and returns the duration of the next step and the tokens to
    /// prefill in it.
    pub fn plan_step(&mut self) -> (Duration, usize) {
        self.queue.retain(|s| !s.output.is_closed());
        self.running.retain(|s| !s.output.is_closed());
        while self.running.len() < self.max_running {
            let Some(sequence) = self.queue.pop_front() else { break };
            self.running.push(sequence);
        }
        let decoding = self.running.iter().filter(|s| s.prefill_left == 0).count();
        let context = self.running.iter().map(|s| s.context).sum();
        let prefill_left: usize = self.running.iter().map(|s| s.prefill_left).sum();
        let prefill = prefill_left.min(PREFILL_CHUNK_TOKENS);
        (self.cost.step_time(decoding, context, prefill), prefill)
    }

    /// Completes the step: prefills `prefill` tokens and generates a token for each sequence
    /// whose prefill is done.
    pub fn finish_step(&mut self, prefill: usize) {
        let mut left = prefill;
        for sequence in &mut self.running {
            if sequence.prefill_left > 0 {
                let chunk = sequence.prefill_left.min(left);
                sequence.prefill_left -= chunk;
                left -= chunk;
                if sequence.prefill_left > 0 {
                    continue;
                }
            }
            sequence.generate_token();
        }
        self.running.retain(|s| s.next_index < s.answer_tokens);
    }
}

impl Sequence {
    fn generate_token(&mut self) {
        if self.next_index < self.answer_tokens {
            self.output.send(OutputEvent::Token(self.next_index)).ok();
            self.next_index += 1;
            self.context += 1;
        }
        if self.next_index >= self.answer_tokens {
            self.output.send(OutputEvent::End).ok();
        }
    }
}
