//! End of streams on the product's own interface.

use std::time::Duration;

use medlarlanding::answer_body::{AnswerBody, StreamPiece};
use medlarlanding::delivery::sink::{CallerSink, WholeResponse, token_event};
use medlarlanding_core::generations::FinishReason;
use medlarlanding_core::ids::{InstanceId, RequestId};
use medlarlanding_core::{ErrorKind, ServeError, cases};

use http_body_util::BodyExt;
use tokio::sync::mpsc;

const REQUEST: RequestId = RequestId { instance: InstanceId(1), started: 1, number: 1 };

/// How the delivery of a stream ends.
enum DeliveryEnd {
    /// With the event that says how many tokens there were.
    Completed,
    /// With an error event.
    Failed,
    /// The task is gone, for example because it panicked.
    Dropped,
    /// The caller does not read, and is given up before the last event is queued.
    QueueFull,
}

/// Guards against a stream whose delivery ended early and whose body still ends as a complete one.
fn ends_body(case: (DeliveryEnd, bool)) {
    let (end, is_complete) = case;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let (events, pieces) = mpsc::channel::<StreamPiece>(2);
        let mut sink = CallerSink::Stream { head: None, events };
        sink.try_send(token_event("handle", 1, "a")).expect("room in the queue");
        let response = WholeResponse {
            text: String::new(),
            tokens: 1,
            finish: FinishReason::Stop,
            handle: "handle".to_owned(),
        };
        let mut body = AnswerBody::Streamed { pieces, _task: None };
        let reading = async {
            let mut frames = 0;
            while let Some(frame) = body.frame().await {
                if frame.is_err() {
                    return (frames, false);
                }
                frames += 1;
            }
            (frames, true)
        };
        let (frames, is_whole) = match end {
            DeliveryEnd::Completed => tokio::join!(reading, sink.complete(response)).0,
            DeliveryEnd::Failed => {
                let error = ServeError::from(ErrorKind::GenerationLost);
                tokio::join!(reading, sink.fail(error, REQUEST)).0
            },
            DeliveryEnd::Dropped => {
                drop(sink);
                reading.await
            },
            DeliveryEnd::QueueFull => {
                // The delivery gives the caller up, which takes longer than a test may.
                sink.try_send(token_event("handle", 2, "b")).expect("room in the queue");
                let completing = sink.complete(response);
                let _ = tokio::time::timeout(Duration::from_millis(50), completing).await;
                drop(sink);
                reading.await
            },
        };
        assert_eq!(is_whole, is_complete, "after {frames} frames");
    });
}

cases! { ends_body;
    completed_stream_is_whole => (DeliveryEnd::Completed, true),
    failed_stream_ends_with_its_error_event => (DeliveryEnd::Failed, true),
    stream_of_a_lost_task_is_broken_off => (DeliveryEnd::Dropped, false),
    stream_of_a_caller_that_does_not_read_is_broken_off => (DeliveryEnd::QueueFull, false),
}
