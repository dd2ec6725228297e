//! Loopback proxy in front of a server that disturbs connections.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;

/// Bytes that are passed on at once.
const CHUNK: usize = 4096;
/// Delay of each chunk while the link is slow.
const SLOW: Duration = Duration::from_millis(60);
/// Period in which a stopped direction looks whether it goes on.
const LOOK: Duration = Duration::from_millis(20);

/// How a link treats connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum LinkMode {
    /// Passes bytes on.
    Sound = 0,
    /// Delays each chunk.
    Slow = 1,
    /// Passes nothing on and stays open, both ways.
    Silent = 2,
    /// Passes requests on and holds answers back.
    OneWay = 3,
    /// Closes connections.
    Resets = 4,
}

/// Sets the mode of one link.
#[derive(Clone, Debug, Default)]
pub struct LinkSwitch(Arc<AtomicU8>);

impl LinkSwitch {
    /// Sets how the link treats connections, also open ones.
    pub fn set(&self, mode: LinkMode) {
        self.0.store(mode as u8, Ordering::Relaxed);
    }

    fn is(&self, mode: LinkMode) -> bool {
        self.0.load(Ordering::Relaxed) == mode as u8
    }
}

/// Starts a proxy on a thread of its own.
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
                if shared.is(LinkMode::Resets) {
                    continue;
                }
                let Ok(server) = TcpStream::connect(target).await else { continue };
                let (caller_read, caller_write) = caller.into_split();
                let (server_read, server_write) = server.into_split();
                tokio::spawn(pass(caller_read, server_write, shared.clone(), false));
                tokio::spawn(pass(server_read, caller_write, shared.clone(), true));
            }
        });
    });
    Ok(switch)
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    switch: LinkSwitch,
    is_answer: bool,
) {
    let mut buffer = [0; CHUNK];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            () = wait_for_reset(&switch) => return,
        };
        let Ok(length @ 1..) = read else { return };
        while switch.is(LinkMode::Silent) || (is_answer && switch.is(LinkMode::OneWay)) {
            tokio::time::sleep(LOOK).await;
        }
        if switch.is(LinkMode::Slow) {
            tokio::time::sleep(SLOW).await;
        }
        if switch.is(LinkMode::Resets) || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

async fn wait_for_reset(switch: &LinkSwitch) {
    while !switch.is(LinkMode::Resets) {
        tokio::time::sleep(LOOK).await;
    }
}
