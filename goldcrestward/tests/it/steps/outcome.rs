//! What became of a request, and the table of all.

use std::{fmt::Write, time::Duration};

use super::{
    back_end::{DONE, TOKENS},
    caller::Received,
    cell::{Cell, Kind},
};

/// Time limit of the routes, and what a refusal at its end may take.
const TIME_LIMIT: Duration = Duration::from_millis(12_500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    Whole,
    /// A refusal that says truly that the request has not run.
    NotRun,
    /// A refusal that says that the request may have run.
    MayHaveRun,
    /// The connection was closed before the request was sent.
    Closed,
    /// The answer broke off.
    Cut,
    /// Neither an answer nor a refusal.
    Nothing,
    /// A refusal that says that a request has not run which has.
    FalseRefusal,
    RanTwice,
    TwoAnswers,
    /// An answer that is framed as whole and is not the request's.
    WrongAnswer,
    Late,
}

/// A request and what became of it.
#[derive(Debug)]
pub(super) struct Row {
    pub name: String,
    pub outcome: Outcome,
    pub runs: usize,
    pub received: Received,
    pub allowed: Vec<Outcome>,
}

impl Outcome {
    pub fn of(cell: Cell, name: &str, received: &Received, runs: usize) -> Self {
        let reply = &received.reply;
        if cell.kind == Kind::Confirm && runs > 1 {
            return Self::RanTwice;
        }
        if received.has_more {
            return Self::TwoAnswers;
        }
        // The notice that precedes the close of an idle connection was there before the request was sent.
        if reply.status == 0 || received.is_closed && reply.status == 408 {
            return if received.is_closed { Self::Closed } else { Self::Nothing };
        }
        if !reply.complete {
            return Self::Cut;
        }
        if received.elapsed > TIME_LIMIT {
            return Self::Late;
        }
        if reply.status == 200 {
            return if is_own(cell, name, &reply.body) { Self::Whole } else { Self::WrongAnswer };
        }
        match reply.header("x-run-state") {
            "not-run" if runs > 0 => Self::FalseRefusal,
            "not-run" => Self::NotRun,
            "may-have-run" => Self::MayHaveRun,
            _ => Self::WrongAnswer,
        }
    }
}

fn is_own(cell: Cell, name: &str, body: &str) -> bool {
    match cell.kind {
        Kind::Stream => {
            let indexes = body.split("\"token_index\":").skip(1).map(|rest| rest[..1].parse());
            let is_whole = indexes.eq((0..TOKENS).map(Ok));
            is_whole && body.ends_with(DONE)
        }
        Kind::Model => body == format!("{{\"cell\":\"{name}\"}}"),
        _ => body == format!("the answer to {name}."),
    }
}

impl Row {
    pub fn is_red(&self) -> bool {
        !self.allowed.contains(&self.outcome)
    }

    pub fn describe(&self) -> String {
        let reply = &self.received.reply;
        let refusal = reply.header("x-refusal");
        format!(
            "{}: {:?}, allowed {:?}; status {} {refusal}, runs {}, after {:?}, body {:?}",
            self.name, self.outcome, self.allowed, reply.status, self.runs, self.received.elapsed, reply.body
        )
    }
}

/// The rows as a Markdown table.
pub(super) fn markdown(event: &str, rows: &[Row]) -> String {
    let mut text = format!("### {event}\n\n| cell | outcome | status | runs |\n| --- | --- | --- | --- |\n");
    for row in rows {
        let mark = if row.is_red() { " (red)" } else { "" };
        let (status, refusal) = (row.received.reply.status, row.received.reply.header("x-refusal"));
        writeln!(text, "| {} | {:?}{mark} | {status} {refusal} | {} |", row.name, row.outcome, row.runs)
            .expect("writing to a string");
    }
    text
}
