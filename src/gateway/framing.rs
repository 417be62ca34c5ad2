//! How the end of an HTTP/1.1 answer is told.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;

/// What ends a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(u64),
    Chunked,
    /// The server closes the connection in order.
    Close,
}

/// Bytes that are not what the protocol allows there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadFraming;

impl Framing {
    /// The framing of an answer.
    ///
    /// # Errors
    /// When its header fields contradict each other: whoever believes the other field would take
    /// part of the body for the next answer.
    pub fn of(status: StatusCode, headers: &HeaderMap) -> Result<Self, BadFraming> {
        if status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
            return Ok(Self::Length(0));
        }
        let lengths: Vec<_> = headers.get_all("content-length").iter().collect();
        if let Some(coding) = headers.get("transfer-encoding") {
            let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            return if chunked && lengths.is_empty() { Ok(Self::Chunked) } else { Err(BadFraming) };
        }
        match lengths.as_slice() {
            [] => Ok(Self::Close),
            [length] => {
                let text = length.to_str().map_err(|_| BadFraming)?;
                let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
                let length = text.parse().ok().filter(|_| digits);
                length.map(Self::Length).ok_or(BadFraming)
            }
            _ => Err(BadFraming),
        }
    }
}

/// Takes the content out of what a connection delivers.
#[derive(Debug)]
pub struct BodyDecoder {
    framing: Framing,
    chunk: Chunk,
    done: bool,
}

/// Where in a chunked body the decoder is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Chunk {
    Size,
    Data(u64),
    /// The line end behind a chunk.
    End,
    /// Fields behind the last chunk, up to an empty line.
    Trailer,
}

/// Longest line of a chunk's size or a trailer field.
const LINE_MAX_BYTES: usize = 1_024;

impl BodyDecoder {
    /// A decoder of one body.
    #[must_use]
    pub const fn new(framing: Framing) -> Self {
        let done = matches!(framing, Framing::Length(0));
        Self { framing, chunk: Chunk::Size, done }
    }

    /// Whether the body is whole.
    #[must_use]
    pub const fn done(&self) -> bool {
        self.done
    }

    /// Takes note that the connection was closed in order; tells whether the body is whole.
    pub const fn closed(&mut self) -> bool {
        if matches!(self.framing, Framing::Close) {
            self.done = true;
        }
        self.done
    }

    /// The next content in `input`; `None` when more bytes are needed or the body is whole.
    ///
    /// # Errors
    /// When a chunk is not framed as the protocol says.
    pub fn decode(&mut self, input: &mut BytesMut) -> Result<Option<Bytes>, BadFraming> {
        if self.done || input.is_empty() {
            return Ok(None);
        }
        match &mut self.framing {
            Framing::Length(left) => {
                let bytes = take(input, left);
                self.done = *left == 0;
                Ok(Some(bytes))
            }
            Framing::Close => Ok(Some(input.split().freeze())),
            Framing::Chunked => self.decode_chunked(input),
        }
    }

    fn decode_chunked(&mut self, input: &mut BytesMut) -> Result<Option<Bytes>, BadFraming> {
        loop {
            match self.chunk {
                Chunk::Size => match httparse::parse_chunk_size(input) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        input.advance(used);
                        self.chunk = if size == 0 { Chunk::Trailer } else { Chunk::Data(size) };
                    }
                    Ok(httparse::Status::Partial) if input.len() <= LINE_MAX_BYTES => {
                        return Ok(None);
                    }
                    _ => return Err(BadFraming),
                },
                Chunk::Data(mut left) => {
                    if input.is_empty() {
                        return Ok(None);
                    }
                    let bytes = take(input, &mut left);
                    self.chunk = if left == 0 { Chunk::End } else { Chunk::Data(left) };
                    return Ok(Some(bytes));
                }
                Chunk::End => match line(input)? {
                    Some(0) => self.chunk = Chunk::Size,
                    Some(_) => return Err(BadFraming),
                    None => return Ok(None),
                },
                Chunk::Trailer => match line(input)? {
                    Some(0) => {
                        self.done = true;
                        return Ok(None);
                    }
                    Some(_) => {}
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

/// Takes one line and tells its length without the line end; `None` when it is not whole yet.
fn line(input: &mut BytesMut) -> Result<Option<usize>, BadFraming> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        return if input.len() > LINE_MAX_BYTES { Err(BadFraming) } else { Ok(None) };
    };
    if end == 0 || input[end - 1] != b'\r' {
        return Err(BadFraming);
    }
    input.advance(end + 1);
    Ok(Some(end - 1))
}
