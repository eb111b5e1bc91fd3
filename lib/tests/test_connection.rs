//! Tests of the options of connections, by which the kernel breaks those whose other side is silent, and of
//! how connections end.

use std::{io::ErrorKind, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use mothvale_lib::connection::{
    Connection, STORE_MAX_SILENCE, UPSTREAM_MAX_SILENCE, build_request, set_socket_options,
};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Silence of a sound upstream: a second or so.
const SOUND_SILENCE: Duration = Duration::from_millis(1500);
/// Longest wait for a response.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// First interval between retransmissions; each further one is twice as long.
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);

/// Guards against connections that broke while a sound upstream was silent: their user timeout was 1.2 s,
/// which also ends keepalive probes, whatever their count.
#[tokio::test]
async fn connection_outlives_the_silence_of_a_sound_upstream() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    set_socket_options(&stream, UPSTREAM_MAX_SILENCE);
    let socket = SockRef::from(&stream);
    // Bytes that were sent right at the beginning arrive with the first retransmission after the silence.
    let (mut arrival, mut interval) = (Duration::ZERO, FIRST_RETRANSMISSION);
    while arrival < SOUND_SILENCE {
        arrival += interval;
        interval *= 2;
    }
    let user_timeout = socket.tcp_user_timeout().unwrap().unwrap();
    assert!(user_timeout > arrival, "{user_timeout:?} for bytes that arrive after {arrival:?}");
    let idle = socket.tcp_keepalive_time().unwrap();
    let interval = socket.tcp_keepalive_interval().unwrap();
    let retries = socket.tcp_keepalive_retries().unwrap();
    assert!(idle + interval * retries >= user_timeout, "probes would give up earlier");
    assert!(idle < user_timeout, "an idle connection is probed before the timeout");
}

#[tokio::test]
async fn connection_to_a_store_breaks_earlier() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    set_socket_options(&stream, STORE_MAX_SILENCE);
    let user_timeout = SockRef::from(&stream).tcp_user_timeout().unwrap();
    assert_eq!(user_timeout, Some(STORE_MAX_SILENCE));
}

/// A server for one connection that reads a request and answers it, if it is told to. Returns how its next
/// read ends.
async fn serve_once(listener: TcpListener, answers: bool) -> std::io::Result<usize> {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut buffer = [0; 1024];
    assert!(stream.read(&mut buffer).await.unwrap() > 0);
    if answers {
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await.unwrap();
    }
    stream.read(&mut buffer).await
}

/// Calls a server that answers or does not, drops the connection, and returns how the server's next read
/// ends.
async fn end_of_call(answers: bool) -> std::io::Result<usize> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(serve_once(listener, answers));
    let mut connection = Connection::connect_upstream(address).await.unwrap();
    let path = Uri::from_static("/read/");
    let request = build_request(address, Method::GET, path, HeaderMap::new(), Bytes::new());
    let result = connection.call(request, CALL_TIMEOUT, 16).await;
    assert_eq!(result.is_ok(), answers);
    drop(connection);
    server.await.unwrap()
}

/// Guards against requests that the kernel goes on sending after their call was given up.
#[tokio::test]
async fn connection_of_a_call_that_is_given_up_is_reset() {
    let end = end_of_call(false).await.map_err(|it| it.kind());
    assert_eq!(end, Err(ErrorKind::ConnectionReset));
}

#[tokio::test]
async fn connection_of_a_complete_call_is_closed() {
    let end = end_of_call(true).await.map_err(|it| it.kind());
    assert_eq!(end, Ok(0));
}
