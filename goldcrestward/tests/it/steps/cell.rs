//! Steps at which a request can wait, and the kinds of requests.

use std::fmt;

/// Point at which a request waits when the event comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Step {
    /// Half of the head has been read.
    Head,
    /// Half of the body has been read.
    Body,
    /// The owner of the key is paused.
    Claim,
    /// The server does not take the connection yet.
    Connecting,
    /// The server has the request.
    Sent,
    /// The server has sent the head of its answer.
    Headed,
    /// The server has sent half of the body of its answer.
    Amid,
    /// The server has sent all but the last bytes.
    Last,
    /// Two servers have the request.
    Hedged,
    /// The second server has the rest of a stream that the first has cut off.
    Resuming,
    /// The owner of the key is paused before it records the outcome.
    Recording,
    /// The server has the second request of a kept connection.
    Kept,
    /// The connection has had an answer, and the next request is sent after the event.
    Idle,
}

/// Kind of a request and of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Kind {
    /// Repeatable call, answered with a length.
    Order,
    /// Repeatable call, answered in chunks.
    Chunked,
    /// Repeatable call whose answer ends with the connection.
    Open,
    /// Call that runs at most once.
    Confirm,
    Lookup,
    Stream,
    /// Request to a model that is answered in one piece.
    Model,
}

/// A request of a kind that waits at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Cell {
    pub step: Step,
    pub kind: Kind,
}

const ALL: &[Kind] = &[Kind::Order, Kind::Confirm, Kind::Lookup, Kind::Stream, Kind::Model];
const ANSWERS: &[Kind] =
    &[Kind::Order, Kind::Chunked, Kind::Open, Kind::Confirm, Kind::Lookup, Kind::Stream, Kind::Model];
const WITH_BODY: &[Kind] = &[Kind::Order, Kind::Confirm, Kind::Stream, Kind::Model];

/// The kinds that can wait at each step. A step that lacks a kind can't occur with it.
pub(super) const STEPS: &[(Step, &[Kind])] = &[
    (Step::Head, ALL),
    (Step::Body, WITH_BODY),
    (Step::Claim, &[Kind::Confirm]),
    (Step::Connecting, ALL),
    (Step::Sent, ALL),
    (Step::Headed, ANSWERS),
    (Step::Amid, ANSWERS),
    (Step::Last, ANSWERS),
    (Step::Hedged, &[Kind::Lookup]),
    (Step::Resuming, &[Kind::Stream]),
    (Step::Recording, &[Kind::Confirm]),
    (Step::Kept, ALL),
    (Step::Idle, ALL),
];

pub(super) fn cells() -> Vec<Cell> {
    let of_step = |(step, kinds): &(Step, &'static [Kind])| {
        let step = *step;
        kinds.iter().map(move |kind| Cell { step, kind: *kind })
    };
    STEPS.iter().flat_map(of_step).collect()
}

impl Kind {
    /// Whether the answer is passed on as it comes and can't go on at another server.
    pub fn is_passed_on(self) -> bool {
        matches!(self, Self::Order | Self::Chunked | Self::Open | Self::Lookup)
    }
}

impl Cell {
    /// Whether the request is sent to a server after the event only.
    pub fn is_unsent(self) -> bool {
        matches!(self.step, Step::Head | Step::Body | Step::Claim | Step::Connecting | Step::Idle)
    }

    /// Whether the server has sent a part of the answer.
    pub fn is_answering(self) -> bool {
        matches!(self.step, Step::Headed | Step::Amid | Step::Last)
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = format!("{:?}/{:?}", self.step, self.kind);
        f.write_str(&name.to_lowercase())
    }
}
