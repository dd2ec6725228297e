//! Loopback TCP proxy in front of a server that injects connection faults.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;

/// Largest number of bytes forwarded at once.
const CHUNK_BYTES: usize = 4096;
/// Delay of each chunk while the link is slow.
const CHUNK_DELAY: Duration = Duration::from_millis(60);
/// Interval at which the mode of the link is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Fault mode of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum LinkMode {
    /// Forwards bytes.
    Healthy = 0,
    /// Delays each chunk.
    Slow = 1,
    /// Forwards nothing in either direction and keeps connections open.
    Silent = 2,
    /// Forwards requests and holds answers back.
    OneWay = 3,
    /// Closes open connections and every new one.
    Reset = 4,
}

/// Control of one link's fault mode.
#[derive(Clone, Debug, Default)]
pub struct LinkSwitch(Arc<AtomicU8>);

impl LinkSwitch {
    /// Sets the mode; it applies to open connections too.
    pub fn set(&self, mode: LinkMode) {
        self.0.store(mode as u8, Ordering::Relaxed);
    }

    fn is(&self, mode: LinkMode) -> bool {
        self.0.load(Ordering::Relaxed) == mode as u8
    }
}

/// Starts a proxy on its own thread.
pub(super) fn start(
    listener: TcpListener,
    target: SocketAddr,
    mut stopped: watch::Receiver<bool>,
) -> anyhow::Result<LinkSwitch> {
    let switch = LinkSwitch::default();
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let shared = switch.clone();
    std::thread::spawn(move || {
        runtime.block_on(async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = stopped.wait_for(|stopped| *stopped) => return,
                };
                let Ok((caller, _)) = accepted else { return };
                if shared.is(LinkMode::Reset) {
                    continue;
                }
                let Ok(server) = TcpStream::connect(target).await else { continue };
                let (caller_read, caller_write) = caller.into_split();
                let (server_read, server_write) = server.into_split();
                tokio::spawn(relay(caller_read, server_write, shared.clone(), false));
                tokio::spawn(relay(server_read, caller_write, shared.clone(), true));
            }
        });
    });
    Ok(switch)
}

async fn relay(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    switch: LinkSwitch,
    is_answer: bool,
) {
    let mut buffer = [0; CHUNK_BYTES];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            () = wait_for_reset(&switch) => return,
        };
        let Ok(length @ 1..) = read else { return };
        while switch.is(LinkMode::Silent) || (is_answer && switch.is(LinkMode::OneWay)) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if switch.is(LinkMode::Slow) {
            tokio::time::sleep(CHUNK_DELAY).await;
        }
        if switch.is(LinkMode::Reset) || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

async fn wait_for_reset(switch: &LinkSwitch) {
    while !switch.is(LinkMode::Reset) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
