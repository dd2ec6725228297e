//! Listener for operators.

use std::sync::Arc;

use crate::instance::InstanceShared;

use ntex::web::types::State;
use ntex::web::{self, HttpRequest, HttpResponse};

/// Adds the operators' routes to an application.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .service(web::resource("/metrics").route(web::get().to(metrics)))
        .service(web::resource("/dump").route(web::get().to(dump)))
        .service(web::resource("/livez").route(web::get().to(live)))
        .service(web::resource("/readyz").route(web::get().to(ready)));
}

async fn metrics(shared: State<Arc<InstanceShared>>) -> HttpResponse {
    match shared.metrics.render() {
        Ok(text) => HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

async fn dump(request: HttpRequest, shared: State<Arc<InstanceShared>>) -> HttpResponse {
    let wanted = request.query_string().strip_prefix("request=");
    HttpResponse::Ok().json(&shared.dump(wanted))
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

async fn ready(shared: State<Arc<InstanceShared>>) -> HttpResponse {
    if shared.gate.draining() {
        HttpResponse::ServiceUnavailable().body("draining\n")
    } else if !shared.is_ready() {
        HttpResponse::ServiceUnavailable().body("no current configuration in effect\n")
    } else {
        HttpResponse::Ok().body("ready\n")
    }
}
