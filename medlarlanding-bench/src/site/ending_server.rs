//! Stand-in for servers that end, restart or fall silent in the middle of their answers, whose bodies
//! are delimited in every way that HTTP allows. Writes raw bytes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::faulty_server::{head_field, read_message};
use super::move_script::{COPY_TIME, MoveScript, ResumeMode, StopFault, StreamClose};
use super::state::{RunRecord, SiteState};

use serde_json::{Value, json};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Time for which the listener of an ended server stays open with `EndMode::ListenerOutlives`.
const LISTENER_TIME: Duration = Duration::from_millis(400);
/// Parts of a moved run after which its new server ends.
const CONTINUED_PARTS: usize = 5;
/// Header of a request: number of parts of the answer, 6 if it is missing.
pub const PARTS_HEADER: &str = "x-test-parts";
/// Header of a request: bytes of a part of a whole answer, or of the text of an event if these are more
/// than usual; 16 if it is missing.
pub const PART_BYTES_HEADER: &str = "x-test-part-bytes";
/// Bytes of the text of an event that are not padded.
const EVENT_BYTES: usize = 16;
/// Header of a request: milliseconds between two parts, 0 if it is missing.
pub const INTERVAL_HEADER: &str = "x-test-interval-ms";

/// Path of the servers' health check.
pub const HEALTH_PATH: &str = "/healthz";

/// How an answer delimits its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyDelimiter {
    /// By a length.
    Length,
    /// By chunks.
    Chunks,
    /// By the end of the connection.
    Connection,
    /// By the end of the connection, in HTTP/1.0.
    OldConnection,
    /// By the end of the connection, although the headers name a transfer coding.
    CodedConnection,
}

impl BodyDelimiter {
    /// All delimiters.
    pub const ALL: [Self; 5] =
        [Self::Length, Self::Chunks, Self::Connection, Self::OldConnection, Self::CodedConnection];

    /// Returns whether a truncated body violates its delimiter.
    pub fn is_declared(self) -> bool {
        matches!(self, Self::Length | Self::Chunks)
    }
}

/// How a server ends or falls silent in the middle of its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndMode {
    /// It completes its answers and continues to serve.
    Lives,
    /// It completes its answers and ends in the same moment.
    EndsAfterAnswers,
    /// It ends: its listener and its connections close.
    Ends,
    /// It ends: its connections close, and its listener 0.4 s later.
    ListenerOutlives,
    /// The connections of its answers close, and it answers nothing more.
    Freezes,
    /// It ends, and another start of it serves at the same address at once.
    Restarts,
    /// It ends and its connections are reset.
    Resets,
    /// The connections of its answers stay open, and it writes nothing more.
    FallsSilent,
}

impl EndMode {
    /// All modes.
    pub const ALL: [Self; 8] = [
        Self::Lives,
        Self::EndsAfterAnswers,
        Self::Ends,
        Self::ListenerOutlives,
        Self::Freezes,
        Self::Restarts,
        Self::Resets,
        Self::FallsSilent,
    ];

    /// Returns whether answers break off.
    pub fn breaks_answers(self) -> bool {
        !matches!(self, Self::Lives | Self::EndsAfterAnswers)
    }
}

/// State of the process that the stand-in plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    /// Serves; the number of its start.
    Serving(u64),
    /// Its connections are closed; the listener accepts and nothing is answered.
    ListenerOnly,
    /// Accepts and answers nothing.
    Frozen,
    Ended,
}

#[derive(Debug)]
struct ServerShared {
    id: String,
    delimiter: BodyDelimiter,
    end_mode: EndMode,
    process: watch::Sender<ProcessState>,
    /// Answers wait in their middle until this is set.
    released: watch::Sender<bool>,
    paused: AtomicUsize,
    connections: AtomicUsize,
    says_leaving: AtomicBool,
    /// Milliseconds for which the server wants no requests from an instance that it refuses; 0 if it
    /// refuses none.
    hold_ms: AtomicU64,
    /// Milliseconds for which the server says that it is cold in answers about itself; 0 if it says
    /// nothing.
    cold_ms: AtomicU64,
    /// Status of answers about itself, which need not be one; `None` for the usual one.
    call_status: Mutex<Option<String>>,
    /// Requests that reached the server, with the times at which they did.
    arrivals: Mutex<Vec<(String, Instant)>>,
    /// Request whose run is to stop for a move.
    stopped_run: watch::Sender<Option<String>>,
    /// The run of a final copy completes on its own at that moment.
    completes_on_move: AtomicBool,
    move_script: Mutex<MoveScript>,
    /// Calls to stop a run so far.
    stop_calls: AtomicUsize,
    /// When the first run that goes on here arrived.
    continued_at: Mutex<Option<Instant>>,
    /// The stream of the run that is copied breaks off.
    breaks_stream: AtomicBool,
    /// When the server stopped working on a run.
    worked_until: Mutex<Option<Instant>>,
    /// When the first answer ended.
    ended_at: Mutex<Option<Instant>>,
    state: Arc<SiteState>,
}

/// Control of one stand-in.
#[derive(Clone, Debug)]
pub struct EndingServer {
    /// Address of the server.
    pub address: SocketAddr,
    shared: Arc<ServerShared>,
}

impl EndingServer {
    /// Starts a server on the current runtime.
    pub(super) fn spawn(
        listener: TcpListener,
        id: String,
        delimiter: BodyDelimiter,
        end_mode: EndMode,
        state: Arc<SiteState>,
    ) -> anyhow::Result<Self> {
        let address = listener.local_addr()?;
        let shared = Arc::new(ServerShared {
            id,
            delimiter,
            end_mode,
            process: watch::Sender::new(ProcessState::Serving(1)),
            released: watch::Sender::new(false),
            paused: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            says_leaving: AtomicBool::new(false),
            hold_ms: AtomicU64::new(0),
            cold_ms: AtomicU64::new(0),
            call_status: Mutex::default(),
            arrivals: Mutex::default(),
            stopped_run: watch::Sender::new(None),
            completes_on_move: AtomicBool::new(false),
            move_script: Mutex::default(),
            stop_calls: AtomicUsize::new(0),
            continued_at: Mutex::default(),
            breaks_stream: AtomicBool::new(false),
            worked_until: Mutex::default(),
            ended_at: Mutex::new(None),
            state,
        });
        tokio::spawn(run_listener(listener, Arc::clone(&shared)));
        Ok(Self { address, shared })
    }

    /// Returns the id of the server.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Returns the number of answers that have reached their middle.
    pub fn paused(&self) -> usize {
        self.shared.paused.load(Ordering::Relaxed)
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Lets answers go on from their middle, where the server ends as its mode says.
    pub fn release(&self) {
        self.shared.released.send_replace(true);
    }

    /// Adds the header to all answers in which a server says that it leaves.
    pub fn say_leaving(&self) {
        self.shared.says_leaving.store(true, Ordering::Relaxed);
    }

    /// Refuses requests and wants no further ones from the instance for this time; zero refuses none.
    pub fn set_hold(&self, hold: Duration) {
        self.shared.hold_ms.store(hold.as_millis() as u64, Ordering::Relaxed);
    }

    /// Says in answers about itself that it stays cold for this time.
    pub fn say_cold(&self, remaining: Duration) {
        self.shared.cold_ms.store(remaining.as_millis() as u64, Ordering::Relaxed);
    }

    /// Gives answers about itself this status.
    pub fn set_call_status(&self, status: &str) {
        let mut call_status =
            self.shared.call_status.lock().unwrap_or_else(PoisonError::into_inner);
        *call_status = Some(status.to_owned());
    }

    /// Returns the ids of the requests that reached the server, with the times at which they did.
    pub fn arrivals(&self) -> Vec<(String, Instant)> {
        self.shared.arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Makes runs complete on their own at the moment at which a move stops them.
    pub fn complete_on_move(&self) {
        self.shared.completes_on_move.store(true, Ordering::Relaxed);
    }

    /// Sets what the server does when runs move.
    pub fn set_move_script(&self, script: MoveScript) {
        *self.shared.move_script.lock().unwrap_or_else(PoisonError::into_inner) = script;
    }

    /// Returns when the server stopped working on its run; `None` while it works.
    pub fn worked_until(&self) -> Option<Instant> {
        *self.shared.worked_until.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns when the first answer ended.
    pub fn ended_at(&self) -> Option<Instant> {
        *self.shared.ended_at.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn run_listener(listener: TcpListener, shared: Arc<ServerShared>) {
    let mut process = shared.process.subscribe();
    let mut connections = JoinSet::new();
    let mut ends_at = None;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = process.changed() => {
                if changed.is_err() {
                    return;
                }
                match *process.borrow_and_update() {
                    ProcessState::Serving(_) => {},
                    ProcessState::Frozen => continue,
                    ProcessState::ListenerOnly => {
                        ends_at = Some(tokio::time::Instant::now() + LISTENER_TIME);
                    },
                    ProcessState::Ended => return,
                }
                // The connections of the process that has ended.
                connections.abort_all();
                continue;
            },
            () = sleep_until(ends_at) => return,
        };
        let Ok((stream, _)) = accepted else { return };
        shared.connections.fetch_add(1, Ordering::Relaxed);
        let shared = Arc::clone(&shared);
        connections.spawn(async move {
            let process = *shared.process.borrow();
            let start = match process {
                ProcessState::Serving(start) => start,
                ProcessState::ListenerOnly | ProcessState::Frozen | ProcessState::Ended => {
                    // Keeps the connection open.
                    let _stream = stream;
                    return std::future::pending().await;
                },
            };
            // Serving fails when the instance closes the connection, which is expected.
            let _ = shared.serve(stream, start).await;
        });
    }
}

/// Waits until a time; without one, forever.
async fn sleep_until(time: Option<tokio::time::Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}

impl ServerShared {
    async fn serve(&self, mut stream: TcpStream, start: u64) -> anyhow::Result<()> {
        let (head, body) = read_message(&mut stream).await?;
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let leaving = match self.says_leaving.load(Ordering::Relaxed) {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        if path == HEALTH_PATH || path.starts_with("/-/") {
            let Some((status, body)) = self.answer_call(&path, &body, start).await else {
                return Ok(SockRef::from(&stream).set_linger(Some(Duration::ZERO))?);
            };
            let cold = match self.cold_ms.load(Ordering::Relaxed) {
                0 => String::new(),
                millis => format!("X-Cold-Ms: {millis}\r\n"),
            };
            let odd = self.call_status.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let status = odd.unwrap_or_else(|| status.to_string());
            let answer = format!(
                "HTTP/1.1 {status} Status\r\n{leaving}{cold}X-Instance-Id: {}\r\nContent-Length: {}\r\n\r\n\
                 {body}",
                self.id,
                body.len()
            );
            return Ok(stream.write_all(answer.as_bytes()).await?);
        }
        let field = |name: &str| head_field(&head, name);
        let number =
            |name: &str, usual| field(name).and_then(|text| text.parse().ok()).unwrap_or(usual);
        let request = field("x-request-id").unwrap_or_default();
        if field("x-expect-instance").as_deref() != Some(&*self.id) {
            let answer = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
            return Ok(stream.write_all(answer.as_bytes()).await?);
        }
        let arrival = (request.clone(), Instant::now());
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner).push(arrival);
        let hold = self.hold_ms.load(Ordering::Relaxed);
        if hold > 0 {
            let answer = format!(
                "HTTP/1.1 503 Service Unavailable\r\n{leaving}X-Not-Executed: 1\r\n\
                 Retry-After: {}\r\nContent-Length: 0\r\n\r\n",
                hold as f64 / 1e3
            );
            return Ok(stream.write_all(answer.as_bytes()).await?);
        }
        let is_continued = field("kv-from").is_some();
        if is_continued
            && (self.completes_on_move.load(Ordering::Relaxed) || self.refuses_run(&request))
        {
            // The remainder of the run has not arrived; that of a run that completed never does.
            let answer = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return Ok(stream.write_all(answer.as_bytes()).await?);
        }
        self.state.lock().runs.push(RunRecord {
            request: request.clone(),
            server: self.id.clone(),
            customer: None,
            is_continued,
            headers: Vec::new(),
            at: Instant::now(),
        });
        let first = 1 + if is_continued { number("last-event-id", 0) } else { 0 };
        let (count, part_bytes) = (number(PARTS_HEADER, 6), number(PART_BYTES_HEADER, EVENT_BYTES));
        let interval = Duration::from_millis(number(INTERVAL_HEADER, 0) as u64);
        let is_stream = path.starts_with("/draft");
        let padding = " ".repeat(part_bytes.saturating_sub(EVENT_BYTES));
        let parts: Vec<String> = (first..=count)
            .map(|number| match is_stream {
                true => format!("id: {number}\ndata: {request} {number}{padding}\n\n"),
                false => format!("{number:0>part_bytes$}"),
            })
            .collect();
        let length: usize = parts.iter().map(String::len).sum();
        let version = if self.delimiter == BodyDelimiter::OldConnection { "1.0" } else { "1.1" };
        let delimiter = match self.delimiter {
            BodyDelimiter::Length => format!("Content-Length: {length}\r\n"),
            BodyDelimiter::Chunks => "Transfer-Encoding: chunked\r\n".to_owned(),
            BodyDelimiter::Connection | BodyDelimiter::OldConnection => String::new(),
            BodyDelimiter::CodedConnection => "Transfer-Encoding: identity\r\n".to_owned(),
        };
        let kind = if is_stream { "text/event-stream" } else { "application/octet-stream" };
        let answer_head = format!(
            "HTTP/{version} 200 OK\r\nX-Request-Id: {request}\r\nX-Server-Stamp: stamp-{}\r\n\
             Content-Type: {kind}\r\n{leaving}{delimiter}\r\n",
            self.id
        );
        stream.write_all(answer_head.as_bytes()).await?;
        let middle = match (interval.is_zero(), is_continued && self.end_mode.breaks_answers()) {
            (true, _) => parts.len() / 2,
            (false, true) => CONTINUED_PARTS,
            // Runs that are to move do not wait in their middle.
            (false, false) => usize::MAX,
        };
        for (index, part) in parts.iter().enumerate() {
            if index == middle {
                self.paused.fetch_add(1, Ordering::Relaxed);
                // The sender lives as long as this server.
                let _ = self.released.subscribe().wait_for(|released| *released).await;
                if self.end_mode.breaks_answers() {
                    return self.end_process(stream).await;
                }
            }
            if self.stopped_run.borrow().as_deref() == Some(&*request) {
                self.note_stop();
                if self.end_mode.breaks_answers() {
                    return self.end_process(stream).await;
                }
                let fault = self.script().stop_fault;
                if self.completes_on_move.load(Ordering::Relaxed)
                    || fault == StopFault::CompletesUnanswered
                {
                    // The run was at its last event.
                    return self.write_end(&mut stream).await;
                }
                return self.close_stream(&mut stream).await;
            }
            if self.breaks_stream.load(Ordering::Relaxed) {
                self.close_stream(&mut stream).await?;
                drop(stream);
                return self.work_on(&request, interval, parts.len() - index).await;
            }
            let text = match self.delimiter {
                BodyDelimiter::Chunks => format!("{:x}\r\n{part}\r\n", part.len()),
                _ => part.clone(),
            };
            stream.write_all(text.as_bytes()).await?;
            tokio::time::sleep(interval).await;
        }
        self.write_end(&mut stream).await?;
        if self.end_mode == EndMode::EndsAfterAnswers {
            stream.shutdown().await?;
            self.process.send_replace(ProcessState::Ended);
        }
        Ok(())
    }

    fn script(&self) -> MoveScript {
        *self.move_script.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a run that is to go on here is refused.
    fn refuses_run(&self, request: &str) -> bool {
        let mut continued_at = self.continued_at.lock().unwrap_or_else(PoisonError::into_inner);
        let continued_at = *continued_at.get_or_insert_with(Instant::now);
        match self.script().resume_mode {
            ResumeMode::Accepts => false,
            ResumeMode::AcceptsLate => {
                let is_source = self.stopped_run.borrow().as_deref() == Some(request);
                let stopped_at = self.state.lock().stops.get(request).copied();
                let copied_from = stopped_at.filter(|_| !is_source).unwrap_or(continued_at);
                copied_from.elapsed() < ResumeMode::REFUSAL_TIME
            },
            ResumeMode::Refuses => true,
        }
    }

    /// Closes the connection of a stream that is not complete.
    async fn close_stream(&self, stream: &mut TcpStream) -> anyhow::Result<()> {
        if self.script().stream_close == StreamClose::Reset {
            return Ok(SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?);
        }
        Ok(stream.shutdown().await?)
    }

    /// Works on a run without a connection until it completes or is stopped.
    async fn work_on(&self, request: &str, interval: Duration, parts: usize) -> anyhow::Result<()> {
        for _ in 0..parts {
            tokio::time::sleep(interval).await;
            if self.stopped_run.borrow().as_deref() == Some(request) {
                break;
            }
        }
        self.note_stop();
        Ok(())
    }

    fn note_stop(&self) {
        let mut worked_until = self.worked_until.lock().unwrap_or_else(PoisonError::into_inner);
        worked_until.get_or_insert_with(Instant::now);
    }

    async fn write_end(&self, stream: &mut TcpStream) -> anyhow::Result<()> {
        if self.delimiter == BodyDelimiter::Chunks {
            stream.write_all(b"0\r\n\r\n").await?;
        }
        self.note_end();
        Ok(stream.shutdown().await?)
    }

    fn note_end(&self) {
        let mut ended_at = self.ended_at.lock().unwrap_or_else(PoisonError::into_inner);
        ended_at.get_or_insert_with(Instant::now);
    }

    /// Ends the process as its mode says, in the middle of an answer.
    async fn end_process(&self, stream: TcpStream) -> anyhow::Result<()> {
        self.note_end();
        let next = match self.end_mode {
            EndMode::Ends | EndMode::Resets => ProcessState::Ended,
            EndMode::ListenerOutlives => ProcessState::ListenerOnly,
            EndMode::Freezes => ProcessState::Frozen,
            EndMode::FallsSilent => return std::future::pending().await,
            EndMode::Restarts => ProcessState::Serving(2),
            EndMode::Lives | EndMode::EndsAfterAnswers => return Ok(()),
        };
        if self.end_mode == EndMode::Resets {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        }
        self.process.send_replace(next);
        drop(stream);
        Ok(())
    }

    /// Answers a call with a status and a body; `None` resets its connection.
    async fn answer_call(&self, path: &str, body: &str, start: u64) -> Option<(u16, String)> {
        if path != "/-/kv-move" {
            return Some((200, json!({"state": "ready", "born": start}).to_string()));
        }
        let copied = json!({"handle": format!("h-{}", self.id), "created": 1}).to_string();
        let call: Value = serde_json::from_str(body).unwrap_or_default();
        let request = call["id"].as_str().unwrap_or_default().to_owned();
        let script = self.script();
        if !call["last"].as_bool().unwrap_or(false) {
            if script.breaks_in_copy {
                self.breaks_stream.store(true, Ordering::Relaxed);
                tokio::time::sleep(COPY_TIME).await;
            }
            return Some((200, copied));
        }
        let is_first = self.stop_calls.fetch_add(1, Ordering::Relaxed) == 0;
        if !is_first && script.stop_fault.ends_run() {
            let is_copying = script.resume_mode == ResumeMode::AcceptsLate
                && self
                    .worked_until
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .is_some_and(|at| at.elapsed() < ResumeMode::REFUSAL_TIME);
            // The run is forgotten once its remainder is copied.
            return Some((if is_copying { 409 } else { 404 }, String::new()));
        }
        if !is_first || script.stop_fault.ends_run() {
            self.state.lock().stops.entry(request.clone()).or_insert_with(Instant::now);
            self.stopped_run.send_replace(Some(request));
        }
        if self.completes_on_move.load(Ordering::Relaxed) {
            // The end of the stream arrives first.
            tokio::time::sleep(Duration::from_millis(200)).await;
            return Some((404, String::new()));
        }
        if !is_first {
            tokio::time::sleep(Duration::from_millis(20)).await;
            return Some((200, copied));
        }
        let (delay, answer) = script.stop_fault.answer(copied);
        tokio::time::sleep(delay).await;
        if script.stop_fault == StopFault::None {
            tokio::time::sleep(script.stop_time).await;
        }
        answer
    }
}
