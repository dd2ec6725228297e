//! Turns YAML text into nodes that keep their position.
//!
//! Drives the event parser of saphyr instead of loading `MarkedYaml`: the loader keeps only
//! the last of several equal keys, copies the target of every alias (368 bytes of text took
//! 314 MB) and recurses once per level (20 KB of nested lists overflowed the stack).

use std::borrow::Cow;
use std::collections::HashSet;

use saphyr_parser::{Event, Marker, Parser, ScalarStyle};

use super::faults::{FaultList, Position};
use super::limits::{DOCUMENT_BYTES, NESTING_LEVELS};

/// A value of the document with its position.
#[derive(Debug)]
pub(super) struct Node<'t> {
    pub position: Position,
    pub value: NodeValue<'t>,
}

/// Content of a node. Scalars stay text; the schema decides their type, so that a version
/// `1.10` or a digest of digits alone is not read as a number.
#[derive(Debug)]
pub(super) enum NodeValue<'t> {
    Scalar {
        text: Cow<'t, str>,
        plain: bool,
    },
    Sequence(Vec<Node<'t>>),
    Mapping(Vec<Entry<'t>>),
    /// A reference to an anchor, which the readers refuse wherever they expect a value.
    Alias,
}

/// An entry of a mapping. Keys of one mapping are unique.
#[derive(Debug)]
pub(super) struct Entry<'t> {
    pub key: Cow<'t, str>,
    pub position: Position,
    pub node: Node<'t>,
}

impl Node<'_> {
    /// Returns whether the node is the empty value or `null`.
    pub fn is_null(&self) -> bool {
        matches!(&self.value, NodeValue::Scalar { text, plain: true }
            if matches!(&**text, "" | "~" | "null" | "Null" | "NULL"))
    }

    /// Gets the name of the node's type for messages.
    pub fn type_name(&self) -> &'static str {
        match &self.value {
            NodeValue::Scalar { .. } if self.is_null() => "nothing",
            NodeValue::Scalar { .. } => "a scalar",
            NodeValue::Sequence(_) => "a list",
            NodeValue::Mapping(_) => "a mapping",
            NodeValue::Alias => "an alias, which is not accepted; use based_on or write the value",
        }
    }
}

const START: Position = Position { line: 1, column: 1 };

/// Parses one document. Returns `None` if it could not be read to its end; the reason is
/// among the faults.
pub(super) fn load<'t>(text: &'t str, faults: &mut FaultList) -> Option<Node<'t>> {
    if text.len() > DOCUMENT_BYTES {
        let message = format!("document of {} bytes exceeds {DOCUMENT_BYTES}", text.len());
        faults.push(START, "", message);
        return None;
    }
    let mut loader = NodeLoader { open: Vec::new(), root: None, faults };
    let mut parser = Parser::new_from_str(text.strip_prefix('\u{feff}').unwrap_or(text));
    while let Some(step) = parser.next_event() {
        match step {
            Ok((event, span)) => loader.accept(event, position(&span.start))?,
            Err(error) => {
                loader.fault(position(error.marker()), error.info());
                return None;
            },
        }
    }
    if loader.root.is_none() {
        loader.fault(START, "document is empty");
    }
    loader.root
}

/// The parser counts lines from 1 and columns from 0.
fn position(marker: &Marker) -> Position {
    Position { line: marker.line().max(1), column: marker.col() + 1 }
}

struct NodeLoader<'t, 'f> {
    open: Vec<OpenNode<'t>>,
    root: Option<Node<'t>>,
    faults: &'f mut FaultList,
}

/// A collection whose end has not been read yet.
struct OpenNode<'t> {
    position: Position,
    content: OpenContent<'t>,
}

enum OpenContent<'t> {
    Sequence(Vec<Node<'t>>),
    Mapping { entries: Vec<Entry<'t>>, seen: HashSet<Cow<'t, str>>, key: Option<PendingKey<'t>> },
}

struct PendingKey<'t> {
    text: Cow<'t, str>,
    position: Position,
    /// Set for a repeated key, whose value is read and dropped.
    repeated: bool,
}

impl<'t> NodeLoader<'t, '_> {
    /// Returns `None` when the rest of the document can not be read sensibly.
    fn accept(&mut self, event: Event<'t>, position: Position) -> Option<()> {
        match event {
            Event::Nothing | Event::StreamStart | Event::StreamEnd | Event::DocumentEnd => {},
            Event::DocumentStart(_) => {
                if self.root.is_some() {
                    self.fault(position, "only one document is accepted");
                    return None;
                }
            },
            Event::Alias(_) => {
                if self.expects_key() {
                    self.fault(position, "a key must be a scalar");
                    return None;
                }
                self.attach(Node { position, value: NodeValue::Alias });
            },
            Event::Scalar(text, style, anchor, tag) => {
                self.reject_extras(position, anchor, tag.is_some());
                let plain = style == ScalarStyle::Plain;
                self.scalar(position, NodeValue::Scalar { text, plain })?;
            },
            Event::SequenceStart(anchor, tag) => {
                self.reject_extras(position, anchor, tag.is_some());
                self.start(position, OpenContent::Sequence(Vec::new()))?;
            },
            Event::MappingStart(anchor, tag) => {
                self.reject_extras(position, anchor, tag.is_some());
                let (entries, seen, key) = (Vec::new(), HashSet::new(), None);
                self.start(position, OpenContent::Mapping { entries, seen, key })?;
            },
            Event::SequenceEnd | Event::MappingEnd => {
                let OpenNode { position, content } = self.open.pop()?;
                let value = match content {
                    OpenContent::Sequence(items) => NodeValue::Sequence(items),
                    OpenContent::Mapping { entries, .. } => NodeValue::Mapping(entries),
                };
                self.attach(Node { position, value });
            },
        }
        Some(())
    }

    fn reject_extras(&mut self, position: Position, anchor: usize, tagged: bool) {
        if anchor > 0 {
            self.fault(position, "anchors are not accepted; use based_on or write the value");
        }
        if tagged {
            self.fault(position, "tags are not accepted");
        }
    }

    fn expects_key(&self) -> bool {
        let content = self.open.last().map(|open| &open.content);
        matches!(content, Some(OpenContent::Mapping { key: None, .. }))
    }

    fn start(&mut self, position: Position, content: OpenContent<'t>) -> Option<()> {
        if self.expects_key() {
            self.fault(position, "a key must be a scalar");
            return None;
        }
        if self.open.len() == NESTING_LEVELS {
            self.fault(position, format!("nested deeper than {NESTING_LEVELS} levels"));
            return None;
        }
        self.open.push(OpenNode { position, content });
        Some(())
    }

    fn scalar(&mut self, position: Position, value: NodeValue<'t>) -> Option<()> {
        if !self.expects_key() {
            self.attach(Node { position, value });
            return Some(());
        }
        let NodeValue::Scalar { text, .. } = value else { return None };
        let Some(OpenNode { content: OpenContent::Mapping { seen, key, .. }, .. }) =
            self.open.last_mut()
        else {
            return None;
        };
        let repeated = !seen.insert(text.clone());
        *key = Some(PendingKey { text, position, repeated });
        if repeated {
            self.fault(position, "duplicate key");
        }
        Some(())
    }

    fn attach(&mut self, mut node: Node<'t>) {
        match self.open.last_mut().map(|open| &mut open.content) {
            None => self.root = Some(node),
            Some(OpenContent::Sequence(items)) => items.push(node),
            Some(OpenContent::Mapping { entries, key, .. }) => {
                let Some(PendingKey { text: key, position, repeated }) = key.take() else { return };
                if node.is_null() {
                    // The parser places an absent value at the token that follows it.
                    node.position = position;
                }
                if !repeated {
                    entries.push(Entry { key, position, node });
                }
            },
        }
    }

    fn fault(&mut self, position: Position, message: impl Into<String>) {
        let mut path = String::new();
        for open in &self.open {
            match &open.content {
                OpenContent::Sequence(items) => path.push_str(&format!("[{}]", items.len())),
                OpenContent::Mapping { key: Some(key), .. } => {
                    if !path.is_empty() {
                        path.push('.');
                    }
                    path.push_str(&key.text);
                },
                OpenContent::Mapping { key: None, .. } => {},
            }
        }
        self.faults.push(position, path, message);
    }
}
