//! Upstreams whose process is silent for a time while the kernel of its machine still answers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Uri};
use http_body_util::Full;
use tc_upstream::{CallError, ClientSettings, RawCall, UpstreamClient};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Time that a process is silent, longer than what the client allows an unreachable machine.
const SILENCE: Duration = Duration::from_secs(5);
/// Time that a call may take.
const REMAINING: Duration = Duration::from_secs(20);
/// Size of a body that does not fit into the buffers of a connection.
const LARGE: usize = 16 << 20;
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n";

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn accept(listener: TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().await.expect("a connection");
    stream
}

/// Reads a request with a body of this size, which begins with its header.
async fn read_request(stream: &mut TcpStream, body: usize) {
    let mut received = Vec::new();
    let is_whole = |received: &[u8]| {
        let head = received.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        head.is_some_and(|head| received.len() >= head + 4 + body)
    };
    while !is_whole(&received) {
        let read = stream.read_buf(&mut received).await.expect("a request");
        assert!(read > 0, "the client closed the connection");
    }
}

async fn call(address: SocketAddr, body: usize) -> Result<Bytes, CallError> {
    let mut request = Request::new(Full::new(Bytes::from(vec![b'x'; body])));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static("/x");
    let host = address.to_string().parse().expect("a header value");
    request.headers_mut().insert(http::header::HOST, host);
    let client = UpstreamClient::new(ClientSettings::default());
    let call = RawCall {
        upstream: "u".into(),
        address,
        request,
        remaining: REMAINING,
        reuse: false,
        is_wanted: Box::new(|| true),
    };
    let mut response = client.exchange_raw(call).await?;
    response.body.collect().await
}

/// Guards against an answer that is lost because its upstream is silent before it or within it.
#[tokio::test]
async fn a_silent_upstream_is_awaited() {
    let (listener, address) = listen().await;
    let served = tokio::spawn(async move {
        let mut stream = accept(listener).await;
        read_request(&mut stream, 1).await;
        sleep(SILENCE).await;
        stream.write_all(HEAD).await.expect("sent");
        stream.write_all(b"ab").await.expect("sent");
        sleep(SILENCE).await;
        stream.write_all(b"cd").await.expect("sent");
    });
    let answer = call(address, 1).await.expect("an answer");
    assert_eq!(answer, "abcd");
    served.await.expect("served");
}

/// Guards against a request that is cut off because its upstream does not read a large body for a time.
#[tokio::test]
async fn an_upstream_that_does_not_read_for_a_time_is_awaited() {
    let (listener, address) = listen().await;
    let served = tokio::spawn(async move {
        let mut stream = accept(listener).await;
        sleep(SILENCE).await;
        read_request(&mut stream, LARGE).await;
        stream.write_all(HEAD).await.expect("sent");
        stream.write_all(b"abcd").await.expect("sent");
    });
    let answer = call(address, LARGE).await.expect("an answer");
    assert_eq!(answer, "abcd");
    served.await.expect("served");
}
