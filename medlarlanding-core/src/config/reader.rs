//! Checks the keys of one mapping and reads their values. Every problem adds a fault.

use std::net::SocketAddr;

use super::faults::{FaultList, Position, TreePath};
use super::keys::SectionDescriptor;
use super::limits::{MAX_NAME_BYTES, NumberRange};
use super::yaml::{Entry, Node, NodeValue};

/// The entries of a mapping whose keys were checked against a section.
pub(super) struct Fields<'n, 't> {
    pub position: Position,
    pub path: TreePath,
    entries: &'n [Entry<'t>],
}

/// A name that refers to another node of the tree, with its position in the document.
#[derive(Clone, Copy)]
pub(super) struct NameRef<'n> {
    pub name: &'n str,
    pub position: Position,
}

/// An entry of a mapping from names to nodes.
pub(super) struct NamedNode<'n, 't> {
    pub name: &'n str,
    pub position: Position,
    pub node: &'n Node<'t>,
}

impl<'n, 't> Fields<'n, 't> {
    /// Reads a mapping and adds a fault for each key that the section does not list. Returns
    /// `None` and adds a fault if the node is not a mapping.
    pub fn new(
        node: &'n Node<'t>,
        path: TreePath,
        section: &SectionDescriptor,
        faults: &mut FaultList,
    ) -> Option<Self> {
        let entries = read_mapping(node, &path, faults)?;
        for entry in entries {
            if !section.keys.iter().any(|known| known.key == entry.key) {
                let known: Vec<_> = section.keys.iter().map(|known| known.key).collect();
                let message = format!("unknown key; known keys are {}", known.join(", "));
                faults.push(entry.position, path.with_key(&entry.key), message);
            }
        }
        Some(Self { position: node.position, path, entries })
    }

    /// Gets the value of a key, which may be `null`, or `None` if the key is absent.
    pub fn get(&self, key: &str) -> Option<&'n Node<'t>> {
        self.entries.iter().find(|entry| entry.key == key).map(|entry| &entry.node)
    }

    /// Gets the position of a key, or `None` if the key is absent.
    pub fn key_position(&self, key: &str) -> Option<Position> {
        self.entries.iter().find(|entry| entry.key == key).map(|entry| entry.position)
    }

    /// Gets the value of a required key; an absent key is a fault.
    pub fn require(&self, key: &str, faults: &mut FaultList) -> Option<&'n Node<'t>> {
        let node = self.get(key);
        if node.is_none() {
            faults.push(self.position, &self.path, format!("missing key {key}"));
        }
        node
    }

    /// Reads a number, or returns the default of its range if the key is absent. An absent key
    /// without a default is a fault.
    pub fn number_or_default(&self, range: &NumberRange, faults: &mut FaultList) -> Option<u64> {
        match range.default {
            Some(default) if self.get(range.key).is_none() => Some(default),
            _ => {
                let node = self.require(range.key, faults)?;
                read_number(node, &self.path.with_key(range.key), range, faults)
            },
        }
    }

    /// Reads a number if the key is present.
    pub fn number(&self, range: &NumberRange, faults: &mut FaultList) -> Option<u64> {
        let node = self.get(range.key)?;
        read_number(node, &self.path.with_key(range.key), range, faults)
    }

    /// Reads one of several words if the key is present. `values` is parallel to `words`.
    pub fn choice<T: Copy>(
        &self,
        key: &str,
        words: &[&str],
        values: &[T],
        faults: &mut FaultList,
    ) -> Option<T> {
        debug_assert_eq!(words.len(), values.len());
        let node = self.get(key)?;
        let path = self.path.with_key(key);
        let word = read_text(node, &path, faults)?;
        let value = words.iter().zip(values).find(|(known, _)| **known == word);
        if value.is_none() {
            let message = format!("{word:?} is not one of {}", words.join(", "));
            faults.push(node.position, path, message);
        }
        value.map(|(_, value)| *value)
    }

    /// Reads `true` or `false`, or returns `default` if the key is absent.
    pub fn flag(&self, key: &str, default: bool, faults: &mut FaultList) -> Option<bool> {
        if self.get(key).is_none() {
            return Some(default);
        }
        self.choice(key, &["true", "false"], &[true, false], faults)
    }

    /// Reads a required name.
    pub fn name(&self, key: &str, faults: &mut FaultList) -> Option<&'n str> {
        let node = self.require(key, faults)?;
        read_name(node, &self.path.with_key(key), faults)
    }

    /// Reads a required list of names. Invalid and repeated names are faults and are left out
    /// of the result.
    pub fn names(&self, key: &str, faults: &mut FaultList) -> Option<Vec<NameRef<'n>>> {
        let node = self.require(key, faults)?;
        read_names(node, &self.path.with_key(key), faults)
    }

    /// Reads a mapping from names to nodes; empty if the key is absent. An invalid name is a
    /// fault, but its node is returned so that its own faults are found too.
    pub fn nodes(&self, key: &str, faults: &mut FaultList) -> Vec<NamedNode<'n, 't>> {
        let path = self.path.with_key(key);
        let Some(entries) = self.get(key).and_then(|node| read_mapping(node, &path, faults)) else {
            return Vec::new();
        };
        let mut nodes = Vec::with_capacity(entries.len());
        for entry in entries {
            if let Err(message) = check_name(&entry.key) {
                faults.push(entry.position, path.with_key(&entry.key), message);
            }
            nodes.push(NamedNode { name: &entry.key, position: entry.position, node: &entry.node });
        }
        nodes
    }
}

fn read_mapping<'n, 't>(
    node: &'n Node<'t>,
    path: &TreePath,
    faults: &mut FaultList,
) -> Option<&'n [Entry<'t>]> {
    match &node.value {
        NodeValue::Mapping(entries) => Some(entries),
        _ => {
            let message = format!("expected a mapping, found {}", node.type_name());
            faults.push(node.position, path, message);
            None
        },
    }
}

/// Reads a scalar as text; `null` is a fault.
pub(super) fn read_text<'n>(
    node: &'n Node<'_>,
    path: &TreePath,
    faults: &mut FaultList,
) -> Option<&'n str> {
    match &node.value {
        NodeValue::Scalar { text, .. } if !node.is_null() => Some(text),
        _ => {
            faults.push(node.position, path, format!("expected text, found {}", node.type_name()));
            None
        },
    }
}

pub(super) fn read_list<'n, 't>(
    node: &'n Node<'t>,
    path: &TreePath,
    faults: &mut FaultList,
) -> Option<&'n [Node<'t>]> {
    match &node.value {
        NodeValue::Sequence(items) => Some(items),
        _ => {
            let message = format!("expected a list, found {}", node.type_name());
            faults.push(node.position, path, message);
            None
        },
    }
}

/// Reads a name and checks its characters and length.
pub(super) fn read_name<'n>(
    node: &'n Node<'_>,
    path: &TreePath,
    faults: &mut FaultList,
) -> Option<&'n str> {
    let name = read_text(node, path, faults)?;
    match check_name(name) {
        Ok(()) => Some(name),
        Err(message) => {
            faults.push(node.position, path, message);
            None
        },
    }
}

fn read_names<'n>(
    node: &'n Node<'_>,
    path: &TreePath,
    faults: &mut FaultList,
) -> Option<Vec<NameRef<'n>>> {
    let mut names = Vec::new();
    let mut seen = std::collections::HashSet::new();
    for (index, item) in read_list(node, path, faults)?.iter().enumerate() {
        let path = path.with_index(index);
        let Some(name) = read_name(item, &path, faults) else { continue };
        if seen.insert(name) {
            names.push(NameRef { name, position: item.position });
        } else {
            faults.push(item.position, path, format!("{name} is listed twice"));
        }
    }
    Some(names)
}

/// Reads a whole number written in decimal digits without quotes, sign or fraction.
fn read_number(
    node: &Node<'_>,
    path: &TreePath,
    range: &NumberRange,
    faults: &mut FaultList,
) -> Option<u64> {
    let NumberRange { min, max, unit, .. } = range;
    let digits = match &node.value {
        NodeValue::Scalar { text, plain: true }
            if !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()) =>
        {
            text
        },
        NodeValue::Scalar { text, .. } if !node.is_null() => {
            let message =
                format!("expected a whole number from {min} to {max} ({unit}), found {text:?}");
            faults.push(node.position, path, message);
            return None;
        },
        _ => {
            let message = format!("expected a whole number, found {}", node.type_name());
            faults.push(node.position, path, message);
            return None;
        },
    };
    match digits.parse().ok().filter(|value| (min..=max).contains(&value)) {
        Some(value) => Some(value),
        None => {
            let message = format!("{digits} is out of range; expected {min} to {max} ({unit})");
            faults.push(node.position, path, message);
            None
        },
    }
}

/// Reads the address of a server's HTTP interface. Port 0 and unspecified or multicast
/// addresses are faults.
pub(super) fn read_address(
    node: &Node<'_>,
    path: &TreePath,
    faults: &mut FaultList,
) -> Option<SocketAddr> {
    let written = read_text(node, path, faults)?;
    let address = written.parse::<SocketAddr>().ok().filter(|address| {
        address.port() != 0 && !address.ip().is_unspecified() && !address.ip().is_multicast()
    });
    if address.is_none() {
        let message = format!("{written:?} is not an IP address and port such as 10.1.0.11:9000");
        faults.push(node.position, path, message);
    }
    address
}

/// Reads a digest of 64 hexadecimal digits. The fault message leaves the value out, because
/// it may be the credential itself, set by mistake.
pub(super) fn read_digest(
    node: &Node<'_>,
    path: &TreePath,
    faults: &mut FaultList,
) -> Option<[u8; 32]> {
    let digits = read_text(node, path, faults)?;
    let digest = blake3::Hash::from_hex(digits).ok();
    if digest.is_none() {
        faults.push(node.position, path, "expected a BLAKE3 digest of 64 hexadecimal digits");
    }
    digest.map(|digest| *digest.as_bytes())
}

fn check_name(name: &str) -> Result<(), String> {
    let start = name.bytes().next().is_some_and(|byte| byte.is_ascii_alphanumeric());
    let rest = name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"._-".contains(&byte));
    if !start || !rest {
        let accepted = "use letters, digits, '.', '_' and '-', beginning with a letter or digit";
        return Err(format!("{name:?} is not a valid name; {accepted}"));
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(format!(
            "name of {} bytes exceeds the limit of {MAX_NAME_BYTES} bytes",
            name.len()
        ));
    }
    Ok(())
}
