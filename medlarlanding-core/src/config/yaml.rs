//! Parses YAML text into nodes that keep their position.
//!
//! Uses the event parser of saphyr rather than its `MarkedYaml` loader. The loader keeps only
//! the last of several equal keys, copies the target of every alias (368 bytes of text took
//! 314 MB) and recurses once per level (20 KB of nested lists overflowed the stack).

use std::borrow::Cow;
use std::collections::HashSet;

use saphyr_parser::{Event, Marker, Parser, ScalarStyle};

use super::faults::{FaultList, Position};
use super::limits::{MAX_DOCUMENT_BYTES, MAX_NESTING_LEVELS};

/// A value of the document with its position.
#[derive(Debug)]
pub(super) struct Node<'t> {
    pub position: Position,
    pub value: NodeValue<'t>,
}

/// Content of a node. Scalars stay text until a reader converts them to the type of their key,
/// so that a version `1.10` or a digest of digits alone is not taken for a number.
#[derive(Debug)]
pub(super) enum NodeValue<'t> {
    Scalar {
        text: Cow<'t, str>,
        /// Whether the scalar was written without quotes or block style.
        plain: bool,
    },
    Sequence(Vec<Node<'t>>),
    Mapping(Vec<Entry<'t>>),
    /// A reference to an anchor. Not resolved: readers report it as a value of the wrong type.
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

    /// Gets a description of the node's type for fault messages.
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

/// Parses one document. Returns `None` and adds a fault if it cannot be parsed to its end.
pub(super) fn parse_document<'t>(text: &'t str, faults: &mut FaultList) -> Option<Node<'t>> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let message = format!(
            "document of {} bytes exceeds the limit of {MAX_DOCUMENT_BYTES} bytes",
            text.len()
        );
        faults.push(START, "", message);
        return None;
    }
    let mut builder = NodeBuilder { open: Vec::new(), root: None, faults };
    let mut parser = Parser::new_from_str(text.strip_prefix('\u{feff}').unwrap_or(text));
    while let Some(step) = parser.next_event() {
        match step {
            Ok((event, span)) => builder.process_event(event, position(&span.start))?,
            Err(error) => {
                builder.report(position(error.marker()), error.info());
                return None;
            },
        }
    }
    if builder.root.is_none() {
        builder.report(START, "document is empty");
    }
    builder.root
}

/// Converts a position of the parser, which counts lines from 1 and columns from 0.
fn position(marker: &Marker) -> Position {
    Position { line: marker.line().max(1), column: marker.col() + 1 }
}

/// Builds the nodes of a document from the events of the parser.
struct NodeBuilder<'t, 'f> {
    /// Collections whose end has not been reached, outermost first.
    open: Vec<OpenCollection<'t>>,
    root: Option<Node<'t>>,
    faults: &'f mut FaultList,
}

/// A list or mapping whose end has not been reached.
struct OpenCollection<'t> {
    position: Position,
    content: OpenContent<'t>,
}

enum OpenContent<'t> {
    Sequence(Vec<Node<'t>>),
    /// `key` is set between a key and its value, and `seen` holds all keys so far.
    Mapping {
        entries: Vec<Entry<'t>>,
        seen: HashSet<Cow<'t, str>>,
        key: Option<PendingKey<'t>>,
    },
}

struct PendingKey<'t> {
    text: Cow<'t, str>,
    position: Position,
    /// Whether the key occurred before in its mapping; its value is then dropped.
    repeated: bool,
}

impl<'t> NodeBuilder<'t, '_> {
    /// Processes an event. Returns `None` after a fault that makes the rest of the document
    /// unreadable.
    fn process_event(&mut self, event: Event<'t>, position: Position) -> Option<()> {
        match event {
            Event::Nothing | Event::StreamStart | Event::StreamEnd | Event::DocumentEnd => {},
            Event::DocumentStart(_) => {
                if self.root.is_some() {
                    self.report(position, "only one document is accepted");
                    return None;
                }
            },
            Event::Alias(_) => {
                if self.expects_key() {
                    self.report(position, "a key must be a scalar");
                    return None;
                }
                self.add_node(Node { position, value: NodeValue::Alias });
            },
            Event::Scalar(text, style, anchor, tag) => {
                self.reject_anchor_and_tag(position, anchor, tag.is_some());
                let plain = style == ScalarStyle::Plain;
                self.add_scalar(position, NodeValue::Scalar { text, plain })?;
            },
            Event::SequenceStart(anchor, tag) => {
                self.reject_anchor_and_tag(position, anchor, tag.is_some());
                self.open_collection(position, OpenContent::Sequence(Vec::new()))?;
            },
            Event::MappingStart(anchor, tag) => {
                self.reject_anchor_and_tag(position, anchor, tag.is_some());
                let (entries, seen, key) = (Vec::new(), HashSet::new(), None);
                self.open_collection(position, OpenContent::Mapping { entries, seen, key })?;
            },
            Event::SequenceEnd | Event::MappingEnd => {
                let OpenCollection { position, content } = self.open.pop()?;
                let value = match content {
                    OpenContent::Sequence(items) => NodeValue::Sequence(items),
                    OpenContent::Mapping { entries, .. } => NodeValue::Mapping(entries),
                };
                self.add_node(Node { position, value });
            },
        }
        Some(())
    }

    fn reject_anchor_and_tag(&mut self, position: Position, anchor: usize, tagged: bool) {
        if anchor > 0 {
            self.report(position, "anchors are not accepted; use based_on or write the value");
        }
        if tagged {
            self.report(position, "tags are not accepted");
        }
    }

    /// Returns whether the next node is a key of a mapping.
    fn expects_key(&self) -> bool {
        let content = self.open.last().map(|open| &open.content);
        matches!(content, Some(OpenContent::Mapping { key: None, .. }))
    }

    fn open_collection(&mut self, position: Position, content: OpenContent<'t>) -> Option<()> {
        if self.expects_key() {
            self.report(position, "a key must be a scalar");
            return None;
        }
        if self.open.len() == MAX_NESTING_LEVELS {
            self.report(position, format!("nested deeper than {MAX_NESTING_LEVELS} levels"));
            return None;
        }
        self.open.push(OpenCollection { position, content });
        Some(())
    }

    fn add_scalar(&mut self, position: Position, value: NodeValue<'t>) -> Option<()> {
        if !self.expects_key() {
            self.add_node(Node { position, value });
            return Some(());
        }
        let NodeValue::Scalar { text, .. } = value else { return None };
        let Some(OpenCollection { content: OpenContent::Mapping { seen, key, .. }, .. }) =
            self.open.last_mut()
        else {
            return None;
        };
        let repeated = !seen.insert(text.clone());
        *key = Some(PendingKey { text, position, repeated });
        if repeated {
            self.report(position, "duplicate key");
        }
        Some(())
    }

    /// Adds a complete node to the innermost open collection, or makes it the root.
    fn add_node(&mut self, mut node: Node<'t>) {
        match self.open.last_mut().map(|open| &mut open.content) {
            None => self.root = Some(node),
            Some(OpenContent::Sequence(items)) => items.push(node),
            Some(OpenContent::Mapping { entries, key, .. }) => {
                let Some(PendingKey { text: key, position, repeated }) = key.take() else { return };
                if node.is_null() {
                    // The parser gives an absent value the position of the next token.
                    node.position = position;
                }
                if !repeated {
                    entries.push(Entry { key, position, node });
                }
            },
        }
    }

    /// Adds a fault with the path of the value that is being parsed.
    fn report(&mut self, position: Position, message: impl Into<String>) {
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
