//! The client of an engine's HTTP interface: orders and reports.

use std::time::Duration;

use http::{Method, StatusCode};
use sedgewall_protocol::engine::{
    EngineReport, ORDERS_PATH, Order, OrderError, OrderFailure, REPORT_PATH,
};

use crate::client::{Call, CallError, HttpClient};

/// The outcome of an order to load or unload an adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The engine carried out the order.
    Done,
    /// The engine did not carry out the order.
    Failed(OrderFailure),
    /// The call failed or its response could not be decoded, so it is unknown
    /// whether the engine carried out the order. After
    /// [`CallError::NotSent`] the engine did not.
    Unclear(CallError),
}

/// The timeout of an order, which is the longest time that a load may take.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// The timeout of a request for an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The maximum length of a report or of the response to an order, in bytes.
/// Many engines are asked at a time.
const MAX_RESPONSE_LEN: usize = 256 << 10;

/// A client of the engines' HTTP interface.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// Returns a client that shares the connections of `http`.
    pub fn new(http: HttpClient) -> EngineClient {
        EngineClient { http }
    }

    /// Sends an order to an engine and waits for its outcome.
    pub async fn order(&self, address: &str, order: &Order) -> OrderAnswer {
        let body = serde_json::to_vec(order).unwrap_or_default();
        let call =
            Call::new(Method::POST, format!("http://{address}{ORDERS_PATH}"))
                .header("content-type", "application/json")
                .body(body)
                .max_response_len(MAX_RESPONSE_LEN);
        let answer = match self.http.call(call, ORDER_TIMEOUT).await {
            Ok(answer) => answer,
            Err(err) => return OrderAnswer::Unclear(err),
        };
        if answer.status == StatusCode::OK {
            return OrderAnswer::Done;
        }
        match serde_json::from_slice::<OrderError>(&answer.body) {
            Ok(err) => OrderAnswer::Failed(err.failure),
            Err(err) => {
                OrderAnswer::Unclear(CallError::Unreadable(err.to_string()))
            }
        }
    }

    /// Requests the report of an engine.
    ///
    /// # Errors
    ///
    /// If the call fails, or the response is not a report.
    pub async fn report(
        &self,
        address: &str,
    ) -> Result<EngineReport, CallError> {
        let url = format!("http://{address}{REPORT_PATH}");
        let call =
            Call::new(Method::GET, url).max_response_len(MAX_RESPONSE_LEN);
        let answer = self.http.call(call, REPORT_TIMEOUT).await?;
        serde_json::from_slice(&answer.body)
            .map_err(|err| CallError::Unreadable(err.to_string()))
    }
}
