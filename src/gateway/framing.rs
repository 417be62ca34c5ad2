//! Determines where an HTTP/1.1 response ends and decodes its body.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;

use crate::limit::ByteLimit;

/// How the end of a body is indicated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(u64),
    Chunked,
    /// The body ends when the server closes the connection cleanly.
    UntilClose,
}

/// The framing of a response violates the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidFraming;

impl Framing {
    /// The framing of a response.
    ///
    /// # Errors
    /// If the headers contradict each other: a recipient that relied on the wrong one would take
    /// part of the body for the next response.
    pub fn of(status: StatusCode, headers: &HeaderMap) -> Result<Self, InvalidFraming> {
        if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
            return Ok(Self::Length(0));
        }
        let lengths: Vec<_> = headers.get_all("content-length").iter().collect();
        if let Some(coding) = headers.get("transfer-encoding") {
            let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            return if chunked && lengths.is_empty() {
                Ok(Self::Chunked)
            } else {
                Err(InvalidFraming)
            };
        }
        match lengths.as_slice() {
            [] => Ok(Self::UntilClose),
            [length] => {
                let text = length.to_str().map_err(|_| InvalidFraming)?;
                let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
                let length = text.parse().ok().filter(|_| digits);
                length.map(Self::Length).ok_or(InvalidFraming)
            }
            _ => Err(InvalidFraming),
        }
    }
}

/// Extracts the content of a body from the bytes of a connection.
#[derive(Debug)]
pub struct BodyDecoder {
    framing: Framing,
    chunk: ChunkState,
    complete: bool,
    /// Counts every byte of the body, also those between its contents.
    limit: ByteLimit,
    trailer_limit: ByteLimit,
}

/// Position of the decoder within a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    Size,
    Data(u64),
    /// The line break after the data of a chunk.
    DataEnd,
    /// Trailer fields after the last chunk, up to an empty line.
    Trailer,
}

/// Maximum length of a chunk size line or a trailer field.
const LINE_MAX_BYTES: usize = 1_024;
/// Maximum length of all trailer fields together.
const TRAILER_MAX_BYTES: u64 = 16 << 10;

impl BodyDecoder {
    /// Creates a decoder for one body of at most `max_bytes`.
    #[must_use]
    pub const fn new(framing: Framing, max_bytes: u64) -> Self {
        let complete = matches!(framing, Framing::Length(0));
        let (limit, trailer_limit) = (ByteLimit::new(max_bytes), ByteLimit::new(TRAILER_MAX_BYTES));
        Self { framing, chunk: ChunkState::Size, complete, limit, trailer_limit }
    }

    /// Whether the body is complete.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.complete
    }

    /// Handles a clean close of the connection and returns whether the body is complete.
    pub const fn finish_at_close(&mut self) -> bool {
        if matches!(self.framing, Framing::UntilClose) {
            self.complete = true;
        }
        self.complete
    }

    /// The next content in `input`; `None` if more bytes are needed or the body is complete.
    ///
    /// # Errors
    /// If the chunked framing is invalid, or the body is too large. A stated length that is too large
    /// is an error at once.
    pub fn decode(&mut self, input: &mut BytesMut) -> Result<Option<Bytes>, InvalidFraming> {
        if !self.limit.allows(self.stated_bytes()) {
            return Err(InvalidFraming);
        }
        if self.complete || input.is_empty() {
            return Ok(None);
        }
        let before_bytes = input.len();
        let content = self.decode_content(input)?;
        self.limit.count(before_bytes - input.len()).map_err(|_| InvalidFraming)?;
        Ok(content)
    }

    /// The bytes that the framing states to follow.
    const fn stated_bytes(&self) -> u64 {
        match (self.framing, self.chunk) {
            (Framing::Length(left), _) | (Framing::Chunked, ChunkState::Data(left)) => left,
            _ => 0,
        }
    }

    fn decode_content(&mut self, input: &mut BytesMut) -> Result<Option<Bytes>, InvalidFraming> {
        match &mut self.framing {
            Framing::Length(left) => {
                let bytes = take(input, left);
                self.complete = *left == 0;
                Ok(Some(bytes))
            }
            Framing::UntilClose => Ok(Some(input.split().freeze())),
            Framing::Chunked => self.decode_chunked(input),
        }
    }

    fn decode_chunked(&mut self, input: &mut BytesMut) -> Result<Option<Bytes>, InvalidFraming> {
        loop {
            match self.chunk {
                ChunkState::Size => match httparse::parse_chunk_size(input) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        input.advance(used);
                        self.chunk =
                            if size == 0 { ChunkState::Trailer } else { ChunkState::Data(size) };
                    }
                    Ok(httparse::Status::Partial) if input.len() <= LINE_MAX_BYTES => {
                        return Ok(None);
                    }
                    _ => return Err(InvalidFraming),
                },
                ChunkState::Data(mut left) => {
                    if input.is_empty() {
                        return Ok(None);
                    }
                    if !self.limit.allows(left) {
                        return Err(InvalidFraming);
                    }
                    let bytes = take(input, &mut left);
                    self.chunk =
                        if left == 0 { ChunkState::DataEnd } else { ChunkState::Data(left) };
                    return Ok(Some(bytes));
                }
                ChunkState::DataEnd => match take_line(input)? {
                    Some(0) => self.chunk = ChunkState::Size,
                    Some(_) => return Err(InvalidFraming),
                    None => return Ok(None),
                },
                ChunkState::Trailer => match take_line(input)? {
                    Some(0) => {
                        self.complete = true;
                        return Ok(None);
                    }
                    Some(length) => {
                        self.trailer_limit.count(length + 2).map_err(|_| InvalidFraming)?;
                    }
                    None => return Ok(None),
                },
            }
        }
    }
}

fn take(input: &mut BytesMut, left: &mut u64) -> Bytes {
    let most = usize::try_from(*left).unwrap_or(usize::MAX).min(input.len());
    *left -= most as u64;
    input.split_to(most).freeze()
}

/// Consumes one line and returns its length without the line break; `None` if the line is
/// incomplete.
fn take_line(input: &mut BytesMut) -> Result<Option<usize>, InvalidFraming> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        return if input.len() > LINE_MAX_BYTES { Err(InvalidFraming) } else { Ok(None) };
    };
    if end == 0 || input[end - 1] != b'\r' {
        return Err(InvalidFraming);
    }
    input.advance(end + 1);
    Ok(Some(end - 1))
}
