//! Options of TCP connections.

use std::time::Duration;

use socket2::SockRef;
use teaselworks::net;

/// Guards against a connection that is closed although its peer works: one that falls silent for a
/// second, or one whose answer to a keepalive probe is lost, while a request waits there.
///
/// When a probe is due, the kernel closes the connection if nothing has arrived for the user
/// timeout and an earlier probe was not answered, however many probes are allowed.
#[tokio::test]
async fn a_connection_outlives_an_unanswered_keepalive_probe() {
    let silence = Duration::from_secs(1);
    let listener = net::listen(([127, 0, 0, 1], 0).into()).unwrap();
    let address = listener.local_addr().unwrap();
    let opened = net::connect_within(address, Duration::from_secs(9)).await.unwrap();
    let accepted = net::accept(&listener).await;
    for stream in [&opened, &accepted] {
        let socket = SockRef::from(stream);
        let first_probe = socket.tcp_keepalive_time().unwrap();
        let interval = socket.tcp_keepalive_interval().unwrap();
        let user_timeout = socket.tcp_user_timeout().unwrap().unwrap();
        assert!(first_probe + interval < user_timeout, "the second probe comes too late");
        assert!(interval >= silence, "two probes fall into one silence");
        assert!(user_timeout >= 2 * silence, "sent data is given up within one silence");
    }
}
