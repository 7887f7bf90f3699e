use super::*;
use actix_http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// A server whose answers are larger than what a connection holds, and its open connections.
async fn started() -> (std::net::SocketAddr, Rc<Cell<usize>>, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let open_connections = Rc::new(Cell::new(0));
    let (closing, is_closing) = watch::channel(false);
    let server = LocalServer {
        listener: Rc::new(listener),
        answering: Rc::new(|_| {
            Box::pin(async { Response::with_body(StatusCode::OK, BoxBody::new(vec![b'x'; ANSWER_BYTES])) })
        }),
        patience: Rc::new(|| ClientPatience {
            idle: Duration::from_secs(15),
            header_wait: Duration::from_secs(3),
            linger: Duration::from_millis(200),
        }),
        connections_limit: 10,
        open_connections: open_connections.clone(),
        closing: is_closing,
    };
    actix_rt::spawn(serve(server));
    (address, open_connections, closing)
}

#[actix_rt::test]
async fn a_connection_counts_as_open_until_its_answer_has_left() {
    let (address, open_connections, closing) = started().await;
    let mut slow = TcpStream::connect(address).await.expect("a connection");
    let _idle = TcpStream::connect(address).await.expect("a connection");
    slow.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("a request");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let _ = closing.send(true);
    // The answer was made long ago; its client has not read it.
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(open_connections.get(), 1, "the idle one closes, the unread answer keeps its connection");
    let mut read_bytes = 0;
    let mut buffer = vec![0; 64 * 1024];
    while read_bytes < ANSWER_BYTES {
        let count = slow.read(&mut buffer).await.expect("no reset");
        assert!(count > 0, "cut after {read_bytes} bytes");
        read_bytes += count;
    }
    drop(slow);
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(open_connections.get(), 0);
}
