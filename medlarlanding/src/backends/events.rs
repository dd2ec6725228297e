//! Incremental decoder of server-sent events with a size limit.

/// Maximum size of an event in bytes, including its line ends.
pub const EVENT_LIMIT: usize = 64 << 10;

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamEvent {
    /// Value of the `event` field; empty if there was none.
    pub name: String,
    /// Value of the last `id` field; empty if there was none.
    pub id: String,
    /// Data lines joined with line feeds.
    pub data: String,
}

/// An event exceeded `EVENT_LIMIT` or was not UTF-8.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventFault;

/// Decodes a byte stream into events.
#[derive(Debug, Default)]
pub struct EventDecoder {
    /// Bytes of the incomplete line.
    line: Vec<u8>,
    /// Bytes of the incomplete event so far, at most `EVENT_LIMIT`.
    size: usize,
    event: StreamEvent,
    has_data: bool,
}

impl EventDecoder {
    /// Decodes the next bytes of the stream and appends complete events to `events`.
    ///
    /// # Errors
    ///
    /// Fails on an event that exceeds `EVENT_LIMIT` or is not UTF-8. The decoder must not be used
    /// afterwards.
    pub fn push(&mut self, bytes: &[u8], events: &mut Vec<StreamEvent>) -> Result<(), EventFault> {
        for &byte in bytes {
            self.size += 1;
            if self.size > EVENT_LIMIT {
                return Err(EventFault);
            }
            if byte == b'\n' {
                let line = std::mem::take(&mut self.line);
                self.end_line(&line, events)?;
            } else {
                self.line.push(byte);
            }
        }
        Ok(())
    }

    fn end_line(&mut self, line: &[u8], events: &mut Vec<StreamEvent>) -> Result<(), EventFault> {
        let line = std::str::from_utf8(line).map_err(|_| EventFault)?;
        let line = line.strip_suffix('\r').unwrap_or(line);
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            if std::mem::take(&mut self.has_data) {
                events.push(event);
            }
            self.size = 0;
            return Ok(());
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.event.name = value.to_owned(),
            "id" => self.event.id = value.to_owned(),
            "data" => {
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
                self.has_data = true;
            },
            _ => {},
        }
        Ok(())
    }
}
