//! `GET /status` on the assigner's own address, for those who look; nothing can be changed there.

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Method, Request, Response, StatusCode};

use crate::hub::Hub;

pub fn answer(hub: &Hub, asked: &Request) -> Response<BoxBody> {
    if asked.path() != "/status" {
        return Response::new(StatusCode::NOT_FOUND);
    }
    if asked.method() != Method::GET {
        return Response::new(StatusCode::METHOD_NOT_ALLOWED);
    }
    let body = serde_json::to_string(&hub.status()).unwrap_or_default();
    let mut answer = Response::build(StatusCode::OK);
    answer.insert_header((CONTENT_TYPE, HeaderValue::from_static("application/json")));
    answer.body(body).map_into_boxed_body()
}
