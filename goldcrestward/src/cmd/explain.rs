//! `goldcrestward explain`: traces one request through the logs of all daemons.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::File,
    io::{self, BufRead, BufReader, Write},
    ops::RangeInclusive,
};

use snafu::ResultExt;

use super::Run;
use crate::{
    args::ExplainArgs,
    error::{ReadSnafu, Result, WriteSnafu},
};

/// Time before a request's first line from which a stop that is still under way is shown, in ms.
const STOP_LEAD_MS: u64 = 600_000;
/// Time after its last line until which the end of a stop that is shown may come, in ms.
const STOP_END_LAG_MS: u64 = 30_000;
/// Time by which lines of other daemons that bear on the request may lie before its first or after its last line, in ms.
const CONTEXT_MARGIN_MS: u64 = 1_000;

/// A parsed log line.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct LogLine {
    /// Unix time in ms.
    time: u64,
    daemon: String,
    event: String,
    fields: BTreeMap<String, String>,
}

impl LogLine {
    /// The peer by way of which the line says that the request goes.
    fn carrier(&self) -> Option<&str> {
        let name = match self.event.as_str() {
            "relay-asked" if self.fields.get("result").is_some_and(|result| result == "opened") => "peer",
            "relayed" => "peer",
            "stream-broken" => "via",
            "carried-begun" | "carried-ended" => return Some(&self.daemon),
            _ => return None,
        };
        self.fields.get(name).map(String::as_str)
    }

    /// The daemon whose stop bears on the request: its own, or a peer that carried it.
    fn stopped_daemon(&self) -> Option<&str> {
        let is_stop = matches!(self.event.as_str(), "stop-refused" | "stop-taken" | "stop-given-up" | "stop-cut");
        if is_stop { Some(&self.daemon) } else { self.carrier() }
    }

    /// Whether a daemon says that a connection which it carried was broken, or cut by its own end.
    fn is_broken_carrying(&self) -> bool {
        let planned = ["server", "peer", "withdrawn"];
        self.event == "carried-ended" && self.fields.get("end").is_some_and(|end| !planned.contains(&end.as_str()))
    }

    /// Whether the line tells the end of a connection that this request's line says it was sent on: to the same server,
    /// from the same daemon by way of the same peer.
    fn ends_way_of(&self, request: &Self) -> bool {
        request.carrier() == Some(&self.daemon)
            && self.fields.get("peer") == Some(&request.daemon)
            && self.fields.get("instance") == request.fields.get("instance")
    }
}

/// The log lines of one request.
#[derive(Debug, Default)]
pub(crate) struct RequestTrace {
    lines: Vec<LogLine>,
    /// Starts and stops of all daemons. Stops of the request's own daemon, if its stop ended the request, and of peers that carried
    /// it are shown.
    stops: Vec<LogLine>,
    /// Broken connections that daemons carried for peers and that were opened for other requests.
    broken_carryings: Vec<LogLine>,
    /// Lines that could not be parsed.
    skipped_lines: u64,
    /// Lines that the daemons report as dropped.
    dropped_lines: u64,
}

impl Run for ExplainArgs {
    fn run(self) -> Result<()> {
        let mut trace = RequestTrace::default();
        if self.logs.is_empty() {
            trace.read(io::stdin().lock(), &self.id).context(ReadSnafu { path: "standard input" })?;
        }
        for path in &self.logs {
            let name = path.display().to_string();
            let file = File::open(path).context(ReadSnafu { path: &name })?;
            trace.read(BufReader::new(file), &self.id).context(ReadSnafu { path: name })?;
        }
        io::stdout().lock().write_all(trace.render(&self.id).as_bytes()).context(WriteSnafu)
    }
}

impl RequestTrace {
    /// Adds the lines about the request `id` from a log.
    pub fn read(&mut self, mut log: impl BufRead, id: &str) -> io::Result<()> {
        let mut bytes = Vec::new();
        while log.read_until(b'\n', &mut bytes)? > 0 {
            let text = String::from_utf8_lossy(&bytes);
            match parse(&text) {
                Some(line) if line.event == "lines-dropped" => {
                    self.dropped_lines += line.fields.get("count").and_then(|count| count.parse().ok()).unwrap_or(0);
                }
                Some(line) if line.fields.get("id").is_some_and(|line_id| line_id == id) => self.lines.push(line),
                Some(line) if matches!(line.event.as_str(), "started" | "stopping" | "carried-cut" | "stopped") => {
                    self.stops.push(line);
                }
                Some(line) if line.is_broken_carrying() => self.broken_carryings.push(line),
                Some(_) => {}
                None if text.trim().is_empty() => {}
                None => self.skipped_lines += 1,
            }
            bytes.clear();
        }
        Ok(())
    }

    /// Adds the lines of other requests' connections and of whole daemons that bear on the request.
    fn add_context(&mut self) {
        let times = self.lines.iter().map(|line| line.time);
        let (Some(first), Some(last)) = (times.clone().min(), times.max()) else { return };
        let span = first.saturating_sub(CONTEXT_MARGIN_MS)..=last + CONTEXT_MARGIN_MS;
        let broken = std::mem::take(&mut self.broken_carryings).into_iter();
        let broken = broken.filter(|line| span.contains(&line.time));
        let broken: Vec<_> = broken.filter(|line| self.lines.iter().any(|own| line.ends_way_of(own))).collect();
        self.lines.extend(broken);

        let stopped = self.lines.iter().filter_map(LogLine::stopped_daemon);
        let stopped: BTreeSet<String> = stopped.map(str::to_owned).collect();
        self.stops.sort_by_key(|line| line.time);
        for daemon in stopped {
            let (own, others) = std::mem::take(&mut self.stops).into_iter().partition(|line| line.daemon == daemon);
            self.stops = others;
            self.lines.extend(stop_during(own, &span));
        }
    }

    /// Describes the events of the request in order of time.
    pub fn render(&mut self, id: &str) -> String {
        self.add_context();
        self.lines.sort_by_key(|line| line.time);
        let mut text = String::new();
        let start = self.lines.first().map_or(0, |line| line.time);
        for line in &self.lines {
            let after = line.time - start;
            text.push_str(&format!("{after:>6} ms  {:<20} {}\n", line.daemon, describe(line, id)));
        }
        if self.lines.is_empty() {
            text.push_str(&format!(
                "no log line mentions request {id}: it reached no daemon whose log was given, or it succeeded and was not sampled\n"
            ));
        }
        if self.dropped_lines > 0 {
            text.push_str(&format!("daemons dropped {} lines that could not be written in time\n", self.dropped_lines));
        }
        if self.skipped_lines > 0 {
            text.push_str(&format!("{} lines could not be read and were skipped\n", self.skipped_lines));
        }
        text
    }
}

/// Returns the lines of a daemon's stop that is under way in a span of time, from the daemon's starts and stops in order.
fn stop_during(lines: Vec<LogLine>, span: &RangeInclusive<u64>) -> Vec<LogLine> {
    let mut stop = Vec::new();
    for line in lines {
        let (is_over, is_late) = (line.time < *span.start(), line.time > *span.end());
        match line.event.as_str() {
            "stopping" if !is_late && line.time + STOP_LEAD_MS >= *span.start() => stop = vec![line],
            "started" | "stopped" if is_over => stop.clear(),
            "started" if !stop.is_empty() => break,
            "stopped" if !stop.is_empty() && line.time <= span.end() + STOP_END_LAG_MS => {
                stop.push(line);
                break;
            }
            "carried-cut" if !is_over && !is_late => stop.push(line),
            _ => {}
        }
    }
    stop
}

/// Parses a line of `key=value` pairs, in which quoted values may contain spaces. Text before `time=` is skipped.
pub(crate) fn parse(text: &str) -> Option<LogLine> {
    let start = text.find("time=")?;
    let mut fields = BTreeMap::new();
    let mut rest = text[start..].trim();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, next) = if let Some(quoted) = after.strip_prefix('"') {
            let end = end_of_quoted(quoted)?;
            (quoted[..end].replace("\\\"", "\""), &quoted[end + 1..])
        } else {
            let end = after.find(' ').unwrap_or(after.len());
            (after[..end].to_owned(), &after[end..])
        };
        fields.insert(key.trim().to_owned(), value);
        rest = next.trim_start();
    }
    let time = fields.remove("time")?.parse().ok()?;
    Some(LogLine { time, daemon: fields.remove("daemon")?, event: fields.remove("event")?, fields })
}

fn end_of_quoted(text: &str) -> Option<usize> {
    let mut escaped = false;
    text.char_indices().find_map(|(at, c)| {
        let end = c == '"' && !escaped;
        escaped = c == '\\' && !escaped;
        end.then_some(at)
    })
}

fn describe(line: &LogLine, id: &str) -> String {
    let field = |name: &str| line.fields.get(name).map_or("?", String::as_str);
    match line.event.as_str() {
        "placed" => format!(
            "placed on {} of pool {} after a wait of {} ms; first response expected after {} ms",
            field("instance"),
            field("pool"),
            field("waited_ms"),
            field("first_ms")
        ),
        "attempt-failed" => {
            let then = if field("repeat") == "true" { "retried on another server" } else { "not retried" };
            format!("{} returned no usable response: {}; {then}", field("instance"), cause(field("cause")))
        }
        "refused" => {
            let run = if field("run") == "not-run" { "it has not run" } else { "it may have run" };
            format!("refused, {run}: {} ({}){}", field("message"), field("reason"), versions(line))
        }
        "stream-broken" => {
            let then = if field("resume") == "true" { "resumed on another server" } else { "the answer is cut off" };
            let way = match line.fields.get("via").filter(|via| *via != "-") {
                Some(peer) => format!(" by way of {peer}"),
                None => String::new(),
            };
            format!(
                "the stream from {}{way} ended early after event {}: {}; {then}",
                field("instance"),
                field("last"),
                cause(field("cause"))
            )
        }
        "stream-given-up" => {
            format!("no server could resume the stream after event {}: {}", field("last"), field("cause"))
        }
        "run-moved" => format!("migrated from {}, which is leaving, to {}", field("from"), field("to")),
        "move-refused" => format!("{} had no room for the run of {}, which is leaving", field("to"), field("from")),
        "run-stays" => format!("resumed at {}, which is leaving: {}", field("instance"), field("error")),
        "move-failed" => format!("could not be migrated from a leaving server: {}", field("error")),
        "moved-run-failed" => {
            format!("{} did not resume the migrated request: {}", field("instance"), cause(field("cause")))
        }
        "crash-seen" => format!(
            "{} no longer accepts connections, so it has crashed; of {} requests of this daemon {} had no output; blame on this request: {}",
            field("instance"),
            field("running"),
            field("without_output"),
            field("blame")
        ),
        "parts-accused" => format!(
            "accused of the crash of {}: {}{} of {} prompt parts ({})",
            field("instance"),
            if field("request") == "true" { "the request as a whole and " } else { "" },
            field("parts").split(',').filter(|part| !part.is_empty()).count(),
            field("of"),
            field("parts")
        ),
        "connect-failed" => {
            let why = if field("why") == "refused" { "the connection was refused" } else { "nothing answered" };
            format!("{} could not be reached, directly or by way of a peer: {why}", field("instance"))
        }
        "relay-asked" => {
            let (peer, instance) = (field("peer"), field("instance"));
            format!("{peer} was asked to open a connection to {instance}: {}", relay_result(field("result")))
        }
        "relay-not-found" => format!(
            "no peer could open a connection to {}: {} asked, {} not asked as they could not help lately",
            field("instance"),
            field("asked"),
            field("left_out")
        ),
        "relayed" => {
            let peer = line.fields.get("peer").map_or("a peer", String::as_str);
            format!("sent to {} by way of {peer}", field("instance"))
        }
        "successor-asked" => {
            let (instance, to) = (field("instance"), field("to"));
            format!("{instance} had been silent for {} ms; {to} was asked too", field("silent_ms"))
        }
        "silent-server-resumed" => {
            let (instance, to) = (field("instance"), field("to"));
            format!("{instance} went on after {} ms, before {to} had begun to answer", field("silent_ms"))
        }
        "server-given-up" => {
            let (instance, to) = (field("instance"), field("to"));
            format!("{instance} had been silent for {} ms; the request goes on at {to}", field("silent_ms"))
        }
        "held-answer-passed" => format!(
            "got the error of {} with status {}, as no repeat was answered: {}",
            field("instance"),
            field("status"),
            cause(field("why"))
        ),
        "held-answer-lost" => format!(
            "the error of {} with status {} was given up for want of memory, and no repeat was answered: {}",
            field("instance"),
            field("status"),
            cause(field("why"))
        ),
        "server-held" => {
            format!("{} turned it away and wants nothing for {} ms", field("instance"), field("left_ms"))
        }
        "refused-unheard" => {
            format!("{} turned it away after {} ms, when the caller had gone", field("instance"), field("took_ms"))
        }
        "response-too-long" => format!(
            "{} of {} was too long to be kept, with {} bytes: {}",
            kind_of_response(field("kind")),
            field("instance"),
            field("bytes"),
            memory_limit(field("limit"))
        ),
        "body-silent" => {
            let (instance, bytes) = (field("instance"), field("bytes"));
            format!("{instance} fell silent after {bytes} bytes of the answer, which was broken off")
        }
        "answer-unread" => {
            let (bytes, sent) = (field("bytes"), field("sent"));
            format!("the caller had read about {sent} of {bytes} bytes when the answer was given up for want of memory")
        }
        "response-dropped" => {
            let owner = if field("owner") == "other" { "bears another request's id" } else { "bears no id" };
            format!("a response of {} with status {} was dropped, as it {owner}", field("instance"), field("status"))
        }
        "stop-refused" if field("phase") == "arrival" => {
            "refused by the stop of its daemon, which took no more requests when it came".to_owned()
        }
        "stop-refused" if field("by") == "unbounded" => format!(
            "refused by the stop of its daemon {}: nothing bounds how long it takes, and the daemon ends in {} ms",
            phase(field("phase")),
            field("left_ms")
        ),
        "stop-refused" => format!(
            "refused by the stop of its daemon {}: it needs {} ms, and the daemon ends in {} ms",
            phase(field("phase")),
            field("needed_ms"),
            field("left_ms")
        ),
        "stop-taken" => format!(
            "sent to a server {} ms after the stop of its daemon had begun, {} ms before the daemon's end: it was expected to need {} ms, {}",
            field("since_ms"),
            field("left_ms"),
            field("needed_ms"),
            basis(field("by"), field("runs"))
        ),
        "stop-given-up" => {
            let run = if field("run") == "not-run" { "it has not run" } else { "it may have run" };
            format!("given up at the end of its daemon, {} ms before its own deadline; {run}", field("left_ms"))
        }
        "caller-closed" => format!(
            "its connection was closed {}, after {} ms without a request; limit {} ms now, {} ms at the last answer; {} bytes of the request were read and {} or more were not",
            close_reason(field("reason")),
            field("idle_ms"),
            field("limit_ms"),
            field("answer_limit_ms"),
            field("buffered"),
            field("unread")
        ),
        "unanswered" => format!(
            "{}, {} ms after its head was read: {} ({})",
            if field("status") == "-" {
                "got no answer".to_owned()
            } else {
                format!(
                    "got no whole answer (status {}, {} bytes of the body were sent)",
                    field("status"),
                    field("sent")
                )
            },
            field("ms"),
            unanswered_cause(field("cause")),
            field("why")
        ),
        "stop-cut" => format!("the answer was cut off by the end of its daemon, after {} bytes", field("bytes")),
        "carried-begun" => {
            format!("carries a connection to {} for {}{}", field("instance"), field("peer"), owner(line, id))
        }
        "carried-ended" => format!(
            "the connection to {} that it carried for {}{} {} after {} ms, {} bytes to the server and {} to the peer",
            field("instance"),
            field("peer"),
            owner(line, id),
            carried_end(field("end")),
            field("ms"),
            field("to_server"),
            field("to_peer")
        ),
        "stopping" => describe_stopping(line),
        "stopped" => describe_stopped(line),
        "carried-cut" => format!("ended while it carried {} connections for peers", field("count")),
        "answered" => format!("answered with status {} after {} ms", field("status"), field("ms")),
        event => {
            let fields: Vec<String> = line.fields.iter().map(|(key, value)| format!("{key}={value}")).collect();
            format!("{event} {}", fields.join(" "))
        }
    }
}

/// The versions of the configuration between which a request was refused; empty if there was one only.
fn versions(line: &LogLine) -> String {
    match (line.fields.get("admitted"), line.fields.get("config")) {
        (Some(admitted), Some(config)) if admitted != "-" && admitted != config => {
            format!("; admitted by version {admitted} of the configuration, refused under version {config}")
        }
        _ => String::new(),
    }
}

fn close_reason(reason: &str) -> &str {
    match reason {
        "idle" => "as it was idle",
        "stop" => "by the stop of this daemon",
        "head-timeout" => "as its head did not end in time",
        "framing" => "as it could not be read",
        "last-answer" => "after an answer that was to be the last",
        reason => reason,
    }
}

fn unanswered_cause(label: &str) -> &str {
    match label {
        "caller-closed" => "its caller closed the connection before",
        "caller-gone" => "its caller had closed the connection before the answer was written",
        "reset" => "the connection was reset",
        "connection" => "the connection failed",
        "caller-slow" => "its caller took too long over reading the answer",
        "deadline" => "its time was over",
        "daemon-end" => "its daemon ended",
        "server" => "the server sent only part of the answer",
        "unread" => "it was on its way when the connection was closed, and was not read",
        label => label,
    }
}

fn describe_stopping(line: &LogLine) -> String {
    let mut text = "is being stopped".to_owned();
    match line.fields.get("ends_in_ms").map(|ms| ms.parse::<u64>()) {
        Some(Ok(ms)) if ms < u64::MAX => text.push_str(&format!("; it ends in {ms} ms at the latest")),
        Some(_) => text.push_str("; its end has no time limit"),
        None => {}
    }
    if let Some(carried) = line.fields.get("carried") {
        text.push_str(&format!("; it carries {carried} connections for peers"));
    }
    text
}

fn describe_stopped(line: &LogLine) -> String {
    let is_whole = line.fields.get("whole").is_some_and(|whole| whole == "true");
    let mut text =
        if is_whole { "has stopped, with nothing left" } else { "has stopped, before all had ended" }.to_owned();
    let count = |name: &str| line.fields.get(name);
    if let (Some(refused), Some(given_up), Some(cut)) = (count("refused"), count("given_up"), count("cut")) {
        text.push_str(&format!("; its stop refused {refused} requests, gave up {given_up} and cut {cut}"));
    }
    text
}

/// The request for which a carried connection was opened, if it is not `id`.
fn owner(line: &LogLine, id: &str) -> String {
    match line.fields.get("id").map(String::as_str) {
        Some("-") => " (opened for a request that the peer did not name)".into(),
        Some(opened_for) if opened_for != id => format!(" (opened for request {opened_for})"),
        _ => String::new(),
    }
}

fn carried_end(label: &str) -> &str {
    match label {
        "server" => "was closed by the server",
        "peer" => "was closed by the peer",
        "server-error" => "broke between this daemon and the server",
        "peer-error" => "broke between this daemon and the peer",
        "head-too-long" => "was closed, as the server sent heads without an answer",
        "stop" => "was cut by the end of this daemon",
        "withdrawn" => "was closed while idle, as the server is leaving,",
        other => other,
    }
}

fn basis(label: &str, runs: &str) -> String {
    match label {
        "longest" => format!("the longest of {runs} recent runs and a reserve"),
        "usual" => format!("as nine in ten of {runs} recent runs"),
        "deadline" => "its deadline".to_owned(),
        "assumed" => "as no run is known".to_owned(),
        other => other.to_owned(),
    }
}

fn phase(label: &str) -> &str {
    match label {
        "body" => "while its body was read",
        "place" => "before a server was chosen",
        "send" => "before it was sent to a server",
        "claim" => "before its idempotency key was claimed",
        other => other,
    }
}

fn kind_of_response(label: &str) -> &str {
    match label {
        "body" => "the body of the response",
        "error-body" => "the body of an error response",
        "event" => "an event of the stream",
        other => other,
    }
}

fn memory_limit(label: &str) -> &str {
    match label {
        "response" => "more than a response may have",
        "server" => "the responses of its server had used up their share of the memory, and it was among the longest",
        "daemon" => "the responses of all servers had used up the memory, and it was among the longest",
        other => other,
    }
}

/// How far an answer had come, from the number of its last event.
fn relay_result(label: &str) -> &str {
    match label {
        "opened" => "it did",
        "unreached" => "the connection was refused to the peer as well",
        "cut-off" => "the peer does not reach the server either",
        "busy" => "the peer carries as many connections as it may",
        "stopping" => "the peer is being stopped, and ends before the request does",
        "unknown" => "the peer knows no such server that takes requests",
        "no-answer" => "no answer in time",
        other => other,
    }
}

fn cause(label: &str) -> &str {
    match label {
        "unreached" => "no connection could be opened, so nothing was sent",
        "withdrawn" => "it wanted no more requests by the time of sending, so nothing was sent",
        "not-run" => "it was full or leaving and has not run the request",
        "own-failure" => "the application returned an error",
        "silent" => "it timed out without sending data",
        "cut" => "the connection broke",
        "too-long" => "it was too long to be kept",
        "no-memory" => "the responses of all servers left no memory for it",
        "head-too-long" => "it sent heads without an answer, so the connection was closed",
        "crossed" => "the response belongs to another request",
        "over-budget" => "the retry budget was used up before it was sent",
        "unsealed" => "the response does not carry the server's seal",
        "disorder" => "an event was missing or could not be parsed",
        "empty" => "the stream ended without an event",
        other => other,
    }
}

#[cfg(test)]
#[path = "explain_test.rs"]
mod explain_test;
