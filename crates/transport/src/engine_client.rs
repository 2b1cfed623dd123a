//! Orders to engines and reports from them.

use std::time::Duration;

use http::{Method, StatusCode};
use sedgewall_protocol::engine::{
    EngineReport, ORDERS_PATH, Order, OrderError, OrderFailure, REPORT_PATH,
};

use crate::client::{Call, CallError, HttpClient};

/// What became of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It was carried out.
    Done,
    /// The engine did not carry it out.
    Failed(OrderFailure),
    /// Nobody knows.
    Unclear(CallError),
}

/// The longest time that a load may take.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);

/// The longest time for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Speaks the engines' interface.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// Returns a client that uses a pool of connections.
    pub fn new(http: HttpClient) -> EngineClient {
        EngineClient { http }
    }

    /// Sends an order and waits until it is carried out.
    pub async fn order(&self, address: &str, order: &Order) -> OrderAnswer {
        let body = serde_json::to_vec(order).unwrap_or_default();
        let call =
            Call::new(Method::POST, format!("http://{address}{ORDERS_PATH}"))
                .header("content-type", "application/json")
                .body(body);
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

    /// Reads an engine's report.
    ///
    /// # Errors
    ///
    /// When the engine does not answer in time, or not with a report.
    pub async fn report(
        &self,
        address: &str,
    ) -> Result<EngineReport, CallError> {
        let url = format!("http://{address}{REPORT_PATH}");
        let call = Call::new(Method::GET, url);
        let answer = self.http.call(call, REPORT_TIMEOUT).await?;
        serde_json::from_slice(&answer.body)
            .map_err(|err| CallError::Unreadable(err.to_string()))
    }
}
