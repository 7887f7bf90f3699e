//! Instances of the fake platform: they run calls over HTTP and misbehave on request.

use crate::{BEHAVE_HEADER, CALL_HEADER, micros_since};
use actix_codec::Framed;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{HttpMessage, Request};
use futures_util::StreamExt;
use gateway::{FUNCTION_HEADER, INSTANCE_HEADER};
use history_checker::{History, Line};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// The behaviour of a function's instances; independent of any configuration.
/// Example: `FakeFunction { boot_millis: 1500, calls_at_once: 4, work_millis: 60, .. }`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "FunctionStandIn")]
pub struct FakeFunction {
    /// Time from the start to the first accepted connection.
    pub boot_millis: u64,
    /// Number of concurrent calls; further ones are refused as busy.
    pub calls_at_once: u32,
    /// Duration of a call.
    pub work_millis: u64,
    /// Shares of calls whose response fails.
    #[serde(default)]
    pub misbehaviour: Misbehaviour,
}

/// Shares (0 to 1) of calls whose response fails after they ran.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Misbehaviour {
    /// The connection ends without a response.
    pub lose: f64,
    /// The response is not HTTP.
    pub garble: f64,
    /// The response ends before its declared length.
    pub cut: f64,
}

/// An instance of a function, served on its own listener.
pub(crate) struct FakeInstance {
    pub id: String,
    pub function: String,
    pub behaviour: FakeFunction,
    pub history: Arc<History>,
    pub began: Instant,
    pub in_flight: Cell<u32>,
}

/// Counts a call as in flight until dropped.
struct InFlight(Rc<FakeInstance>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl FakeInstance {
    /// Serves connections until the task is aborted.
    pub(crate) async fn accept(self: Rc<FakeInstance>, listener: TcpListener) {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let _ = stream.set_nodelay(true);
                    connections.spawn_local(self.clone().serve(stream));
                }
                Some(_) = connections.join_next() => {}
            }
        }
    }

    async fn serve(self: Rc<FakeInstance>, stream: TcpStream) {
        let mut framed = Framed::new(stream, Codec::default());
        let Some(Ok(Message::Item(request))) = framed.next().await else { return };
        let has_body = framed.codec_ref().message_type() != MessageType::None;
        let mut body_length = 0;
        if has_body {
            loop {
                match framed.next().await {
                    Some(Ok(Message::Chunk(Some(chunk)))) => body_length += chunk.len(),
                    Some(Ok(Message::Chunk(None))) => break,
                    _ => return,
                }
            }
        }
        let mut stream = framed.into_parts().io;
        self.respond(&request, body_length, &mut stream).await;
        let _ = stream.shutdown().await;
    }

    async fn respond(self: &Rc<FakeInstance>, request: &Request, body_length: usize, stream: &mut TcpStream) {
        let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        let is_addressed =
            header(FUNCTION_HEADER) == Some(&self.function) && header(INSTANCE_HEADER) == Some(&self.id);
        if !is_addressed {
            let _ = stream.write_all(&response_bytes("421 Misdirected Request", "", "not this cell")).await;
            return;
        }
        let call = header(CALL_HEADER).unwrap_or_default().to_owned();
        let in_flight = self.in_flight.get() + 1;
        let limit = self.behaviour.calls_at_once;
        let is_running = in_flight <= limit;
        self.history.append(Line::InstanceReceivedCall {
            at: micros_since(self.began),
            call: call.clone(),
            function: self.function.clone(),
            instance: self.id.clone(),
            ran: is_running,
            in_flight,
            limit,
        });
        if !is_running {
            let extra_header = "x-vanelane-outcome: not_run\r\n";
            let _ = stream.write_all(&response_bytes("503 Service Unavailable", extra_header, "full")).await;
            return;
        }
        self.in_flight.set(in_flight);
        let _counted = InFlight(self.clone());
        tokio::time::sleep(Duration::from_millis(self.behaviour.work_millis)).await;
        let whole_body = format!(
            "{{\"call\":\"{call}\",\"cell\":\"{}\",\"body_length\":{body_length},\"end\":true}}",
            self.id
        );
        if header(BEHAVE_HEADER) == Some("long") {
            // A valid chunked response, longer than a node buffers before it forwards.
            let padded =
                whole_body.replace("\"end\"", &format!("\"padding\":\"{}\",\"end\"", "x".repeat(600_000)));
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await;
            for part in padded.as_bytes().chunks(50_000) {
                let _ = stream.write_all(format!("{:x}\r\n", part.len()).as_bytes()).await;
                let _ = stream.write_all(part).await;
                let _ = stream.write_all(b"\r\n").await;
            }
            let _ = stream.write_all(b"0\r\n\r\n").await;
            return;
        }
        let whole_response = response_bytes("200 OK", "content-type: application/json\r\n", &whole_body);
        let requested = header(BEHAVE_HEADER);
        let misbehaviour = self.behaviour.misbehaviour;
        let random = fastrand::f64();
        if requested == Some("lose") || random < misbehaviour.lose {
            return;
        }
        if requested == Some("garble") || random < misbehaviour.lose + misbehaviour.garble {
            let _ = stream.write_all(b"\x00\x17 no http \xff\xfe\r\n\r\n").await;
            return;
        }
        if requested == Some("cut") || random < misbehaviour.lose + misbehaviour.garble + misbehaviour.cut {
            let _ = stream.write_all(&whole_response[..whole_response.len() - 5]).await;
            return;
        }
        if requested == Some("cut_chunks") {
            let begun = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
            let _ = stream.write_all(begun).await;
            return;
        }
        if requested == Some("cut_long") {
            let head = b"HTTP/1.1 200 OK\r\ncontent-length: 2000000\r\n\r\n";
            let _ = stream.write_all(head).await;
            let _ = stream.write_all(&vec![b'x'; 1_000_000]).await;
            return;
        }
        if requested == Some("cut_long_chunks") {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await;
            for _ in 0..20 {
                let _ = stream.write_all(b"10000\r\n").await;
                let _ = stream.write_all(&vec![b'x'; 0x10000]).await;
                let _ = stream.write_all(b"\r\n").await;
            }
            return;
        }
        if requested == Some("until_close") {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nwho knows where this ends").await;
            return;
        }
        if requested == Some("stall") {
            let _ = stream.write_all(&whole_response[..20]).await;
            std::future::pending::<()>().await;
        }
        let _ = stream.write_all(&whole_response).await;
    }
}

fn response_bytes(status: &str, extra_headers: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\n{extra_headers}content-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
