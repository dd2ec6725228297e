//! Serves callers: authenticates requests and dispatches them by path and method.

use std::sync::Arc;

use super::caller_path::{CallerPath, CallerResource};
use super::responses::{CallerResponse, empty_response, refusal_response};
use super::{generations, lookups, orders};
use crate::gate::{DrainStage, RequestGuard};
use crate::instance::{DeskAccess, InstanceShared};
use crate::trace::TraceStep;
use medlarlanding_core::ids::RequestId;
use medlarlanding_core::{ErrorKind, Result, ServeError};

use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, StatusCode};

/// State that the request handlers share.
#[derive(Clone)]
pub struct CallerContext {
    /// State of the instance.
    pub shared: Arc<InstanceShared>,
}

/// An authenticated request.
pub struct CallerRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Desk and customer of the request.
    pub access: DeskAccess,
}

/// A request for a resource of a desk, not authenticated yet.
pub struct InboundRequest {
    /// Name of the desk.
    pub desk: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, not read yet.
    pub payload: Incoming,
}

/// Serves one request. One that has no answer when a drain ends may have run.
pub async fn serve(context: CallerContext, request: Request<Incoming>) -> CallerResponse {
    let shared = Arc::clone(&context.shared);
    tokio::select! {
        biased;
        response = dispatch(context, request) => response,
        () = shared.gate.drain_stage(DrainStage::AnsweringAll) => {
            let error = ErrorKind::BackendFailed.into();
            shared.count_refusal("drain", &error, None);
            refusal_response(&error, None)
        },
    }
}

async fn dispatch(context: CallerContext, request: Request<Incoming>) -> CallerResponse {
    let (parts, payload) = request.into_parts();
    let Some(CallerPath { desk, resource }) = CallerPath::parse(parts.uri.path()) else {
        return refusal_response(&ErrorKind::NotFound.into(), None);
    };
    let inbound = InboundRequest { desk, headers: parts.headers, payload };
    match (parts.method, resource) {
        (Method::POST, CallerResource::Generations) => generations::start(&context, inbound).await,
        (Method::GET, CallerResource::Generation(handle)) => {
            generations::resume(&context, inbound, &handle).await
        },
        (Method::DELETE, CallerResource::Generation(handle)) => {
            generations::cancel(&context, inbound, &handle).await
        },
        (Method::POST, CallerResource::Lookups) => lookups::look_up(&context, inbound).await,
        (Method::POST, CallerResource::Orders) => orders::submit(&context, inbound).await,
        (Method::GET, CallerResource::Order(key)) => orders::query(&context, inbound, key).await,
        (Method::POST, CallerResource::OrderKeys) => orders::mint(&context, inbound).await,
        _ => empty_response(StatusCode::METHOD_NOT_ALLOWED),
    }
}

impl CallerContext {
    /// Authenticates a request and looks up its desk.
    ///
    /// # Errors
    ///
    /// See [`InstanceShared::access`].
    pub fn authenticate(
        &self,
        headers: &HeaderMap,
        desk: &str,
        endpoint: &'static str,
    ) -> Result<CallerRequest> {
        let access = self.shared.authorize(bearer_credential(headers), desk)?;
        let id = self.shared.next_request();
        let (desk, version) = (access.desk().name.clone(), access.version());
        self.shared.trace(id, TraceStep::Accepted { endpoint, desk, version });
        Ok(CallerRequest { id, access })
    }

    /// Admits a request to the process and reads its body.
    ///
    /// # Errors
    ///
    /// `Draining` or `Overloaded`; otherwise see [`super::request_body::read_body`].
    pub async fn admit(&self, payload: Incoming) -> Result<(RequestGuard, Vec<u8>)> {
        match self.shared.gate.admit() {
            Ok(guard) => Ok((guard, self.read(payload).await?)),
            Err(error) => {
                self.discard(payload).await;
                Err(error)
            },
        }
    }

    /// Authenticates a request that has a body. The body of a refused request is read and dropped.
    ///
    /// # Errors
    ///
    /// Returns the response to a refused request.
    pub async fn authenticate_with_body(
        &self,
        request: InboundRequest,
        endpoint: &'static str,
    ) -> std::result::Result<(CallerRequest, HeaderMap, Incoming), CallerResponse> {
        let InboundRequest { desk, headers, payload } = request;
        match self.authenticate(&headers, &desk, endpoint) {
            Ok(accepted) => Ok((accepted, headers, payload)),
            Err(error) => {
                self.discard(payload).await;
                Err(self.refuse(endpoint, &error, None))
            },
        }
    }

    /// Reads and drops a body that is not needed.
    pub async fn discard(&self, payload: Incoming) {
        super::request_body::discard_body(payload, self.shared.settings.limits.body()).await;
    }

    async fn read(&self, payload: Incoming) -> Result<Vec<u8>> {
        super::request_body::read_body(payload, self.shared.settings.limits.body()).await
    }

    /// Counts and logs a refusal.
    pub fn count_refusal(&self, endpoint: &str, error: &ServeError, request: RequestId) {
        self.shared.count_refusal(endpoint, error, Some(request));
    }

    /// Builds the response to a refused request whose refusal is already counted and logged.
    pub fn refuse_uncounted(&self, error: &ServeError, request: RequestId) -> CallerResponse {
        refusal_response(error, Some(request))
    }

    /// Counts and logs a refusal and builds its response.
    pub fn refuse(
        &self,
        endpoint: &str,
        error: &ServeError,
        request: Option<RequestId>,
    ) -> CallerResponse {
        self.shared.count_refusal(endpoint, error, request);
        refusal_response(error, request)
    }
}

/// Gets the credential from the `Authorization: Bearer` header.
pub fn bearer_credential(headers: &HeaderMap) -> Option<&str> {
    let (scheme, credential) = headers.get("authorization")?.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(credential.trim())
}
