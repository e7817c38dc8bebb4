//! Probing of an address for a listening process.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use upstream::{PortState, TargetPool};

#[tokio::test]
async fn probe_reports_whether_the_port_listens() {
    let pool = TargetPool::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("bound");
    assert_eq!(pool.probe(address).await, PortState::Listens);
    drop(listener);
    assert_eq!(pool.probe(address).await, PortState::Refuses);
}
