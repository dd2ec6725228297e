//! Listener for callers.

use std::sync::Arc;

use super::answers::{CallerResponse, empty_answer, refusal};
use super::routes::{CallerPath, CallerResource};
use super::{generations, lookups, orders};
use crate::gate::OpenGuard;
use crate::instance::{DeskAccess, InstanceShared};
use crate::trace::TraceStep;
use medlarlanding_core::ids::RequestId;
use medlarlanding_core::{ErrorKind, Result, ServeError};

use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, StatusCode};

/// What the handlers share.
#[derive(Clone)]
pub struct CallerContext {
    /// State of the instance.
    pub shared: Arc<InstanceShared>,
}

/// A request that was authenticated.
pub struct CallerRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Desk and customer.
    pub access: DeskAccess,
}

/// A request whose path names a resource.
pub struct InboundRequest {
    /// Name of the desk.
    pub desk: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body; not read yet.
    pub payload: Incoming,
}

/// Serves one request.
pub async fn serve(context: CallerContext, request: Request<Incoming>) -> CallerResponse {
    let (parts, payload) = request.into_parts();
    let Some(CallerPath { desk, resource }) = CallerPath::parse(parts.uri.path()) else {
        return refusal(&ErrorKind::NotFound.into(), None);
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
        _ => empty_answer(StatusCode::METHOD_NOT_ALLOWED),
    }
}

impl CallerContext {
    /// Authenticates a request and finds its desk.
    ///
    /// # Errors
    ///
    /// See [`InstanceShared::access`].
    pub fn accept(
        &self,
        headers: &HeaderMap,
        desk: &str,
        endpoint: &'static str,
    ) -> Result<CallerRequest> {
        let access = self.shared.authorize(bearer(headers), desk)?;
        let id = self.shared.next_request();
        let (desk, version) = (access.desk().name.clone(), access.version());
        self.shared.trace(id, TraceStep::Accepted { endpoint, desk, version });
        Ok(CallerRequest { id, access })
    }

    /// Admits a request and reads its body.
    ///
    /// # Errors
    ///
    /// `Draining` or `Overloaded`, or see [`super::reading::read_body`].
    pub async fn enter(&self, payload: Incoming) -> Result<(OpenGuard, Vec<u8>)> {
        match self.shared.gate.enter() {
            Ok(guard) => Ok((guard, self.read(payload).await?)),
            Err(error) => {
                self.discard(payload).await;
                Err(error)
            },
        }
    }

    /// Authenticates a request with a body. The body of a refused request is read and dropped.
    ///
    /// # Errors
    ///
    /// Returns the answer of the refusal.
    pub async fn accept_body(
        &self,
        request: InboundRequest,
        endpoint: &'static str,
    ) -> std::result::Result<(CallerRequest, HeaderMap, Incoming), CallerResponse> {
        let InboundRequest { desk, headers, payload } = request;
        match self.accept(&headers, &desk, endpoint) {
            Ok(accepted) => Ok((accepted, headers, payload)),
            Err(error) => {
                self.discard(payload).await;
                Err(self.refuse(endpoint, &error, None))
            },
        }
    }

    /// Reads and drops a body that is not needed.
    pub async fn discard(&self, payload: Incoming) {
        super::reading::discard_body(payload, self.shared.settings.limits.body()).await;
    }

    async fn read(&self, payload: Incoming) -> Result<Vec<u8>> {
        super::reading::read_body(payload, self.shared.settings.limits.body()).await
    }

    /// Counts and logs a refusal.
    pub fn count_refusal(&self, endpoint: &str, error: &ServeError, request: RequestId) {
        self.shared.count_refusal(endpoint, error, Some(request));
    }

    /// Builds the answer to a refusal that its task has counted and logged.
    pub fn refuse_uncounted(&self, error: &ServeError, request: RequestId) -> CallerResponse {
        refusal(error, Some(request))
    }

    /// Builds, counts and logs the answer to a refused request.
    pub fn refuse(
        &self,
        endpoint: &str,
        error: &ServeError,
        request: Option<RequestId>,
    ) -> CallerResponse {
        self.shared.count_refusal(endpoint, error, request);
        refusal(error, request)
    }
}

/// Gets the credential of a request.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let (scheme, credential) = headers.get("authorization")?.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(credential.trim())
}
