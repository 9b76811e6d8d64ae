//! `GET /status` on the assigner's own address, and `GET /day` where a ring is recorded, for those who look;
//! nothing can be changed there.

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Method, Request, Response, StatusCode};

use crate::hub::Hub;
use crate::metrics;

fn told(kind: &'static str, body: impl Into<bytes::Bytes>) -> Response<BoxBody> {
    let mut answer = Response::build(StatusCode::OK);
    answer.insert_header((CONTENT_TYPE, HeaderValue::from_static(kind)));
    answer.body(body.into()).map_into_boxed_body()
}

pub(crate) async fn answer(hub: &Hub, asked: Request) -> Response<BoxBody> {
    let known = matches!(asked.path(), "/status" | "/day" | "/metrics");
    if known && asked.method() != Method::GET {
        return Response::new(StatusCode::METHOD_NOT_ALLOWED);
    }
    match asked.path() {
        "/status" => told(
            "application/json",
            serde_json::to_string(&hub.status()).unwrap_or_default(),
        ),
        "/day" => match hub.day().await {
            Some(day) => told("application/octet-stream", day),
            None => Response::new(StatusCode::NOT_FOUND),
        },
        "/metrics" if hub.metrics => {
            let members = hub.members().map(|members| members.tally());
            told(
                "text/plain; version=0.0.4",
                hub.with_state(|state| metrics::text(state, members.as_ref())),
            )
        }
        _ => Response::new(StatusCode::NOT_FOUND),
    }
}
