//! Stand-ins of the platform, callers and the judge for the scripts of the third review.
//!
//! Uses only the standard library; `review/build-3.sh` compiles it. Each script calls it with the name
//! of its scenario and the folder of the case.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOST: &str = "desk.example";
const KEY: &str = "key-of-museum";
const CALLER_PORT: u16 = 28740;
const READY_PORT: u16 = 28749;
const CONTROL_PORT: u16 = 28748;
const PEER_PORT: u16 = 28720;
const METRICS_PORT: u16 = 9464;
const SERVER_PORT: u16 = 28800;
/// Time that the store takes for an answer, as the sheets state it.
const STORE_TIME: Duration = Duration::from_millis(4);
/// Interval of status reports, from the settings of the installation.
const HEARTBEAT: Duration = Duration::from_millis(1200);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

// ---------------------------------------------------------------------------------------------------
// Record of a run

/// Lines of `record.txt`, with the time since the start of the script.
struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    fn line(&self, text: &str) {
        let elapsed = self.started.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{elapsed:9.3} {text}");
    }
}

// ---------------------------------------------------------------------------------------------------
// HTTP

struct HttpRequest {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl HttpRequest {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

fn read_headers(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<HttpRequest> {
    let (first, headers) = read_headers(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(HttpRequest { method, target, headers, body })
}

fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// What a caller received.
#[derive(Clone, Debug, Default)]
struct Answer {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    /// The body was received up to its regular end.
    is_complete: bool,
}

impl Answer {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    fn event_count(&self) -> usize {
        self.body.split(|byte| *byte == b'\n').filter(|line| line.starts_with(b"id:")).count()
    }

    fn text(&self) -> String {
        let end = if self.is_complete { "complete" } else { "broken off" };
        match self.status {
            0 => "connection closed without an answer".to_owned(),
            status => format!("status {status}, {} bytes, {end}", self.body.len()),
        }
    }
}

fn read_chunked(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

fn read_answer(stream: TcpStream) -> Answer {
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_headers(&mut reader) else { return Answer::default() };
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let mut answer = Answer { status, headers, ..Answer::default() };
    if answer.header("transfer-encoding").is_some() {
        let mut body = Vec::new();
        answer.is_complete = read_chunked(&mut reader, &mut body).is_some();
        answer.body = body;
    } else {
        let length: usize =
            answer.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = Vec::new();
        let _ = reader.take(length as u64).read_to_end(&mut body);
        answer.is_complete = body.len() == length;
        answer.body = body;
    }
    answer
}

/// Sends a request on a new connection and reads the answer.
fn call(address: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)]) -> Answer {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Answer::default();
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(60)));
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    text.push_str("\r\n");
    match stream.write_all(text.as_bytes()) {
        Ok(()) => read_answer(stream),
        Err(_) => Answer::default(),
    }
}

/// Connections of one stand-in, which end with it.
#[derive(Default)]
struct Connections {
    open: Mutex<Vec<TcpStream>>,
}

impl Connections {
    fn add(&self, stream: &TcpStream) {
        if let Ok(copy) = stream.try_clone() {
            lock(&self.open).push(copy);
        }
    }

    fn close_all(&self) {
        for stream in lock(&self.open).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

// ---------------------------------------------------------------------------------------------------
// The platform's store

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let value = group.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte));
        let value = value << (8 * (3 - group.len()));
        for index in 0..4 {
            if index <= group.len() {
                text.push(DIGITS[(value >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

struct Change {
    at: Instant,
    revision: u64,
    key: String,
    /// The value written; `None` if the item was removed.
    value: Option<Vec<u8>>,
}

struct StoreState {
    revision: u64,
    era: u64,
    changes: Vec<Change>,
    is_away: bool,
    /// Channels that were open when the store went away return nothing further, instead of ending.
    is_silent: bool,
    calls: u64,
}

impl StoreState {
    /// Returns the present items with the revisions of their last changes.
    fn items(&self) -> BTreeMap<&str, (u64, &[u8])> {
        let mut items = BTreeMap::new();
        for change in &self.changes {
            match &change.value {
                Some(value) => {
                    items.insert(change.key.as_str(), (change.revision, value.as_slice()));
                },
                None => {
                    items.remove(change.key.as_str());
                },
            }
        }
        items
    }
}

/// The platform's metadata store.
struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    connections: Connections,
    record: Arc<Record>,
}

impl Store {
    fn start(address: SocketAddr, record: Arc<Record>) -> std::io::Result<Arc<Self>> {
        let state = StoreState {
            revision: 100,
            era: 1,
            changes: Vec::new(),
            is_away: false,
            is_silent: false,
            calls: 0,
        };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            connections: Connections::default(),
            record,
        });
        let listener = TcpListener::bind(address)?;
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                shared.connections.add(&stream);
                if lock(&shared.state).is_away {
                    if !lock(&shared.state).is_silent {
                        shared.connections.close_all();
                    }
                    continue;
                }
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item, or removes it. Returns the revision once the store has acknowledged it; `None`
    /// if the store is away.
    fn write(&self, key: &str, value: Option<&[u8]>) -> Option<u64> {
        let mut state = lock(&self.state);
        if state.is_away {
            return None;
        }
        state.revision += 1;
        let revision = state.revision;
        let value = value.map(<[u8]>::to_vec);
        state.changes.push(Change { at: Instant::now(), revision, key: key.to_owned(), value });
        drop(state);
        self.changed.notify_all();
        Some(revision)
    }

    /// Returns the value of an item.
    fn get(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.state).items().get(key).map(|(_, value)| value.to_vec())
    }

    /// Goes away for `time` and comes back from a copy that is `age` old.
    fn drill(&self, time: Duration, age: Duration, is_silent: bool) {
        let copied_at = Instant::now().checked_sub(age);
        {
            let mut state = lock(&self.state);
            (state.is_away, state.is_silent) = (true, is_silent);
        }
        self.changed.notify_all();
        if !is_silent {
            self.connections.close_all();
        }
        self.record.line("store: away");
        thread::sleep(time);
        let mut state = lock(&self.state);
        let lost = state.revision;
        state.changes.retain(|change| copied_at.is_none_or(|copied_at| change.at <= copied_at));
        state.revision = state.changes.last().map_or(100, |change| change.revision);
        state.era += 1;
        state.is_away = false;
        self.record.line(&format!(
            "store: back from a copy, revision {} instead of {lost}, Store-Era {}",
            state.revision, state.era
        ));
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some(request) = read_request(&mut reader) {
            thread::sleep(STORE_TIME);
            let Some((status, body, era)) = self.answer(&request) else {
                // The connection stays in `connections`, so that it ends only with the script.
                return;
            };
            let era = era.to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            if write_answer(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns status, body and era of an answer; `None` if the store has gone away.
    fn answer(&self, request: &HttpRequest) -> Option<(u16, String, u64)> {
        let path = request.target.split('?').next().unwrap_or_default();
        let prefix = request.query("prefix").unwrap_or_default().replace("%2F", "/");
        let after = request.query("after").unwrap_or_default();
        let mut state = lock(&self.state);
        state.calls += 1;
        let era = state.era;
        if state.is_away {
            return None;
        }
        if path == "/-/kv-range" {
            let items = state.items();
            let entries: Vec<String> = items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after))
                .map(|(key, (revision, value))| item_json(key, *revision, value))
                .collect();
            let body = format!(
                "{{\"entries\":[{}],\"hasMore\":false,\"storeRevision\":{}}}",
                entries.join(","),
                state.revision
            );
            return Some((200, body, era));
        }
        if path != "/-/kv-watch" {
            return Some((404, "{}".to_owned(), era));
        }
        let after: u64 = after.parse().unwrap_or(0);
        if after > state.revision {
            return Some((410, "{}".to_owned(), era));
        }
        let wait: u64 =
            request.query("waitMs").and_then(|text| text.parse().ok()).unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            if state.is_away || state.era != era {
                return None;
            }
            let news = state.changes.iter().filter(|it| it.revision > after);
            let events: Vec<String> = news
                .filter(|change| change.key.starts_with(&prefix))
                .map(|change| match &change.value {
                    Some(value) => item_json(&change.key, change.revision, value),
                    None => format!(
                        "{{\"key\":\"{}\",\"revision\":{},\"removed\":true}}",
                        change.key, change.revision
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let body = format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return Some((200, body, era));
            }
            let waited = self.changed.wait_timeout(state, until - now);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn item_json(key: &str, revision: u64, value: &[u8]) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\
         \"lease\":0}}",
        base64(value)
    )
}

// ---------------------------------------------------------------------------------------------------
// Servers

/// A request that a server began to work on.
#[derive(Clone, Debug)]
struct Run {
    at: Instant,
    request: String,
    server: String,
}

/// A call to a server to copy the memory of a run.
#[derive(Clone, Debug)]
struct MoveCall {
    from: String,
    to: SocketAddr,
    is_last: bool,
}

/// What the servers of a site share.
#[derive(Default)]
struct ServerNetwork {
    /// Zones of the servers.
    zones: Mutex<BTreeMap<SocketAddr, String>>,
    moves: Mutex<Vec<MoveCall>>,
}

/// Shared record of the runs of all servers.
type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Clone, Copy, Debug)]
struct ServerWork {
    /// Time of work on a request to a plain service, or until the first event.
    time: Duration,
    /// Events of an answer that is a stream; 0 for whole answers.
    events: u32,
    /// Time between two events.
    pause: Duration,
}

/// A stream in progress.
#[derive(Clone, Copy, Debug, Default)]
struct StreamRun {
    /// Events made.
    made: u32,
    /// Tokens of the prompt.
    prompt: u32,
    /// Tokens that were copied to another server.
    copied: u32,
    /// A move has stopped the run.
    is_stopped: bool,
}

/// Bytes of memory for each token, and the bandwidth of a server's link for copies in bits a second, from
/// the configuration of gvic-landing.
const TOKEN_BYTES: f64 = 18_432.0;
const COPY_RATE: f64 = 2.7e9;
/// Tokens of an event of a stream.
const EVENT_TOKENS: u32 = 4;

struct Server {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    born: u128,
    /// The server's state, as its entry and its answers state it.
    is_leaving: AtomicBool,
    /// Milliseconds for which the server says that it stays cold.
    cold_ms: AtomicU64,
    has_ended: AtomicBool,
    /// The server has crashed: nothing of its host answers.
    is_dark: AtomicBool,
    work: ServerWork,
    /// Streams in progress by request.
    streams: Mutex<BTreeMap<String, StreamRun>>,
    /// Held while memory is copied: copies run one after another.
    link: Mutex<()>,
    network: Arc<ServerNetwork>,
    runs: Runs,
    connections: Connections,
    record: Arc<Record>,
}

impl Server {
    fn start(
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        work: ServerWork,
        site: &Site,
    ) -> std::io::Result<Arc<Self>> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            born,
            is_leaving: AtomicBool::new(false),
            cold_ms: AtomicU64::new(0),
            has_ended: AtomicBool::new(false),
            is_dark: AtomicBool::new(false),
            work,
            streams: Mutex::default(),
            link: Mutex::default(),
            network: Arc::clone(&site.network),
            runs: Arc::clone(&site.runs),
            connections: Connections::default(),
            record: Arc::clone(&site.record),
        });
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        lock(&site.network.zones).insert(address, zone.to_owned());
        let shared = Arc::clone(&server);
        thread::spawn(move || {
            while !shared.has_ended.load(Ordering::SeqCst) {
                if shared.is_dark.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        shared.connections.add(&stream);
                        let shared = Arc::clone(&shared);
                        thread::spawn(move || shared.serve(stream));
                    },
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(server)
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns the server's entry without the number of its status reports.
    fn entry(&self) -> String {
        let state = if self.is_leaving.load(Ordering::SeqCst) { "draining" } else { "ready" };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"coldRemainingMs\":{},\"stage\":\"both\",\
             \"models\":[],\"sequence\":1,\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            if self.work.events == 0 { 6 } else { 48 },
            self.cold_ms.load(Ordering::SeqCst),
            self.born
        )
    }

    /// Writes the entry if the one in the store differs. Returns the time of the acknowledgement of a
    /// change.
    fn report(&self, store: &Store) -> Option<Instant> {
        let entry = self.entry();
        if store.get(&self.key()).as_deref() == Some(entry.as_bytes()) {
            return None;
        }
        let revision = store.write(&self.key(), Some(entry.as_bytes()))?;
        let state = if self.is_leaving.load(Ordering::SeqCst) { "draining" } else { "ready" };
        self.record.line(&format!("store: entry of {} {state}, revision {revision}", self.id));
        Some(Instant::now())
    }

    /// Waits while the host of the server is dark.
    fn wait_while_dark(&self) {
        while self.is_dark.load(Ordering::SeqCst) && !self.has_ended.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Ends the process that the stand-in plays.
    fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        self.connections.close_all();
        self.record.line(&format!("server {}: ended", self.id));
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some(request) = read_request(&mut reader) {
            self.wait_while_dark();
            if self.has_ended.load(Ordering::SeqCst) || self.answer(&mut stream, &request).is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &HttpRequest) -> std::io::Result<()> {
        let is_leaving = self.is_leaving.load(Ordering::SeqCst);
        let mut headers = vec![("X-Instance-Id", self.id.as_str())];
        if is_leaving {
            headers.push(("Server-Leaving", "1"));
        }
        let path = request.target.as_str();
        if path == "/healthz" {
            let body = format!("{{\"born\":{}}}", self.born);
            let status = if is_leaving { 503 } else { 200 };
            return write_answer(stream, status, &headers, body.as_bytes());
        }
        if path == "/-/report" {
            let state = if is_leaving { "draining" } else { "ready" };
            let body = format!(
                "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":1,\"queued\":0,\
                 \"active\":0,\"kvUsed\":0,\"kvTotal\":30000,\"handles\":0,\"state\":\"{state}\",\
                 \"born\":{}}}",
                self.born
            );
            return write_answer(stream, 200, &headers, body.as_bytes());
        }
        if path == "/-/kv-move" {
            let (status, body) = self.move_run(&request.body);
            return write_answer(stream, status, &headers, body.as_bytes());
        }
        if path.starts_with("/-/") {
            return write_answer(stream, 404, &headers, b"{}");
        }
        let id = request.header("x-request-id").unwrap_or_default();
        headers.push(("X-Request-Id", id));
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            return write_answer(stream, 421, &headers, b"");
        }
        if id.is_empty() {
            headers.push(("X-Not-Executed", "1"));
            return write_answer(stream, 400, &headers, b"");
        }
        lock(&self.runs).push(Run {
            at: Instant::now(),
            request: id.to_owned(),
            server: self.id.clone(),
        });
        let at_most = request.header("x-deadline-ms").unwrap_or("none");
        let (method, bytes) = (&request.method, request.body.len());
        self.record.line(&format!(
            "server {}: runs {id} ({method} {path}, {bytes} bytes, X-Deadline-Ms {at_most}, X-Tenant {})",
            self.id,
            request.header("x-tenant").unwrap_or("none")
        ));
        thread::sleep(self.work.time);
        self.wait_while_dark();
        let stamp = format!("stamp.{}", self.id);
        headers.push(("X-Server-Stamp", stamp.as_str()));
        if self.work.events == 0 {
            write_answer(stream, 200, &headers, format!("done {id} by {}", self.id).as_bytes())?;
        } else {
            let last = request.header("last-event-id").filter(|_| {
                // Without a copy, a run begins at its first event.
                request.header("kv-from").is_some()
            });
            let last = last.and_then(|text| text.parse().ok()).unwrap_or(0);
            let prompt = request.header("x-token-count").and_then(|text| text.split(',').next());
            let prompt = prompt.and_then(|text| text.parse().ok()).unwrap_or(0);
            let parts = request.header("x-prefix-hash").unwrap_or_default();
            let is_fatal = parts.split(',').any(|part| part.starts_with(FATAL_PART));
            let written = self.stream_events(stream, &headers, id, last, prompt, is_fatal);
            // A stopped run keeps its memory, from which it goes on.
            lock(&self.streams).retain(|run, state| run != id || state.is_stopped);
            written?;
        }
        Ok(())
    }

    /// Copies what is new of the memory of a run to another server, after the copies called for before.
    /// Stops the run first if the call says so.
    fn move_run(&self, body: &[u8]) -> (u16, String) {
        let text = String::from_utf8_lossy(body);
        let field = |name: &str| {
            let rest = text.split(&format!("\"{name}\":\"")).nth(1);
            rest.and_then(|rest| rest.split('"').next()).unwrap_or_default().to_owned()
        };
        let is_last = text.contains("\"last\":true");
        let (id, to) = (field("id"), field("to"));
        let Ok(to) = to.parse::<SocketAddr>() else { return (400, "{}".to_owned()) };
        {
            let mut streams = lock(&self.streams);
            let Some(run) = streams.get_mut(&id) else { return (404, "{}".to_owned()) };
            run.is_stopped |= is_last;
        }
        lock(&self.network.moves).push(MoveCall { from: self.id.clone(), to, is_last });
        self.record.line(&format!("server {}: kv-move of {id} to {to}, last {is_last}", self.id));
        let _link = lock(&self.link);
        let (made, tokens) = {
            let mut streams = lock(&self.streams);
            let Some(run) = streams.get_mut(&id) else { return (404, "{}".to_owned()) };
            let tokens = run.prompt + run.made * EVENT_TOKENS - run.copied;
            run.copied += tokens;
            (run.made, tokens)
        };
        let is_near = lock(&self.network.zones).get(&to) == Some(&self.zone);
        let factor = if is_near { 1.0 } else { 2.0 };
        let seconds = factor * f64::from(tokens) * TOKEN_BYTES * 8.0 / COPY_RATE;
        thread::sleep(Duration::from_secs_f64(seconds));
        self.record.line(&format!("server {}: copied {tokens} tokens of {id} to {to}", self.id));
        (200, format!("{{\"handle\":\"h-{id}\",\"created\":{made}}}"))
    }

    fn stream_events(
        &self,
        stream: &mut TcpStream,
        headers: &[(&str, &str)],
        id: &str,
        last: u32,
        prompt: u32,
        is_fatal: bool,
    ) -> std::io::Result<()> {
        let mut head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                .to_owned();
        for (name, value) in headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        head.push_str("\r\n");
        stream.write_all(head.as_bytes())?;
        if is_fatal {
            self.is_dark.store(true, Ordering::SeqCst);
            let leaves_host = std::env::var_os("CRASH").is_some_and(|value| value == "refused");
            let host = if leaves_host { "refuses connections" } else { "is dark" };
            self.record.line(&format!("server {}: crashed on {id}, its host {host}", self.id));
            if leaves_host {
                self.end();
            }
        }
        self.wait_while_dark();
        for number in last + 1..=self.work.events {
            if number > last + 1 {
                thread::sleep(self.work.pause);
            }
            self.wait_while_dark();
            if self.has_ended.load(Ordering::SeqCst) {
                return Err(std::io::ErrorKind::Interrupted.into());
            }
            let is_stopped = {
                let mut streams = lock(&self.streams);
                let run = streams.entry(id.to_owned()).or_default();
                run.prompt = prompt;
                if !run.is_stopped {
                    run.made = number;
                }
                run.is_stopped
            };
            if is_stopped {
                self.record.line(&format!("server {}: {id} stopped for a move", self.id));
                let _ = stream.shutdown(Shutdown::Both);
                return Err(std::io::ErrorKind::Interrupted.into());
            }
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            let written = write!(stream, "{:x}\r\n{event}\r\n", event.len());
            if let Err(error) = written {
                self.record.line(&format!(
                    "server {}: connection of {id} closed by the caller before event {number}",
                    self.id
                ));
                return Err(error);
            }
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

// ---------------------------------------------------------------------------------------------------
// The installation

struct Instance {
    address: [u8; 4],
    child: Option<Child>,
}

struct Site {
    /// Second and third byte of all addresses.
    prefix: [u8; 2],
    dir: PathBuf,
    record: Arc<Record>,
    runs: Runs,
    network: Arc<ServerNetwork>,
    instances: Vec<Instance>,
}

impl Site {
    fn new(case: &Path) -> std::io::Result<Self> {
        let process = std::process::id();
        let dir = std::env::temp_dir().join(format!("medlarlanding-review-{process}"));
        std::fs::create_dir_all(&dir)?;
        let file = Mutex::new(File::create(case.join("record.txt"))?);
        let record = Arc::new(Record { started: Instant::now(), file });
        let network = [40 + (process % 180) as u8, 1 + (process / 180 % 250) as u8];
        let (runs, instances) = (Runs::default(), Vec::new());
        let servers = Arc::default();
        Ok(Self { prefix: network, dir, record, runs, network: servers, instances })
    }

    fn ip(&self, number: u8) -> [u8; 4] {
        [127, self.prefix[0], self.prefix[1], number]
    }

    fn address(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(number), port))
    }

    fn caller_address(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.instances[index].address, CALLER_PORT))
    }

    /// Starts the processes of the system with the command of the deploy file.
    fn start_instances(&mut self, zones: &[&str], store: SocketAddr) -> std::io::Result<()> {
        let ips: Vec<String> = (0..zones.len())
            .map(|index| self.ip(1 + index as u8).map(|byte| byte.to_string()).join("."))
            .collect();
        let seeds: Vec<String> =
            ips.iter().take(3).map(|ip| format!("\"{ip}:{CONTROL_PORT}\"")).collect();
        let mut names: Vec<&str> = zones.to_vec();
        names.dedup();
        // Settings of the smallest machines of the two installations.
        let (region, memory, slack) =
            if zones[0].starts_with("cairo") { ("cairo", 110, 56) } else { ("gulf-tx", 260, 52) };
        let table: String = names.iter().map(|zone| format!("{zone} = \"{region}\"\n")).collect();
        for (index, zone) in zones.iter().enumerate() {
            let ip = &ips[index];
            let text = format!(
                "nodeName = \"edge-{zone}-{index}\"\nrole = \"entry\"\nmachineClass = \"edge\"\n\
                 serves = [\"edge\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
                 region = \"{region}\"\ninternalPorts = [{PEER_PORT},{}]\nseedNodes = [{}]\n\
                 bootstrap = true\nfaultCounted = false\ndiscovery = \"platform\"\n\
                 entryMode = \"vip\"\nheartbeatMs = {}\n\
                 contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\
                 \"engine\",\"stream\",\"tenants\",\"platform\"]\n[zones]\n{table}\
                 [listen]\nfrontend = \"{ip}:{CALLER_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
                 controlPlane = \"{ip}:{CONTROL_PORT}\"\n\
                 [limits]\ncpuQuota = 0.25\ncpuCores = 1\nmemoryMb = {memory}\nmaxFds = 4100\n\
                 linkMbps = 1000.0\ndiskMb = 0\n\
                 [faultTolerance]\nmachineCount = 2\nzones = 0\nregionCount = 0\n\
                 [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\n\
                 catchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n\
                 configApplyMs = 2000\nrollbackSlackMs = 250\nouterBoundMs = 5000\n\
                 strictRevocation = false\nrevokeMs = 5000\nretryBudgetRatio = 0.2\n\
                 retryWindowS = 10\nbudgetSlack = {slack}\nrecoverS = 12\npassMs = 120\n\
                 reuseWindowS = 7.6\n[platform]\naddress = \"{store}\"\nform = \"read\"\n\
                 writesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\n\
                 ttlMinMs = 1000\n",
                PEER_PORT + 15,
                seeds.join(","),
                HEARTBEAT.as_millis(),
            );
            std::fs::write(self.dir.join(format!("boot-{index}.toml")), text)?;
            let address = self.ip(1 + index as u8);
            self.instances.push(Instance { address, child: None });
            self.start_instance(index)?;
        }
        Ok(())
    }

    fn start_instance(&mut self, index: usize) -> std::io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("instance-{index}.log")))?;
        let child = Command::new("target/release/medlarlanding")
            .args(["forward", "--metrics-port", &METRICS_PORT.to_string()])
            .env("MEDLARLANDING_BOOT", self.dir.join(format!("boot-{index}.toml")))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("instance {index}: started"));
        self.instances[index].child = Some(child);
        Ok(())
    }

    fn is_ready(&self, index: usize) -> bool {
        let address = SocketAddr::from((self.instances[index].address, READY_PORT));
        call(address, "GET", "/-/readyz", &[]).status == 200
    }

    /// Waits until all instances are ready, at most 15 s.
    fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if (0..self.instances.len()).all(|index| self.is_ready(index)) {
                self.record.line("all instances are ready");
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("an instance is not ready".to_owned())
    }

    /// Sends a signal to the process of an instance.
    fn signal(&self, index: usize, name: &str) -> Result<(), String> {
        let child = self.instances[index].child.as_ref().ok_or("no process")?;
        let sent = Command::new("kill").args(["-s", name, &child.id().to_string()]).status();
        self.record.line(&format!("instance {index}: SIG{name}"));
        match sent {
            Ok(status) if status.success() => Ok(()),
            _ => Err(format!("cannot send {name}")),
        }
    }

    /// Sends a request with the tenant's key and records it and its answer.
    fn send(
        &self,
        index: usize,
        method: &str,
        path: &str,
        id: &str,
        more: &[(&str, &str)],
    ) -> Answer {
        self.send_with_key(KEY, index, method, path, id, more)
    }

    fn send_with_key(
        &self,
        key: &str,
        index: usize,
        method: &str,
        path: &str,
        id: &str,
        more: &[(&str, &str)],
    ) -> Answer {
        let authorization = format!("Token {key}");
        let mut headers = vec![("X-Request-Id", id), ("Authorization", authorization.as_str())];
        headers.extend_from_slice(more);
        self.record
            .line(&format!("caller: sends {id} ({method} {path}, {key}) to instance {index}"));
        let answer = call(self.caller_address(index), method, path, &headers);
        let leaving =
            if answer.header("server-leaving").is_some() { ", Server-Leaving" } else { "" };
        self.record.line(&format!("caller: {id} got {}{leaving}", answer.text()));
        answer
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            if let Some(mut child) = instance.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Returns a configuration of the small deployment. `rest` is appended to the routes.
fn config(version: u32, rest: &str) -> String {
    config_with_keys(version, rest, &[KEY])
}

/// Returns a configuration in which the tenant has these keys.
fn config_with_keys(version: u32, rest: &str, keys: &[&str]) -> String {
    let keys = keys.join("\",\"");
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"order\",\"host\":\"{HOST}\",\"prefix\":\"/order/\",\"routeType\":\"unsafe\",\
         \"timeoutMs\":2500,\"goalMs\":150,\"priority\":1,\"service\":\"ledger-app\",\
         \"maxAttempts\":1,\"public\":false}},\
         {{\"name\":\"draft\",\"host\":\"{HOST}\",\"prefix\":\"/draft/\",\"routeType\":\"stream\",\
         \"timeoutMs\":39000,\"goalMs\":1800,\"gapGoalMs\":180,\"priority\":1,\
         \"service\":\"pod-llm\",\"maxAttempts\":1,\"public\":false,\"sticky\":true,\
         \"resumable\":false}}{rest}],\
         \"services\":[{{\"name\":\"ledger-app\",\"maxConnections\":96,\"healthPath\":\"/healthz\"}},\
         {{\"name\":\"pod-llm\",\"maxConnections\":362,\"healthPath\":\"/healthz\",\
         \"engine\":{{\"slots\":48,\"kvCapacity\":34462,\"kvBytes\":18432,\"linkMbps\":2700,\
         \"moves\":true}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"museum\",\"apiKeys\":[\"{keys}\"],\"priority\":1}}]}}"
    )
}

// ---------------------------------------------------------------------------------------------------
// Scenarios

/// Whether the rule held, with a line for the record.
struct Verdict {
    is_kept: bool,
    reason: String,
}

const ZONES: [&str; 3] = ["houston-a", "galveston-b", "freeport-c"];
const ORDER_WORK: ServerWork =
    ServerWork { time: Duration::from_millis(30), events: 0, pause: Duration::ZERO };
const DRAFT_WORK: ServerWork =
    ServerWork { time: Duration::from_millis(250), events: 80, pause: Duration::from_millis(100) };
/// Headers of a generation: 300 prompt tokens and at most 320 output tokens.
const DRAFT_HEADERS: [(&str, &str); 4] = [
    ("X-Model", "m"),
    ("X-Token-Count", "300,320"),
    ("X-Prefix-Hash", "5c1e07a2:200,e4402b7d:100"),
    ("X-Deadline-Ms", "39000"),
];
/// Time after which a leaving server must not get requests, from the settings.
const DRAIN_LIMIT: Duration = Duration::from_millis(2000);

/// Servers report to the store until they have ended.
fn report_status(servers: &[Arc<Server>], store: &Arc<Store>) {
    for server in servers {
        let (server, store) = (Arc::clone(server), Arc::clone(store));
        thread::spawn(move || {
            while !server.has_ended.load(Ordering::SeqCst) {
                server.report(&store);
                thread::sleep(HEARTBEAT);
            }
        });
    }
}

/// The store comes back from a copy some seconds old. A server that started shortly before leaves
/// shortly after.
fn store_copy(site: &mut Site, is_troubled: bool) -> Result<Verdict, String> {
    let zones = ZONES;
    let fail = |error: std::io::Error| error.to_string();
    let store_address = site.address(250, SERVER_PORT);
    let store = Store::start(store_address, Arc::clone(&site.record)).map_err(fail)?;
    store.write("op/config", Some(config(10, "").as_bytes()));
    let start = |number: u8, site: &Site| {
        let zone = zones[usize::from(number) % 3];
        let (order, draft) =
            (site.address(100 + number, SERVER_PORT), site.address(150 + number, SERVER_PORT));
        let order = Server::start(
            &format!("i-ledger-{number}"),
            "ledger-app",
            zone,
            order,
            ORDER_WORK,
            site,
        )?;
        let draft =
            Server::start(&format!("i-pod-{number}"), "pod-llm", zone, draft, DRAFT_WORK, site)?;
        std::io::Result::Ok([order, draft])
    };
    for number in 1..=3 {
        report_status(&start(number, site).map_err(fail)?, &store);
    }
    thread::sleep(Duration::from_millis(300));
    site.start_instances(&zones, store_address).map_err(fail)?;
    site.wait_ready()?;
    thread::sleep(Duration::from_secs(3));

    // Two servers are added. Their entries change with each report while they are cold.
    let added = start(4, site).map_err(fail)?;
    for server in &added {
        server.cold_ms.store(3600, Ordering::SeqCst);
    }
    report_status(&added, &store);
    for _ in 0..3 {
        thread::sleep(HEARTBEAT);
        for server in &added {
            server.cold_ms.fetch_sub(1200, Ordering::SeqCst);
        }
    }
    thread::sleep(HEARTBEAT + Duration::from_millis(300));

    if is_troubled {
        store.drill(Duration::from_secs(1), Duration::from_secs(6), false);
    } else {
        thread::sleep(Duration::from_secs(1));
    }
    let back = Instant::now();
    // contactMs is 3 s: then the store is stable and the machines are in touch.
    let calls_before = lock(&store.state).calls;
    thread::sleep(Duration::from_millis(3500));
    let calls = lock(&store.state).calls - calls_before;
    site.record.line(&format!("store: {calls} calls in the last 3.5 s"));

    let drafts: Vec<_> = thread::scope(|scope| {
        let site = &*site;
        let drafting: Vec<_> = (0..12)
            .map(|number| {
                let id = format!("draft-{number:02}");
                let handle = scope.spawn({
                    let id = id.clone();
                    move || site.send(number % 3, "POST", "/draft/a", &id, &DRAFT_HEADERS)
                });
                thread::sleep(Duration::from_millis(50));
                (id, handle)
            })
            .collect();
        thread::sleep(Duration::from_secs(1));
        // The added servers leave. Nothing is sent to the services until drainMs have passed.
        for server in &added {
            server.is_leaving.store(true, Ordering::SeqCst);
            server.report(&store);
        }
        let left = Instant::now();
        site.record.line(&format!(
            "store has acknowledged that the added servers leave, {:.1} s after its return",
            left.duration_since(back).as_secs_f64()
        ));
        thread::sleep(DRAIN_LIMIT + Duration::from_millis(300));
        for number in 0..18 {
            let id = format!("order-{number:02}");
            site.send(number % 3, "POST", "/order/a", &id, &[("X-Deadline-Ms", "600")]);
        }
        thread::sleep(
            (left + Duration::from_millis(3500)).saturating_duration_since(Instant::now()),
        );
        for server in &added {
            server.end();
            store.write(&server.key(), None);
        }
        let answers = drafting.into_iter().map(|(id, handle)| (id, handle.join(), left));
        answers.collect()
    });
    let left = drafts.first().map(|(_, _, left)| *left).ok_or("no draft")?;
    let late = |run: &&Run| {
        run.request.starts_with("order-")
            && run.server == "i-ledger-4"
            && run.at > left + DRAIN_LIMIT
    };
    let late_runs = lock(&site.runs).iter().filter(late).count();
    let is_whole = |answer: &Answer| answer.is_complete && answer.event_count() == 80;
    let cut = drafts.iter().filter(|(_, answer, _)| !answer.as_ref().is_ok_and(is_whole)).count();
    let reason = format!(
        "{late_runs} of 18 orders sent 2.3 s or more after the acknowledgement reached the server that \
         leaves; {cut} of 12 streams were cut or refused"
    );
    Ok(Verdict { is_kept: late_runs == 0, reason })
}

/// Starts the store, three plain servers, engines and three instances.
fn start_site(
    site: &mut Site,
    zones: [&str; 3],
    config: &str,
    draft: ServerWork,
    engines: u8,
) -> Result<(Arc<Store>, Vec<Arc<Server>>), String> {
    let fail = |error: std::io::Error| error.to_string();
    let store_address = site.address(250, SERVER_PORT);
    let store = Store::start(store_address, Arc::clone(&site.record)).map_err(fail)?;
    store.write("op/config", Some(config.as_bytes()));
    let mut started = Vec::new();
    for number in 1..=engines {
        let zone = zones[usize::from(number) % 3];
        if number <= 3 {
            let (id, address) =
                (format!("i-ledger-{number}"), site.address(100 + number, SERVER_PORT));
            let server = Server::start(&id, "ledger-app", zone, address, ORDER_WORK, site);
            report_status(&[server.map_err(fail)?], &store);
        }
        let (id, address) = (format!("i-pod-{number}"), site.address(150 + number, SERVER_PORT));
        started.push(Server::start(&id, "pod-llm", zone, address, draft, site).map_err(fail)?);
    }
    report_status(&started, &store);
    thread::sleep(Duration::from_millis(300));
    site.start_instances(&zones, store_address).map_err(fail)?;
    site.wait_ready()?;
    thread::sleep(Duration::from_secs(3));
    Ok((store, started))
}

/// Key that the operator withdraws.
const OLD_KEY: &str = "withdrawn-key";
/// configApplyMs and outerBoundMs of the settings.
const CONFIG_LIMIT: Duration = Duration::from_millis(7000);

/// The store comes back from a copy some seconds old, and the operator withdraws a key.
fn store_key(site: &mut Site, is_troubled: bool) -> Result<Verdict, String> {
    let keys = [KEY, OLD_KEY];
    let (store, _) = start_site(site, ZONES, &config_with_keys(10, "", &keys), DRAFT_WORK, 3)?;
    let route = |name: &str| {
        format!(
            ",{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\
             \"routeType\":\"safe\",\"timeoutMs\":2500,\"goalMs\":150,\"priority\":1,\
             \"service\":\"ledger-app\",\"maxAttempts\":2,\"public\":false}}"
        )
    };
    let publish = |version: u32, rest: &str, keys: &[&str]| {
        let text = config_with_keys(version, rest, keys);
        let revision = store.write("op/config", Some(text.as_bytes()));
        let names = keys.join(" and ");
        site.record
            .line(&format!("operator: version {version} with {names}, revision {revision:?}"));
    };
    let (one, two) = (route("lookup-1"), route("lookup-1") + &route("lookup-2"));
    // Two changes of the configuration, the last 2 s before the drill.
    publish(12, &one, &[KEY, OLD_KEY]);
    thread::sleep(Duration::from_secs(1));
    publish(15, &two, &[KEY, OLD_KEY]);
    thread::sleep(Duration::from_secs(2));
    let send = |key: &str, index: usize, id: &str| {
        site.send_with_key(key, index, "POST", "/order/a", id, &[("X-Deadline-Ms", "600")])
    };
    for index in 0..3 {
        send(OLD_KEY, index, &format!("before-{index}"));
    }
    if is_troubled {
        store.drill(Duration::from_millis(500), Duration::from_secs(5), true);
        // The operator's newest configuration is written again.
        thread::sleep(Duration::from_millis(50));
        publish(15, &two, &[KEY, OLD_KEY]);
    } else {
        thread::sleep(Duration::from_millis(550));
    }
    thread::sleep(Duration::from_millis(300));
    publish(18, &two, &[KEY]);
    let withdrawn = Instant::now();
    thread::sleep(CONFIG_LIMIT);
    let mut accepted = 0;
    for number in 0..24 {
        let id = format!("after-{number:02}");
        accepted += u32::from(send(OLD_KEY, number % 3, &id).status == 200);
        thread::sleep(Duration::from_millis(500));
    }
    let elapsed = withdrawn.elapsed().as_secs();
    let run = lock(&site.runs).iter().filter(|run| run.request.starts_with("after-")).count();
    let reason = format!(
        "{accepted} of 24 requests with a key withdrawn 7 to {elapsed} s before were answered with 200; \
         servers ran {run} of them"
    );
    Ok(Verdict { is_kept: run == 0, reason })
}

/// Chooses instances for new channels as the platform does: it asks each once a second whether it is
/// ready, and takes one out after two misses, unless fewer than half would be left.
struct Balancer {
    addresses: Vec<SocketAddr>,
    misses: Mutex<Vec<u32>>,
    next: AtomicU64,
}

impl Balancer {
    fn start(site: &Site) -> Arc<Self> {
        let addresses: Vec<SocketAddr> = site
            .instances
            .iter()
            .map(|instance| SocketAddr::from((instance.address, READY_PORT)))
            .collect();
        let misses = Mutex::new(vec![0; addresses.len()]);
        let balancer = Arc::new(Self { addresses, misses, next: AtomicU64::new(0) });
        let shared = Arc::clone(&balancer);
        thread::spawn(move || {
            loop {
                for (index, address) in shared.addresses.iter().enumerate() {
                    let is_ready = call(*address, "GET", "/-/readyz", &[]).status == 200;
                    let misses = &mut lock(&shared.misses)[index];
                    *misses = if is_ready { 0 } else { *misses + 1 };
                }
                thread::sleep(Duration::from_secs(1));
            }
        });
        balancer
    }

    fn choose(&self) -> usize {
        let misses = lock(&self.misses);
        let mut usable: Vec<usize> = (0..misses.len()).filter(|it| misses[*it] < 2).collect();
        if usable.len() * 2 < misses.len() {
            usable = (0..misses.len()).collect();
        }
        let next = self.next.fetch_add(1, Ordering::SeqCst) as usize;
        usable[next % usable.len()]
    }
}

/// Two of the three instances of a zone are stopped a second apart, so that the platform sends new
/// channels to all three again. Callers begin generations.
fn late_stream(site: &mut Site, is_troubled: bool) -> Result<Verdict, String> {
    // An event each 150 ms is within the pauses of 180 ms that count as on time.
    let work = ServerWork {
        time: Duration::from_millis(250),
        events: 30,
        pause: Duration::from_millis(150),
    };
    start_site(site, ["cairo-giza"; 3], &config(10, ""), work, 3)?;
    let balancer = Balancer::start(site);
    let stops = [Duration::from_millis(500), Duration::from_millis(1500)];
    let begun = Instant::now();
    let answers: Vec<(usize, Instant, Answer)> = thread::scope(|scope| {
        let site = &*site;
        scope.spawn(move || {
            for (index, stop) in stops.iter().enumerate().filter(|_| is_troubled) {
                thread::sleep((begun + *stop).saturating_duration_since(Instant::now()));
                if let Err(error) = site.signal(index, "TERM") {
                    site.record.line(&error);
                }
            }
        });
        let sending: Vec<_> = (0..60)
            .map(|number| {
                let balancer = &balancer;
                let handle = scope.spawn(move || {
                    let headers = [
                        ("X-Model", "m"),
                        ("X-Token-Count", "300,120"),
                        ("X-Deadline-Ms", "39000"),
                    ];
                    let (index, sent_at) = (balancer.choose(), Instant::now());
                    let id = format!("draft-{number:02}");
                    (index, sent_at, site.send(index, "POST", "/draft/a", &id, &headers))
                });
                thread::sleep(Duration::from_millis(100));
                handle
            })
            .collect();
        sending.into_iter().filter_map(|handle| handle.join().ok()).collect()
    });
    let is_late = |(index, sent_at, _): &&(usize, Instant, Answer)| {
        stops.get(*index).is_some_and(|stop| *sent_at > begun + *stop + Duration::from_secs(3))
    };
    let late: Vec<_> = answers.iter().filter(is_late).collect();
    let is_cut = |answer: &Answer| answer.status == 200 && !answer.is_complete;
    let cut = late.iter().filter(|(_, _, answer)| is_cut(answer)).count();
    let whole =
        late.iter().filter(|(_, _, answer)| answer.status == 200 && answer.is_complete).count();
    let refused = late.iter().filter(|(_, _, answer)| answer.status == 503).count();
    let reason = format!(
        "of {} streams that were sent to an instance more than 3 s after its SIGTERM, {cut} were begun and \
         cut off, {whole} were answered whole and {refused} refused",
        late.len()
    );
    Ok(Verdict { is_kept: cut == 0, reason })
}

/// Part of prompts on which engines crash.
const FATAL_PART: &str = "dead0001:";
/// Time after which a crashed engine is back.
const CRASH_TIME: Duration = Duration::from_millis(4500);
/// contactMs of the settings.
const CONTACT: Duration = Duration::from_millis(3000);

/// Keeps the host of a crashed server dark: connections to it are not established. Brings the server
/// back later, as a new start.
fn play_crash(server: &Arc<Server>, store: &Arc<Store>, number: usize, site: &Site) -> Arc<Server> {
    // The queue of the listener is filled, so that the kernel drops the packets that open further ones.
    let mut fillers = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&server.address, Duration::from_millis(30)) {
        fillers.push(stream);
    }
    thread::sleep(HEARTBEAT * 3);
    store.write(&server.key(), None);
    thread::sleep(CRASH_TIME.saturating_sub(HEARTBEAT * 3));
    server.end();
    drop(fillers);
    let id = server.id.split("-s").next().unwrap_or_default().to_owned();
    loop {
        thread::sleep(Duration::from_millis(10));
        let started = Server::start(
            &format!("{id}-s{number}"),
            &server.service,
            &server.zone,
            server.address,
            server.work,
            site,
        );
        if let Ok(next) = started {
            report_status(&[Arc::clone(&next)], store);
            return next;
        }
    }
}

/// A part of prompts crashes each engine that begins to write on it. The host of a crashed engine is dark
/// until the engine is back.
fn dark_crash(site: &mut Site, is_troubled: bool) -> Result<Verdict, String> {
    let work = ServerWork {
        time: Duration::from_millis(100),
        events: 10,
        pause: Duration::from_millis(30),
    };
    let (store, engines) = start_site(site, ZONES, &config(10, ""), work, 9)?;
    let crashes: Mutex<Vec<Instant>> = Mutex::default();
    let is_over = AtomicBool::new(false);
    let sound: Vec<bool> = thread::scope(|scope| {
        let site = &*site;
        for engine in engines {
            let (store, crashes, is_over) = (&store, &crashes, &is_over);
            scope.spawn(move || {
                let (mut engine, mut number) = (engine, 0);
                while !is_over.load(Ordering::SeqCst) {
                    if engine.is_dark.load(Ordering::SeqCst) {
                        lock(crashes).push(Instant::now());
                        number += 1;
                        engine = play_crash(&engine, store, number, site);
                    }
                    thread::sleep(Duration::from_millis(1));
                }
            });
        }
        let begun = Instant::now();
        let mut sending = Vec::new();
        for number in 0..360usize {
            let is_fatal = is_troubled && number % 9 == 4;
            sending.push(scope.spawn(move || {
                let id = format!("{}-{number:03}", if is_fatal { "fatal" } else { "sound" });
                let middle =
                    if is_fatal { "dead0001".to_owned() } else { format!("b{:x}", number % 7) };
                let parts = format!("a1:350,{middle}:400,c{number:04x}:100");
                let headers = [
                    ("X-Model", "m"),
                    ("X-Token-Count", "850,40"),
                    ("X-Prefix-Hash", parts.as_str()),
                    ("X-Deadline-Ms", "6000"),
                ];
                let answer = site.send(number % 3, "POST", "/draft/a", &id, &headers);
                (!is_fatal).then(|| answer.status == 200 && answer.is_complete)
            }));
            let next = begun + Duration::from_millis(100) * (number as u32 + 1);
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        let results =
            sending.into_iter().filter_map(|handle| handle.join().ok().flatten()).collect();
        is_over.store(true, Ordering::SeqCst);
        results
    });
    let mut crashes = lock(&crashes).clone();
    crashes.sort_unstable();
    let known_at = crashes.get(4).map(|fifth| *fifth + CONTACT);
    let late = known_at.map_or(0, |known_at| {
        let late = |run: &&Run| run.request.starts_with("fatal-") && run.at > known_at;
        lock(&site.runs).iter().filter(late).count()
    });
    let served = sound.iter().filter(|is_served| **is_served).count();
    let reason = format!(
        "{} engines crashed; {late} requests with the part reached engines later than 3 s after the fifth \
         crash; {served} of {} sound requests were answered whole",
        crashes.len(),
        sound.len()
    );
    Ok(Verdict { is_kept: late <= 3, reason })
}

/// Two engines leave, the second one just after it was chosen as the destination of a run of the first.
fn leaving_destination(site: &mut Site, is_troubled: bool) -> Result<Verdict, String> {
    let work = ServerWork {
        time: Duration::from_millis(250),
        events: 130,
        pause: Duration::from_millis(100),
    };
    let (store, engines) = start_site(site, ZONES, &config(10, ""), work, 9)?;
    let leave = |engine: &Server| {
        engine.is_leaving.store(true, Ordering::SeqCst);
        engine.report(&store);
        Instant::now()
    };
    let (left, answers) = thread::scope(|scope| {
        let (site, engines) = (&*site, &engines);
        let sending: Vec<_> = (0..81)
            .map(|number| {
                let handle = scope.spawn(move || {
                    let headers = [
                        ("X-Model", "m"),
                        ("X-Token-Count", "3000,520"),
                        ("X-Length-Hint", "120"),
                        ("X-Deadline-Ms", "39000"),
                    ];
                    site.send(
                        number % 3,
                        "POST",
                        "/draft/a",
                        &format!("draft-{number:02}"),
                        &headers,
                    )
                });
                thread::sleep(Duration::from_millis(30));
                handle
            })
            .collect();
        thread::sleep(Duration::from_secs(1));
        let most = engines.iter().max_by_key(|engine| lock(&engine.streams).len());
        let first = most.map(Arc::clone);
        let mut second: Option<(Arc<Server>, Instant)> = None;
        if let Some(first) = &first {
            leave(first);
            thread::sleep(Duration::from_millis(250));
            let calls = lock(&site.network.moves).clone();
            let last = calls.iter().rfind(|call| call.from == first.id && !call.is_last);
            let destination = last.and_then(|call| engines.iter().find(|it| it.address == call.to));
            if let Some(destination) = destination.filter(|_| is_troubled) {
                second = Some((Arc::clone(destination), leave(destination)));
            }
        }
        if let Some((engine, left)) = &second {
            thread::sleep(
                (*left + Duration::from_millis(4500)).saturating_duration_since(Instant::now()),
            );
            engine.end();
            store.write(&engine.key(), None);
        }
        let answers: Vec<Answer> =
            sending.into_iter().filter_map(|handle| handle.join().ok()).collect();
        (second, answers)
    });
    let late = left.as_ref().map_or(0, |(engine, left)| {
        let is_late = |run: &&Run| run.server == engine.id && run.at > *left + DRAIN_LIMIT;
        lock(&site.runs).iter().filter(is_late).count()
    });
    let whole = answers.iter().filter(|it| it.is_complete && it.event_count() == 130).count();
    let refused = answers.iter().filter(|answer| answer.status == 503).count();
    let cut = answers.len() - whole - refused;
    let reason = format!(
        "{late} requests reached the second engine later than 2 s after the store had acknowledged that it \
         leaves; of {} streams {whole} were whole, {refused} refused and {cut} cut",
        answers.len()
    );
    Ok(Verdict { is_kept: late == 0, reason })
}

fn main() {
    let mut words = std::env::args().skip(1);
    let (scenario, case) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let is_troubled = !std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let mut site = match Site::new(Path::new(&case)) {
        Ok(site) => site,
        Err(error) => {
            eprintln!("cannot start: {error}");
            std::process::exit(2);
        },
    };
    let record = Arc::clone(&site.record);
    record.line(&format!("scenario {scenario}, with the disruption: {is_troubled}"));
    let result = match scenario.as_str() {
        "store-copy" => store_copy(&mut site, is_troubled),
        "store-key" => store_key(&mut site, is_troubled),
        "leaving-destination" => leaving_destination(&mut site, is_troubled),
        "dark-crash" => dark_crash(&mut site, is_troubled),
        "late-stream" => late_stream(&mut site, is_troubled),
        other => Err(format!("unknown scenario {other}")),
    };
    drop(site);
    let (code, text) = match result {
        Ok(Verdict { is_kept: true, reason }) => (0, format!("kept: {reason}")),
        Ok(Verdict { is_kept: false, reason }) => (1, format!("broken: {reason}")),
        Err(reason) => (2, format!("could not run: {reason}")),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
