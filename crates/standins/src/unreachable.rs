//! An address to which no connection can be opened, as in a failure domain that is cut off.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time;

/// Number of connections that the listener holds without accepting them; small, so that few
/// connections fill it.
const BACKLOG: u32 = 1;
/// How long to wait for a connection to open; one that isn't open by then found the backlog full.
const OPEN_TIMEOUT: Duration = Duration::from_millis(100);

/// Neither accepts nor refuses connections: attempts get no reaction.
#[derive(Debug)]
pub struct UnreachableAddress {
    /// The address.
    pub address: SocketAddr,
    _listener: TcpListener,
    _backlog: Vec<TcpStream>,
}

impl UnreachableAddress {
    /// Binds an address and fills its backlog.
    pub async fn bind() -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let mut backlog = Vec::new();
        while let Ok(opened) = time::timeout(OPEN_TIMEOUT, TcpStream::connect(address)).await {
            backlog.push(opened?);
        }
        Ok(Self { address, _listener: listener, _backlog: backlog })
    }
}
