//! Responses to callers that this instance makes itself.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use sedgewall_fleet::rate_limiter::LimitExceeded;
use sedgewall_protocol::{Problem, RunState};
use sedgewall_transport::LocalBody;

use super::forwarding;
use crate::responses;

/// The retry delay for a caller whose time ran out before this instance could
/// serve it, or that another instance may be able to serve at once.
const SHORT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Why a request is refused or its response is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Reason {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route matches this host and path.
    NoRoute,
    /// The request has no id.
    NoRequestId,
    /// The request has no key, and its route needs one.
    NoKey,
    /// No customer has the request's key.
    UnknownKey,
    /// No route or key is known for the request here, but another instance has
    /// reported a newer configuration that may have it.
    ConfigurationBehind,
    /// This instance may have missed the revocation of the key.
    KeysUnsure,
    /// The customer has used up its allowance over all instances.
    OverAllowance(LimitExceeded),
    /// The body is longer than the configuration allows.
    BodyTooLong,
    /// The body did not arrive in time, or broke off.
    BodyBroken,
    /// The body does not fit the budget of buffered bytes.
    BufferFull,
    /// The instance has no processor time to begin the request soon.
    Overloaded,
    /// The instance stops before the request may have ended.
    Stopping,
    /// The adapter is on no engine and will not be loaded in time.
    AdapterAbsent,
    /// All endpoints that could serve the request are full.
    Full,
    /// The service has no usable endpoint.
    NobodyThere,
    /// This instance reaches no endpoint of the service.
    EndpointsUnreachable,
    /// The request resumes a stream, and it is not known at which software
    /// version the stream began.
    StreamVersionUnknown,
    /// The request resumes a stream, and no endpoint is left of the software
    /// version at which the stream began.
    NoEndpointOfVersion,
    /// The endpoints that could serve the request announce that they take no
    /// more now.
    EndpointsLimited,
    /// Endpoints rejected the request, and the retry budget is used up.
    RetriesSpent,
    /// The request has crashed endpoints. It may be tried again after the
    /// given time.
    CrashesEndpoints(Duration),
    /// The deadline has passed, and the request has not run.
    TooLate,
    /// The deadline has passed, and the request may have run.
    TimedOut,
    /// The request may have run, and its response is lost.
    OutcomeUnknown,
}

impl Reason {
    /// Returns the name used in logs, metrics and problem documents.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Reason::NoConfiguration => "no_configuration",
            Reason::NoRoute => "no_route",
            Reason::NoRequestId => "no_request_id",
            Reason::NoKey => "no_key",
            Reason::UnknownKey => "unknown_key",
            Reason::ConfigurationBehind => "configuration_behind",
            Reason::KeysUnsure => "keys_unsure",
            Reason::OverAllowance(_) => "over_allowance",
            Reason::BodyTooLong => "body_too_long",
            Reason::BodyBroken => "body_broken",
            Reason::BufferFull => "buffer_full",
            Reason::Overloaded => "overloaded",
            Reason::Stopping => "stopping",
            Reason::AdapterAbsent => "adapter_absent",
            Reason::Full => "full",
            Reason::NobodyThere => "nobody_there",
            Reason::EndpointsUnreachable => "endpoints_unreachable",
            Reason::StreamVersionUnknown => "stream_version_unknown",
            Reason::NoEndpointOfVersion => "no_endpoint_of_version",
            Reason::EndpointsLimited => "endpoints_limited",
            Reason::RetriesSpent => "retries_spent",
            Reason::CrashesEndpoints(_) => "crashes_endpoints",
            Reason::TooLate => "too_late",
            Reason::TimedOut => "timed_out",
            Reason::OutcomeUnknown => "outcome_unknown",
        }
    }

    /// Returns the reason with this name, if another instance may state it for
    /// a forwarded request. `retry_after` is the delay that it stated.
    pub(crate) fn from_name(
        name: &str,
        retry_after: Duration,
    ) -> Option<Reason> {
        let stated = [
            Reason::NoConfiguration,
            Reason::NoRoute,
            Reason::UnknownKey,
            Reason::ConfigurationBehind,
            Reason::KeysUnsure,
            Reason::BodyBroken,
            Reason::BufferFull,
            Reason::Overloaded,
            Reason::Stopping,
            Reason::AdapterAbsent,
            Reason::Full,
            Reason::NobodyThere,
            Reason::EndpointsUnreachable,
            Reason::StreamVersionUnknown,
            Reason::NoEndpointOfVersion,
            Reason::EndpointsLimited,
            Reason::RetriesSpent,
            Reason::CrashesEndpoints(retry_after),
            Reason::TooLate,
            Reason::TimedOut,
            Reason::OutcomeUnknown,
        ];
        stated.into_iter().find(|reason| reason.name() == name)
    }

    /// Returns whether an instance that refuses a forwarded request for this
    /// reason speaks of itself, so that another instance may serve it.
    pub(crate) fn may_differ_elsewhere(self) -> bool {
        matches!(
            self,
            Reason::NoConfiguration
                | Reason::ConfigurationBehind
                | Reason::KeysUnsure
                | Reason::BufferFull
                | Reason::Overloaded
                | Reason::Stopping
                | Reason::NobodyThere
                | Reason::EndpointsUnreachable
                | Reason::NoEndpointOfVersion
        )
    }

    /// Returns whether a newer configuration may change the decision.
    pub(crate) fn depends_on_configuration(self) -> bool {
        matches!(self, Reason::NoRoute | Reason::NoKey | Reason::UnknownKey)
    }

    fn status(self) -> StatusCode {
        match self {
            Reason::NoRoute => StatusCode::NOT_FOUND,
            Reason::NoRequestId | Reason::BodyBroken => {
                StatusCode::BAD_REQUEST
            }
            Reason::NoKey | Reason::UnknownKey => StatusCode::UNAUTHORIZED,
            Reason::OverAllowance(_) => StatusCode::TOO_MANY_REQUESTS,
            Reason::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Reason::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn run_state(self) -> RunState {
        match self {
            Reason::TimedOut | Reason::OutcomeUnknown => RunState::Unknown,
            _ => RunState::NotRun,
        }
    }

    /// Returns what the name of the reason does not tell the caller.
    fn detail(self) -> &'static str {
        match self {
            Reason::StreamVersionUnknown => {
                "it is not known at which software version the stream began; \
                 it can only go on there"
            }
            Reason::NoEndpointOfVersion => {
                "no endpoint is left of the software version at which the \
                 stream began"
            }
            _ => "",
        }
    }

    /// Returns the delay after which a retry is worthwhile, or none if no
    /// retry is. `longest_delay` suits the caller's time limit and the time
    /// until an endpoint is expected to take the request, if that is known.
    pub(crate) fn retry_after(
        self,
        longest_delay: Duration,
    ) -> Option<Duration> {
        match self {
            // These causes last for seconds: until a load has had its turn, or
            // an outage or a restart is over. Callers retry only once or
            // twice, and a second refusal may be the last, so the given delay
            // is suggested in full.
            Reason::AdapterAbsent
            | Reason::NoConfiguration
            | Reason::Full
            | Reason::NobodyThere
            | Reason::EndpointsUnreachable
            | Reason::EndpointsLimited
            | Reason::NoEndpointOfVersion
            | Reason::RetriesSpent => Some(longest_delay),
            Reason::OverAllowance(denied) => {
                Some(longest_delay.min(denied.retry_in))
            }
            // Independent of the caller's time limit, because no instance
            // forwards the request before that.
            Reason::CrashesEndpoints(released_in) => Some(released_in),
            // Another instance may be able to serve the request.
            Reason::TooLate
            | Reason::BufferFull
            | Reason::Overloaded
            | Reason::Stopping
            | Reason::KeysUnsure
            | Reason::StreamVersionUnknown
            | Reason::ConfigurationBehind => {
                Some(longest_delay.min(SHORT_RETRY_DELAY))
            }
            _ => None,
        }
    }
}

/// Returns the response for a refusal. `longest_delay` limits the suggested
/// retry delay, except for requests that crash endpoints. The response to a
/// forwarded request states the reason to the instance that forwarded it.
pub(crate) fn answer(
    reason: Reason,
    longest_delay: Duration,
    is_forwarded: bool,
) -> Response<LocalBody> {
    let mut problem = Problem::new(
        reason.status(),
        reason.name(),
        reason.run_state(),
        reason.detail(),
    );
    let retry_after = reason.retry_after(longest_delay);
    problem.retry_after_ms = retry_after.map(|d| d.as_millis() as u64);
    let mut response = responses::problem(&problem);
    if let Some(after) = retry_after {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    if is_forwarded {
        forwarding::mark_refused(&mut response, reason, retry_after);
    }
    response
}
