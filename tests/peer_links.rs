//! Opening connections to peers whose machines do not answer yet.

use std::time::Duration;

use sorrelwick::member::MemberRequest;
use sorrelwick::peer::Links;
use sorrelwick::peer::PeerClient;
use sorrelwick::peer::PeerRequest;
use standins::routed::member_row;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// More connections than a listener with a backlog of 1 holds.
const FILLERS: usize = 8;

/// A listener that does not answer the first packet of new connections, as a machine that boots,
/// until the connections in its backlog are accepted; and these connections.
async fn silent_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let listener = socket.listen(1).expect("listens");
    let address = listener.local_addr().expect("an address");
    let mut fillers = Vec::new();
    for _ in 0..FILLERS {
        match timeout(Duration::from_millis(50), TcpStream::connect(address)).await {
            Ok(opened) => fillers.push(opened.expect("in the backlog")),
            Err(_) => return (listener, fillers),
        }
    }
    panic!("the backlog holds {FILLERS} connections");
}

/// Guards against joining late after a loss of power: a seed that booted after the others was
/// found only half a second later, as the first attempt to reach it was waited for.
#[tokio::test]
async fn peer_that_comes_up_is_reached_within_a_fraction_of_a_second() {
    let (listener, fillers) = silent_listener().await;
    let address = listener.local_addr().expect("an address");
    let links = Links::new("");
    let join = tokio::spawn(async move {
        let request = PeerRequest::Member(MemberRequest::Join(member_row(1)));
        links.call(address, &request, Duration::from_millis(900)).await
    });
    tokio::time::sleep(Duration::from_millis(150)).await;
    for _ in &fillers {
        listener.accept().await.expect("from the backlog");
    }
    let accepted = timeout(Duration::from_millis(300), listener.accept()).await;
    assert!(accepted.is_ok(), "no new attempt in time");
    join.abort();
}
