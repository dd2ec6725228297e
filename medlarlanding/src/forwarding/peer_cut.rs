//! Drill of a network partition: drops the messages from and to the peers that a file lists.

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use indexmap::IndexSet;

/// Peers that this instance is cut off from. Empty unless a file was named for a drill.
#[derive(Debug, Default)]
pub struct PeerCut {
    /// File that lists their addresses, separated by white space; `None` outside of drills.
    file: Option<PathBuf>,
    cut: RefCell<IndexSet<IpAddr>>,
}

impl PeerCut {
    /// Creates the cut. The file need not exist.
    pub fn new(file: Option<PathBuf>) -> Self {
        Self { file, cut: RefCell::default() }
    }

    /// Reads the file again.
    pub fn update(&self) {
        let Some(file) = &self.file else { return };
        // Without the file, this instance is not cut off.
        let text = std::fs::read_to_string(file).unwrap_or_default();
        *self.cut.borrow_mut() =
            text.split_whitespace().filter_map(|word| word.parse().ok()).collect();
    }

    /// Returns whether messages from and to a peer are dropped.
    pub fn drops(&self, peer: &SocketAddr) -> bool {
        self.file.is_some() && self.cut.borrow().contains(&peer.ip())
    }
}
