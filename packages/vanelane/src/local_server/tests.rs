use super::*;
use actix_http::{Response, StatusCode, body::BoxBody};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A server whose responses are larger than the buffers of a connection, its open connections and its closing
/// signal.
async fn start_server() -> (std::net::SocketAddr, OpenConnections, watch::Sender<bool>) {
    start_server_with_responses(RESPONSE_BYTES).await
}

async fn start_server_with_responses(
    response_bytes: usize,
) -> (std::net::SocketAddr, OpenConnections, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let open_connections = OpenConnections::default();
    let (closing, is_closing) = watch::channel(false);
    let server = LocalServer {
        listener: Rc::new(listener),
        request_handler: Rc::new(move |_| {
            Box::pin(
                async move { Response::with_body(StatusCode::OK, BoxBody::new(vec![b'x'; response_bytes])) },
            )
        }),
        timeouts: Rc::new(|| ClientTimeouts {
            idle: Duration::from_secs(15),
            header_wait: Duration::from_secs(3),
            linger: Duration::from_millis(200),
        }),
        connection_limit: 10,
        open_connections: open_connections.clone(),
        closing: is_closing,
    };
    actix_rt::spawn(serve(server));
    (address, open_connections, closing)
}

#[actix_rt::test]
async fn connection_counts_as_open_until_its_response_is_sent() {
    let (address, open_connections, closing) = start_server().await;
    let mut slow = TcpStream::connect(address).await.expect("a connection");
    let _idle = TcpStream::connect(address).await.expect("a connection");
    slow.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("a request");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let _ = closing.send(true);
    // The response was produced long ago, but the client has not read it.
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(
        open_connections.get(),
        1,
        "the idle connection closes, the one with the unread response stays open"
    );
    let mut read_bytes = 0;
    let mut buffer = vec![0; 64 * 1024];
    while read_bytes < RESPONSE_BYTES {
        let count = slow.read(&mut buffer).await.expect("no reset");
        assert!(count > 0, "cut after {read_bytes} bytes");
        read_bytes += count;
    }
    drop(slow);
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(open_connections.get(), 0);
}

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const ONE_BYTE_RESPONSE_ENDS_WITH: &[u8] = b"\r\n\r\nx";

/// Reads one response with a body of one byte, or what arrives before the connection ends.
async fn one_response(client: &mut TcpStream) -> Vec<u8> {
    let mut response = Vec::new();
    let mut byte = [0];
    while !response.ends_with(ONE_BYTE_RESPONSE_ENDS_WITH) {
        match client.read(&mut byte).await {
            Ok(count) if count > 0 => response.push(byte[0]),
            _ => break,
        }
    }
    response
}

/// Guards against a lost request: on a busy machine a whole request may still be in the socket buffer when
/// idle connections are closed.
#[actix_rt::test]
async fn request_received_while_idle_connections_close_is_answered() {
    let (address, open_connections, closing) = start_server_with_responses(1).await;
    let mut kept = TcpStream::connect(address).await.expect("a connection");
    kept.write_all(REQUEST).await.expect("a request");
    assert!(one_response(&mut kept).await.starts_with(b"HTTP/1.1 200"));
    let mut unused = TcpStream::connect(address).await.expect("a connection");
    let mut idle = TcpStream::connect(address).await.expect("a connection");
    tokio::time::sleep(Duration::from_millis(50)).await;
    // The server runs on this thread, so it reads nothing between these writes.
    for client in [&kept, &unused] {
        assert_eq!(client.try_write(REQUEST).expect("a request"), REQUEST.len());
    }
    let closed_at = std::time::Instant::now();
    let _ = closing.send(true);
    for client in [&mut kept, &mut unused] {
        let response = one_response(client).await;
        assert!(response.starts_with(b"HTTP/1.1 200"), "{:?}", String::from_utf8_lossy(&response));
        assert_eq!(client.read(&mut [0]).await.expect("an orderly close"), 0);
    }
    assert_eq!(idle.read(&mut [0]).await.expect("an orderly close"), 0);
    assert!(closed_at.elapsed() < Duration::from_secs(1), "{:?}", closed_at.elapsed());
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(open_connections.get(), 0);
}

#[actix_rt::test]
async fn connection_in_the_backlog_is_answered_when_the_listener_closes() {
    let (address, _, closing) = start_server_with_responses(1).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    // A blocking connect: the server runs on this thread and cannot accept it meanwhile.
    let waiting = std::net::TcpStream::connect(address).expect("a connection");
    waiting.set_nonblocking(true).expect("not blocking");
    let mut waiting = TcpStream::from_std(waiting).expect("a connection");
    waiting.write_all(REQUEST).await.expect("a request");
    let _ = closing.send(true);
    let response = one_response(&mut waiting).await;
    assert!(response.starts_with(b"HTTP/1.1 200"), "{:?}", String::from_utf8_lossy(&response));
}
