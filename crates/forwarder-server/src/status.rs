//! `GET /status` on an address of its own, for operators.

use std::rc::Rc;

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{HttpService, Method, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use tokio::net::TcpListener;

use crate::app::App;

pub(crate) async fn serve(app: Rc<App>, listener: TcpListener) {
    let service = HttpService::build().h1(fn_service(move |asked: Request| {
        let known = asked.method() == Method::GET && asked.path() == "/status";
        let answer = if known {
            let mut answer = Response::ok();
            answer
                .headers_mut()
                .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            answer
                .set_body(app.status().to_string())
                .map_into_boxed_body()
        } else {
            Response::not_found().map_into_boxed_body()
        };
        async move { Ok::<_, std::convert::Infallible>(answer) }
    }));
    let Ok(service) = service.tcp().new_service(()).await else {
        return;
    };
    while let Ok((stream, _)) = listener.accept().await {
        let serving = service.call(stream);
        actix_rt::spawn(async move { drop(serving.await) });
    }
}
