//! Tests of the options of connections, by which the kernel breaks those whose other side is silent.

use std::time::Duration;

use mothvale_lib::connection::{STORE_MAX_SILENCE, UPSTREAM_MAX_SILENCE, set_socket_options};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

/// Silence of a sound upstream: a second or so.
const SOUND_SILENCE: Duration = Duration::from_millis(1500);
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
