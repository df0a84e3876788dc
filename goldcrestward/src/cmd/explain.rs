//! `goldcrestward explain`: traces one request through the logs of all daemons.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs::File,
    io::{self, BufRead, BufReader, Write},
};

use snafu::ResultExt;

use super::Run;
use crate::{
    args::ExplainArgs,
    error::{ReadSnafu, Result, WriteSnafu},
};

/// Time before a request's first line from which stops of its carriers are shown, in ms.
const STOP_LEAD_MS: u64 = 30_000;
/// Time after its last line until which they are shown, in ms.
const STOP_LAG_MS: u64 = 1_000;

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
            _ => return None,
        };
        self.fields.get(name).map(String::as_str)
    }
}

/// The log lines of one request.
#[derive(Debug, Default)]
pub(crate) struct RequestTrace {
    lines: Vec<LogLine>,
    /// Stops of all daemons. Those of peers that carried the request are shown with it.
    stops: Vec<LogLine>,
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
                Some(line) if matches!(line.event.as_str(), "stopping" | "carried-cut") => self.stops.push(line),
                Some(_) => {}
                None if text.trim().is_empty() => {}
                None => self.skipped_lines += 1,
            }
            bytes.clear();
        }
        Ok(())
    }

    /// Adds the stops of peers that carried the request, from shortly before it to its end.
    fn add_stops_of_carriers(&mut self) {
        let times = self.lines.iter().map(|line| line.time);
        let (Some(first), Some(last)) = (times.clone().min(), times.max()) else { return };
        let carriers: BTreeSet<String> = self.lines.iter().filter_map(LogLine::carrier).map(str::to_owned).collect();
        let span = first.saturating_sub(STOP_LEAD_MS)..=last + STOP_LAG_MS;
        let stops = std::mem::take(&mut self.stops);
        self.lines
            .extend(stops.into_iter().filter(|line| carriers.contains(&line.daemon) && span.contains(&line.time)));
    }

    /// Describes the events of the request in order of time.
    pub fn render(&mut self, id: &str) -> String {
        self.add_stops_of_carriers();
        self.lines.sort_by_key(|line| line.time);
        let mut text = String::new();
        let start = self.lines.first().map_or(0, |line| line.time);
        for line in &self.lines {
            let after = line.time - start;
            text.push_str(&format!("{after:>6} ms  {:<20} {}\n", line.daemon, describe(line)));
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

fn describe(line: &LogLine) -> String {
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
            format!("refused, {run}: {} ({})", field("message"), field("reason"))
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
            "accused of the crash of {}: {} of {} prompt parts ({})",
            field("instance"),
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
        "relayed" => {
            let peer = line.fields.get("peer").map_or("a peer", String::as_str);
            format!("sent to {} by way of {peer}", field("instance"))
        }
        "server-given-up" => {
            let (instance, to) = (field("instance"), field("to"));
            format!("{instance} had been silent for {} ms; the request goes on at {to}", field("silent_ms"))
        }
        "server-held" => {
            format!("{} turned it away and wants nothing for {} ms", field("instance"), field("left_ms"))
        }
        "response-dropped" => {
            let owner = if field("owner") == "other" { "bears another request's id" } else { "bears no id" };
            format!("a response of {} with status {} was dropped, as it {owner}", field("instance"), field("status"))
        }
        "stopping" => format!("is being stopped; it carries {} connections for peers", field("carried")),
        "carried-cut" => format!("ended while it carried {} connections for peers", field("count")),
        "answered" => format!("answered with status {} after {} ms", field("status"), field("ms")),
        event => {
            let fields: Vec<String> = line.fields.iter().map(|(key, value)| format!("{key}={value}")).collect();
            format!("{event} {}", fields.join(" "))
        }
    }
}

fn relay_result(label: &str) -> &str {
    match label {
        "opened" => "it did",
        "unreached" => "the server is down for the peer as well",
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
        "crossed" => "the response belongs to another request",
        "unsealed" => "the response does not carry the server's seal",
        "disorder" => "an event was missing or could not be parsed",
        "empty" => "the stream ended without an event",
        other => other,
    }
}

#[cfg(test)]
#[path = "explain_test.rs"]
mod explain_test;
