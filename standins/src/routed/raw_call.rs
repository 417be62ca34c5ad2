//! A minimal HTTP/1.1 client that sends one request per connection.

use std::net::IpAddr;
use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Response as received until the connection was closed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawResponse {
    /// 0 if there was no response.
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl RawResponse {
    /// The value of a header, by case-insensitive name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1).filter_map(|line| line.split_once(": "));
        lines.into_iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

/// Sends a request with these headers and this body, and reads until the connection is closed.
pub async fn raw_call(
    to: SocketAddr,
    line: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> RawResponse {
    exchange(TcpStream::connect(to).await, line, fields, body).await
}

/// Like [`raw_call`], from the given loopback source address, to act as another caller.
pub async fn raw_call_from(
    from: IpAddr,
    to: SocketAddr,
    line: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> RawResponse {
    exchange(connect_from(from, to).await, line, fields, body).await
}

async fn connect_from(from: IpAddr, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(from, 0))?;
    socket.connect(to).await
}

async fn exchange(
    connected: std::io::Result<TcpStream>,
    line: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> RawResponse {
    let Ok(mut stream) = connected else {
        return RawResponse::default();
    };
    let mut head = format!("{line} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in fields {
        head = head + name + ": " + value + "\r\n";
    }
    if !body.is_empty() {
        head = head + "content-length: " + &body.len().to_string() + "\r\n";
    }
    head.push_str("\r\n");
    let mut sent = head.into_bytes();
    sent.extend_from_slice(body);
    // The gateway may respond and close before it has read the whole request; the response is still
    // read, so a write error is ignored.
    let _ = stream.write_all(&sent).await;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    split(&bytes)
}

fn split(bytes: &[u8]) -> RawResponse {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return RawResponse::default();
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    RawResponse { status, head, body: bytes[end + 4..].to_vec() }
}
