//! A loopback proxy that harms connections: delays them, holds one way or both, resets them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;

/// Bytes that are passed on at a time.
const PIECE: usize = 16 << 10;

/// How bytes pass in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Passage {
    /// At once.
    #[default]
    Open,
    /// Each piece after this long.
    Delayed(Duration),
    /// Not at all until it opens again; nothing is lost meanwhile, as on a link that comes back.
    Held,
}

/// What the proxy does to connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// From whoever connects to the target.
    pub there: Passage,
    /// From the target back.
    pub back: Passage,
    /// New connections are closed at once.
    pub refuse: bool,
    /// Connections that began under a lower number are reset.
    pub resets: u64,
    /// Connections that began under a lower number pass nothing more to the target, for good.
    pub silences_there: u64,
    /// Connections that began under a lower number pass nothing more back, for good.
    pub silences_back: u64,
}

/// A proxy in front of one target; without a target it closes connections.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    /// Where it listens.
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    faults: watch::Sender<LinkFaults>,
}

impl FaultProxy {
    /// Starts a proxy on a free port of loopback, without a target; it serves until the runtime ends.
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

    /// Passes new connections to another target.
    pub fn aim(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }

    /// Changes what is done to connections, also to those that are open.
    pub fn change(&self, change: impl FnOnce(&mut LinkFaults)) {
        self.faults.send_modify(change);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.change(|faults| faults.resets += 1);
    }

    /// Lets all open connections fall silent for good, without a reset; new ones work.
    pub fn silence(&self) {
        self.change(|faults| {
            faults.silences_there += 1;
            faults.silences_back += 1;
        });
    }

    /// Cuts the target off: resets connections and takes no new ones.
    pub fn cut(&self) {
        self.change(|faults| {
            faults.resets += 1;
            faults.refuse = true;
        });
    }

    /// Does no harm any more. Connections that were reset or fell silent stay so.
    pub fn heal(&self) {
        self.change(|faults| {
            faults.there = Passage::Open;
            faults.back = Passage::Open;
            faults.refuse = false;
        });
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((caller, _)) = listener.accept().await else { continue };
            let target = *self.target.lock().unwrap_or_else(PoisonError::into_inner);
            let Some(target) = target.filter(|_| !self.faults.borrow().refuse) else { continue };
            tokio::spawn(pass(caller, target, self.faults.subscribe()));
        }
    }
}

async fn pass(caller: TcpStream, target: SocketAddr, faults: watch::Receiver<LinkFaults>) {
    let born = *faults.borrow();
    let Ok(target) = TcpStream::connect(target).await else { return };
    // Only the pace of small pieces depends on these.
    let _slower = (caller.set_nodelay(true), target.set_nodelay(true));
    let (caller_in, caller_out) = caller.into_split();
    let (target_in, target_out) = target.into_split();
    let mut resets = faults.clone();
    let there = copy(caller_in, target_out, faults.clone(), |faults| {
        (faults.there, faults.silences_there > born.silences_there)
    });
    let back = copy(target_in, caller_out, faults, |faults| {
        (faults.back, faults.silences_back > born.silences_back)
    });
    tokio::select! {
        _ended = futures::future::join(there, back) => {}
        _reset = resets.wait_for(|faults| faults.resets > born.resets) => {}
    }
    // What is dropped with bytes that nobody has read is reset.
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<LinkFaults>,
    way: impl Fn(&LinkFaults) -> (Passage, bool),
) {
    let mut piece = vec![0; PIECE];
    loop {
        let Ok(len) = from.read(&mut piece).await else { return };
        let (passage, silent) = match faults.wait_for(|faults| way(faults).0 != Passage::Held).await
        {
            Ok(state) => way(&state),
            Err(_ended) => return,
        };
        if silent && len == 0 {
            return;
        }
        if silent {
            continue;
        }
        if let Passage::Delayed(time) = passage {
            time::sleep(time).await;
        }
        if len == 0 {
            // The other side hears of the end as it would without a proxy.
            let _closed = to.shutdown().await;
            return;
        }
        if to.write_all(&piece[..len]).await.is_err() {
            return;
        }
    }
}
