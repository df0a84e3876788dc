//! Finds the heads of HTTP/1.1 messages in the bytes of one direction of a connection.

use http::{HeaderMap, HeaderName, HeaderValue, header};

/// Longest head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Most fields of a head.
const MAX_FIELDS: usize = 128;
/// Longest line with the length of a chunk, in bytes: the HTTP library's limit on extensions, and the length.
const MAX_CHUNK_LINE_BYTES: usize = 16 * 1024 + 32;
/// Ends of a head. The HTTP library takes lines that end with LF alone.
const HEAD_ENDS: &[&[u8]] = &[b"\n\r\n", b"\n\n"];
const LINE_END: &[&[u8]] = &[b"\r\n"];

/// How the end of a message's body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyEnd {
    Length(u64),
    Chunks,
    /// The body ends with the connection.
    Connection,
    /// There is none, and the message itself is still to come.
    Interim,
}

impl BodyEnd {
    /// By the fields of a head; `None` if they say nothing.
    pub fn from_fields(fields: &HeaderMap) -> Option<Self> {
        if fields.contains_key(header::TRANSFER_ENCODING) {
            return Some(Self::Chunks);
        }
        let length = fields.get(header::CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()?;
        Some(Self::Length(length))
    }
}

/// Decodes heads.
pub(super) trait HeadParser {
    /// Reads a whole head, and returns how its body ends; `None` if the head cannot be read.
    fn read_head(&mut self, head: &[u8]) -> Option<BodyEnd>;
    /// A message has ended.
    fn end_message(&mut self);
}

/// What the next bytes are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Part {
    #[default]
    Head,
    Body(u64),
    ChunkLine,
    Chunk(u64),
    Trailer,
    /// They belong to a body that ends with the connection, or cannot be told apart.
    Rest,
}

/// Splits the bytes of one direction into messages.
#[derive(Debug, Default)]
pub(super) struct Messages {
    part: Part,
    /// Bytes of a head or line that is not complete.
    pending: Vec<u8>,
    is_head_too_long: bool,
}

impl Messages {
    /// Whether the last byte was the end of a message, or none has come.
    pub fn is_between(&self) -> bool {
        self.part == Part::Head && self.pending.is_empty()
    }

    /// Whether what follows cannot be told apart, or belongs to a body that ends with the connection.
    pub fn is_rest(&self) -> bool {
        self.part == Part::Rest
    }

    /// Bytes of a head that is not complete.
    pub fn head_bytes(&self) -> usize {
        if self.part == Part::Head { self.pending.len() } else { 0 }
    }

    /// Whether a head was longer than the limit, so that what follows cannot be told apart.
    pub fn is_head_too_long(&self) -> bool {
        self.is_head_too_long
    }

    /// Reads the next bytes.
    pub fn read(&mut self, mut bytes: &[u8], parser: &mut impl HeadParser) {
        while !bytes.is_empty() {
            bytes = match self.part {
                Part::Rest => return,
                Part::Head => self.read_line(bytes, MAX_HEAD_BYTES, HEAD_ENDS, |head| match parser.read_head(head) {
                    Some(BodyEnd::Length(0)) => {
                        parser.end_message();
                        Part::Head
                    }
                    Some(BodyEnd::Length(length)) => Part::Body(length),
                    Some(BodyEnd::Chunks) => Part::ChunkLine,
                    Some(BodyEnd::Interim) => Part::Head,
                    Some(BodyEnd::Connection) | None => Part::Rest,
                }),
                Part::ChunkLine => {
                    self.read_line(bytes, MAX_CHUNK_LINE_BYTES, LINE_END, |line| match chunk_length(line) {
                        Some(0) => Part::Trailer,
                        // The end of the line after the chunk belongs to it.
                        Some(length) => Part::Chunk(length.saturating_add(2)),
                        None => Part::Rest,
                    })
                }
                Part::Trailer => self.read_line(bytes, MAX_HEAD_BYTES, LINE_END, |line| {
                    if line != b"\r\n" {
                        return Part::Trailer;
                    }
                    parser.end_message();
                    Part::Head
                }),
                Part::Body(left) => {
                    let (rest, left) = skip(bytes, left);
                    self.part = if left > 0 { Part::Body(left) } else { Part::Head };
                    if left == 0 {
                        parser.end_message();
                    }
                    rest
                }
                Part::Chunk(left) => {
                    let (rest, left) = skip(bytes, left);
                    self.part = if left > 0 { Part::Chunk(left) } else { Part::ChunkLine };
                    rest
                }
            };
        }
    }

    /// Reads up to the first of `ends`, and takes what follows from the text up to there. Returns the bytes that are left.
    fn read_line<'a>(
        &mut self,
        bytes: &'a [u8],
        limit: usize,
        ends: &[&[u8]],
        next: impl FnOnce(&[u8]) -> Part,
    ) -> &'a [u8] {
        let known = self.pending.len();
        self.pending.extend_from_slice(bytes);
        // The end may have begun in the bytes before.
        let longest = ends.iter().map(|end| end.len()).max().unwrap_or(1);
        let from = known.saturating_sub(longest - 1);
        let find = |end: &&[u8]| {
            let position = self.pending[from..].windows(end.len()).position(|window| window == *end)?;
            Some(from + position + end.len())
        };
        match ends.iter().filter_map(find).min() {
            Some(length) if length <= limit => {
                self.part = next(&self.pending[..length]);
                self.pending.clear();
                &bytes[length - known..]
            }
            None if self.pending.len() < limit => &[],
            _ => {
                self.is_head_too_long |= self.part == Part::Head;
                (self.part, self.pending) = (Part::Rest, Vec::new());
                &[]
            }
        }
    }
}

fn skip(bytes: &[u8], count: u64) -> (&[u8], u64) {
    let taken = bytes.len().min(usize::try_from(count).unwrap_or(usize::MAX));
    (&bytes[taken..], count - taken as u64)
}

fn chunk_length(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line).ok()?;
    let digits = text.split(';').next()?.trim();
    u64::from_str_radix(digits, 16).ok()
}

/// Space for the fields of a head.
pub(super) type Fields<'a> = [httparse::Header<'a>; MAX_FIELDS];

pub(super) fn empty_fields<'a>() -> Fields<'a> {
    [httparse::EMPTY_HEADER; MAX_FIELDS]
}

/// The fields that have valid names and values.
pub(super) fn header_map(fields: &[httparse::Header<'_>]) -> HeaderMap {
    let field = |field: &httparse::Header<'_>| {
        Some((HeaderName::from_bytes(field.name.as_bytes()).ok()?, HeaderValue::from_bytes(field.value).ok()?))
    };
    let mut map = HeaderMap::new();
    for (name, value) in fields.iter().filter_map(field) {
        map.append(name, value);
    }
    map
}

#[cfg(test)]
#[path = "http_messages_test.rs"]
mod http_messages_test;
