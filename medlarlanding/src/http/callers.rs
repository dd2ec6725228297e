//! Listener for callers.

use std::sync::Arc;

use super::answers::refusal;
use super::{generations, lookups, orders};
use crate::backends::connection::ExchangeClient;
use crate::gate::OpenGuard;
use crate::instance::{DeskAccess, InstanceShared};
use crate::trace::TraceStep;
use medlarlanding_core::ids::RequestId;
use medlarlanding_core::{ErrorKind, Result, ServeError};

use ntex::http::header::HeaderMap;
use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse};

/// What the handlers of one worker thread share.
#[derive(Clone)]
pub struct CallerContext {
    /// State of the instance.
    pub shared: Arc<InstanceShared>,
    /// HTTP client of the worker thread.
    pub client: ExchangeClient,
}

/// A request that was authenticated.
pub struct CallerRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Desk and customer.
    pub access: DeskAccess,
}

/// Adds the callers' routes to an application.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .service(
            web::resource("/v1/desks/{desk}/generations").route(web::post().to(generations::start)),
        )
        .service(
            web::resource("/v1/desks/{desk}/generations/{handle}")
                .route(web::get().to(generations::resume))
                .route(web::delete().to(generations::cancel)),
        )
        .service(web::resource("/v1/desks/{desk}/lookups").route(web::post().to(lookups::look_up)))
        .service(web::resource("/v1/desks/{desk}/orders").route(web::post().to(orders::submit)))
        .service(web::resource("/v1/desks/{desk}/orders/{key}").route(web::get().to(orders::query)))
        .service(web::resource("/v1/desks/{desk}/order-keys").route(web::post().to(orders::mint)));
}

/// Answers requests for resources that do not exist.
pub async fn not_found() -> HttpResponse {
    refusal(&ErrorKind::NotFound.into(), None)
}

impl CallerContext {
    /// Authenticates a request and finds its desk.
    ///
    /// # Errors
    ///
    /// See [`InstanceShared::access`].
    pub fn accept(&self, request: &HttpRequest, endpoint: &'static str) -> Result<CallerRequest> {
        let desk = request.match_info().get("desk").unwrap_or_default();
        let access = self.shared.access(bearer(request.headers()), desk)?;
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
    pub async fn enter(&self, payload: Payload) -> Result<(OpenGuard, Vec<u8>)> {
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
        request: &HttpRequest,
        payload: Payload,
        endpoint: &'static str,
    ) -> std::result::Result<(CallerRequest, Payload), HttpResponse> {
        match self.accept(request, endpoint) {
            Ok(accepted) => Ok((accepted, payload)),
            Err(error) => {
                self.discard(payload).await;
                Err(self.refuse(endpoint, &error, None))
            },
        }
    }

    /// Reads and drops a body that is not needed.
    pub async fn discard(&self, payload: Payload) {
        super::reading::discard_body(payload, self.shared.settings.limits.body()).await;
    }

    async fn read(&self, payload: Payload) -> Result<Vec<u8>> {
        super::reading::read_body(payload, self.shared.settings.limits.body()).await
    }

    /// Counts and logs a refusal.
    pub fn count_refusal(&self, endpoint: &str, error: &ServeError, request: RequestId) {
        self.shared.count_refusal(endpoint, error, Some(request));
    }

    /// Builds the answer to a refusal that its task has counted and logged.
    pub fn refuse_uncounted(&self, error: &ServeError, request: RequestId) -> HttpResponse {
        refusal(error, Some(request))
    }

    /// Builds, counts and logs the answer to a refused request.
    pub fn refuse(
        &self,
        endpoint: &str,
        error: &ServeError,
        request: Option<RequestId>,
    ) -> HttpResponse {
        self.shared.count_refusal(endpoint, error, request);
        refusal(error, request)
    }
}

/// Gets the credential of a request.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let (scheme, credential) = headers.get("authorization")?.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(credential.trim())
}

/// Extracts the context in handlers.
pub type Context = State<CallerContext>;
