//! Checks the keys of one mapping and reads their values.

use std::net::SocketAddr;

use super::faults::{FaultList, Position, TreePath};
use super::keys::SectionDescriptor;
use super::limits::{NAME_BYTES, NumberRange};
use super::source::{Entry, Node, NodeValue};

/// The entries of a mapping whose keys were checked against a section.
pub(super) struct Fields<'n, 't> {
    pub position: Position,
    pub path: TreePath,
    entries: &'n [Entry<'t>],
}

/// A reference to another node of the tree by its name.
#[derive(Clone, Copy)]
pub(super) struct NameRef<'n> {
    pub name: &'n str,
    pub position: Position,
}

/// A name given to a node of the tree and the node.
pub(super) struct NamedNode<'n, 't> {
    pub name: &'n str,
    pub position: Position,
    pub node: &'n Node<'t>,
}

impl<'n, 't> Fields<'n, 't> {
    /// Reads a mapping; unknown keys and a value of another type are faults.
    pub fn new(
        node: &'n Node<'t>,
        path: TreePath,
        section: &SectionDescriptor,
        faults: &mut FaultList,
    ) -> Option<Self> {
        let entries = mapping(node, &path, faults)?;
        for entry in entries {
            if !section.keys.iter().any(|known| known.key == entry.key) {
                let known: Vec<_> = section.keys.iter().map(|known| known.key).collect();
                let message = format!("unknown key; known keys are {}", known.join(", "));
                faults.push(entry.position, path.key(&entry.key), message);
            }
        }
        Some(Self { position: node.position, path, entries })
    }

    /// Gets a value if the key is present, even if it is `null`.
    pub fn get(&self, key: &str) -> Option<&'n Node<'t>> {
        self.entries.iter().find(|entry| entry.key == key).map(|entry| &entry.node)
    }

    /// Gets the position of a key that is present.
    pub fn key_position(&self, key: &str) -> Option<Position> {
        self.entries.iter().find(|entry| entry.key == key).map(|entry| entry.position)
    }

    /// Gets a value, or reports the key as missing.
    pub fn require(&self, key: &str, faults: &mut FaultList) -> Option<&'n Node<'t>> {
        let node = self.get(key);
        if node.is_none() {
            faults.push(self.position, &self.path, format!("missing key {key}"));
        }
        node
    }

    /// Reads a number, or its default if the key is absent.
    pub fn number_or_default(&self, range: &NumberRange, faults: &mut FaultList) -> Option<u64> {
        match range.default {
            Some(default) if self.get(range.key).is_none() => Some(default),
            _ => {
                let node = self.require(range.key, faults)?;
                number(node, &self.path.key(range.key), range, faults)
            },
        }
    }

    /// Reads a number if the key is present.
    pub fn number(&self, range: &NumberRange, faults: &mut FaultList) -> Option<u64> {
        let node = self.get(range.key)?;
        number(node, &self.path.key(range.key), range, faults)
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
        let path = self.path.key(key);
        let word = text(node, &path, faults)?;
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
        name(node, &self.path.key(key), faults)
    }

    /// Reads a required list of names in which no name is repeated. Faulty items are left
    /// out of the result.
    pub fn names(&self, key: &str, faults: &mut FaultList) -> Option<Vec<NameRef<'n>>> {
        let node = self.require(key, faults)?;
        names(node, &self.path.key(key), faults)
    }

    /// Reads the nodes below a key, each with a valid name.
    pub fn nodes(&self, key: &str, faults: &mut FaultList) -> Vec<NamedNode<'n, 't>> {
        let path = self.path.key(key);
        let Some(entries) = self.get(key).and_then(|node| mapping(node, &path, faults)) else {
            return Vec::new();
        };
        let mut nodes = Vec::with_capacity(entries.len());
        for entry in entries {
            if let Err(message) = check_name(&entry.key) {
                faults.push(entry.position, path.key(&entry.key), message);
            }
            nodes.push(NamedNode { name: &entry.key, position: entry.position, node: &entry.node });
        }
        nodes
    }
}

fn mapping<'n, 't>(
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

/// Reads text; `null` is a fault.
pub(super) fn text<'n>(
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

/// Reads a list.
pub(super) fn items<'n, 't>(
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

/// Reads a name.
pub(super) fn name<'n>(
    node: &'n Node<'_>,
    path: &TreePath,
    faults: &mut FaultList,
) -> Option<&'n str> {
    let name = text(node, path, faults)?;
    match check_name(name) {
        Ok(()) => Some(name),
        Err(message) => {
            faults.push(node.position, path, message);
            None
        },
    }
}

fn names<'n>(
    node: &'n Node<'_>,
    path: &TreePath,
    faults: &mut FaultList,
) -> Option<Vec<NameRef<'n>>> {
    let mut names = Vec::new();
    let mut seen = std::collections::HashSet::new();
    for (index, item) in items(node, path, faults)?.iter().enumerate() {
        let path = path.item(index);
        let Some(name) = name(item, &path, faults) else { continue };
        if seen.insert(name) {
            names.push(NameRef { name, position: item.position });
        } else {
            faults.push(item.position, path, format!("{name} is listed twice"));
        }
    }
    Some(names)
}

/// Reads a whole number in decimal digits.
fn number(
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
                format!("expected a whole number of {min} to {max} ({unit}), found {text:?}");
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
            let message = format!("{digits} is out of range; accepted are {min} to {max} ({unit})");
            faults.push(node.position, path, message);
            None
        },
    }
}

/// Reads the address of a server's HTTP interface.
pub(super) fn address(
    node: &Node<'_>,
    path: &TreePath,
    faults: &mut FaultList,
) -> Option<SocketAddr> {
    let written = text(node, path, faults)?;
    let address = written.parse::<SocketAddr>().ok().filter(|address| {
        address.port() != 0 && !address.ip().is_unspecified() && !address.ip().is_multicast()
    });
    if address.is_none() {
        let message = format!("{written:?} is not an IP address and port such as 10.1.0.11:9000");
        faults.push(node.position, path, message);
    }
    address
}

/// Reads a digest of 64 hexadecimal digits. The value is not repeated in the fault, in case
/// someone wrote the credential itself.
pub(super) fn digest(node: &Node<'_>, path: &TreePath, faults: &mut FaultList) -> Option<[u8; 32]> {
    let digits = text(node, path, faults)?;
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
        let accepted =
            "a name has letters, digits, '.', '_' and '-' and begins with a letter or digit";
        return Err(format!("{name:?} is not a name; {accepted}"));
    }
    if name.len() > NAME_BYTES {
        return Err(format!("name of {} bytes exceeds {NAME_BYTES}", name.len()));
    }
    Ok(())
}
