//! A loopback TCP proxy that injects network faults: delays, stalls per direction and resets.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;

/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// How the proxy forwards bytes in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Passage {
    /// Forwards at once.
    #[default]
    Open,
    /// Delays each read by this time.
    Delayed(Duration),
    /// Forwards nothing until the passage changes. No bytes are lost, as on a link that recovers.
    Held,
}

/// Faults that the proxy injects into connections.
///
/// A connection is reset or silenced when a counter becomes larger than it was when the connection
/// was opened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// Passage from the client to the target.
    pub to_target: Passage,
    /// Passage from the target to the client.
    pub from_target: Passage,
    /// Whether new connections are closed at once.
    pub refuse: bool,
    /// Number of resets so far.
    pub resets: u64,
    /// Number of times that all open connections were silenced permanently towards the target.
    pub silences_to_target: u64,
    /// Number of times that all open connections were silenced permanently towards the client.
    pub silences_from_target: u64,
}

/// A proxy in front of one target. Without a target it closes connections at once.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    /// Address that the proxy listens on.
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    faults: watch::Sender<LinkFaults>,
}

impl FaultProxy {
    /// Starts a proxy without a target on a free loopback port. It runs until the runtime ends.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Self {
            address: listener.local_addr()?,
            target: Arc::default(),
            faults: watch::Sender::new(LinkFaults::default()),
        };
        tokio::spawn(proxy.clone().accept(listener));
        Ok(proxy)
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }

    /// Changes the faults, also for open connections.
    pub fn change(&self, change: impl FnOnce(&mut LinkFaults)) {
        self.faults.send_modify(change);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.change(|faults| faults.resets += 1);
    }

    /// Makes all open connections unresponsive permanently, without a reset. New connections work.
    pub fn silence(&self) {
        self.change(|faults| {
            faults.silences_to_target += 1;
            faults.silences_from_target += 1;
        });
    }

    /// Resets all connections and refuses new ones.
    pub fn cut(&self) {
        self.change(|faults| {
            faults.resets += 1;
            faults.refuse = true;
        });
    }

    /// Ends all faults. Connections that were reset or silenced stay so.
    pub fn heal(&self) {
        self.change(|faults| {
            faults.to_target = Passage::Open;
            faults.from_target = Passage::Open;
            faults.refuse = false;
        });
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((client, _)) = listener.accept().await else { continue };
            let target = *self.target.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(target) = target.filter(|_| !self.faults.borrow().refuse) else { continue };
            tokio::spawn(forward(client, target, self.faults.subscribe()));
        }
    }
}

async fn forward(client: TcpStream, target: SocketAddr, faults: watch::Receiver<LinkFaults>) {
    let initial = *faults.borrow();
    let Ok(target) = TcpStream::connect(target).await else { return };
    // Without TCP_NODELAY, small writes are only slower.
    let _ignored = (client.set_nodelay(true), target.set_nodelay(true));
    let (client_in, client_out) = client.into_split();
    let (target_in, target_out) = target.into_split();
    let mut resets = faults.clone();
    let to_target = copy(client_in, target_out, faults.clone(), |faults| {
        (faults.to_target, faults.silences_to_target > initial.silences_to_target)
    });
    let from_target = copy(target_in, client_out, faults, |faults| {
        (faults.from_target, faults.silences_from_target > initial.silences_from_target)
    });
    tokio::select! {
        _ended = futures::future::join(to_target, from_target) => {}
        _reset = resets.wait_for(|faults| faults.resets > initial.resets) => {}
    }
    // Dropping a socket with unread bytes resets the connection.
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<LinkFaults>,
    direction: impl Fn(&LinkFaults) -> (Passage, bool),
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(len) = from.read(&mut buffer).await else { return };
        let (passage, is_silenced) =
            match faults.wait_for(|faults| direction(faults).0 != Passage::Held).await {
                Ok(state) => direction(&state),
                Err(_ended) => return,
            };
        if is_silenced && len == 0 {
            return;
        }
        if is_silenced {
            continue;
        }
        if let Passage::Delayed(time) = passage {
            time::sleep(time).await;
        }
        if len == 0 {
            // Forwards the end of the stream, as a direct connection would.
            let _closed = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
}
