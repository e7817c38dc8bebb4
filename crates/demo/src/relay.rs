//! A relay before a box's peer address, which can be cut.

use std::io;
use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Passes connections on to a box until it is cut; then closes them and takes no more.
#[derive(Debug)]
pub struct PeerRelay {
    /// Where peers come in.
    pub address: SocketAddr,
    target: watch::Sender<Option<String>>,
    cut: watch::Sender<bool>,
}

impl PeerRelay {
    /// A relay on a free port, which does not know its box yet.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (target, target_out) = watch::channel(None);
        let (cut, cut_out) = watch::channel(false);
        tokio::spawn(accept(listener, target_out, cut_out));
        Ok(Self { address, target, cut })
    }

    /// Tells where the box listens.
    pub fn lead_to(&self, target: &str) {
        self.target.send_replace(Some(target.to_owned()));
    }

    /// Cuts or heals.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn accept(
    listener: TcpListener,
    target: watch::Receiver<Option<String>>,
    cut: watch::Receiver<bool>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let target = target.borrow().clone();
        let Some(target) = target.filter(|_| !*cut.borrow()) else { continue };
        tokio::spawn(pass(stream, target, cut.clone()));
    }
}

async fn pass(mut near: TcpStream, target: String, mut cut: watch::Receiver<bool>) {
    let Ok(mut far) = TcpStream::connect(target).await else { return };
    tokio::select! {
        // Either end closing ends both; that is all there is to know.
        _closed = copy_bidirectional(&mut near, &mut far) => {}
        _cut = cut.wait_for(|cut| *cut) => {}
    }
}
