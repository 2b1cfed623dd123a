//! Sends one call of a plain service and checks its answer.

use std::{cell::RefCell, rc::Rc, time::Duration};

use http::{Method, StatusCode};
use sedgewall_clock::Instant;
use sedgewall_protocol::caller::{
    CALLER_HEADER, IDEMPOTENCY_HEADER, REQUEST_ID_HEADER,
};
use sedgewall_transport::client::Call;

use super::{check::Violation, measure::Measured, target::Target};
use crate::plain_service::ServiceAnswer;

/// One call to be sent.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The instance's address.
    pub entry: String,
    /// The service's group.
    pub service: String,
    /// The key, if it is not repeatable.
    pub unrepeatable_key: Option<String>,
}

const LONGEST: Duration = Duration::from_secs(30);

/// Sends it and notes what came.
pub async fn run(
    target: Rc<Target>,
    measured: Rc<RefCell<Measured>>,
    sent_call: ServiceCall,
) {
    measured.borrow_mut().sent += 1;
    let sent = Instant::now();
    let is_claimed = sent_call.unrepeatable_key.is_some();
    let answer = target.http.call(prepare(&sent_call), LONGEST).await;
    let Ok(answer) = answer else {
        measured.borrow_mut().broken += 1;
        return;
    };
    let mut measured = measured.borrow_mut();
    if answer.status != StatusCode::OK {
        measured.problem(&answer.body);
        return;
    }
    if is_claimed {
        measured.claimed.record(sent.elapsed());
    } else {
        measured.service.record(sent.elapsed());
    }
    let id = answer
        .headers
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("");
    match serde_json::from_slice::<ServiceAnswer>(&answer.body) {
        Ok(body) if body.request_id == id => {
            measured.outcome("service_served");
        }
        Ok(_) => measured.violation(Violation::WrongId),
        Err(_) => measured.violation(Violation::NotWhole),
    }
}

fn prepare(call: &ServiceCall) -> Call {
    let url = format!("http://{}/services/{}/call", call.entry, call.service);
    match &call.unrepeatable_key {
        Some(key) => Call::new(Method::POST, url)
            .header(CALLER_HEADER, "load")
            .header(IDEMPOTENCY_HEADER, key)
            .body("{}"),
        None => Call::new(Method::GET, url).header(CALLER_HEADER, "load"),
    }
}
