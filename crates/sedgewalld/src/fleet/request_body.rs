//! Reading of request bodies under the budget of buffered bytes.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sedgewall_transport::server::{BodyError, read_body};

use super::{
    buffers::{Buffers, Reserved},
    instance::FleetInstance,
    refusal::Reason,
};

/// The timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// How long the rest of a body that does not fit is read and discarded. A
/// caller that still sends when its connection is closed may lose the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads a request's body, of at most `max_len` bytes. The reservation must be
/// kept as long as the body.
pub(crate) async fn read(
    instance: &FleetInstance,
    body: Incoming,
    max_len: usize,
) -> Result<(Bytes, Option<Reserved>), Reason> {
    let Some(buffers) = &instance.buffers else {
        return match read_body(body, max_len, BODY_TIMEOUT).await {
            Ok(body) => Ok((body, None)),
            Err(BodyError::TooLong(_)) => Err(Reason::BodyTooLong),
            Err(BodyError::TooSlow(_) | BodyError::Broken(_)) => {
                Err(Reason::BodyBroken)
            }
        };
    };
    let reading = read_reserved(buffers, body, max_len);
    let read = compio::time::timeout(BODY_TIMEOUT, reading).await;
    let (body, reserved) = read.unwrap_or(Err(Reason::BodyBroken))?;
    Ok((body, Some(reserved)))
}

async fn read_reserved(
    buffers: &Rc<Buffers>,
    mut body: Incoming,
    max_len: usize,
) -> Result<(Bytes, Reserved), Reason> {
    let reserved = Reserved::open(buffers);
    let mut parts: Vec<Bytes> = Vec::new();
    let mut len = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Reason::BodyBroken)?;
        let Ok(part) = frame.into_data() else { continue };
        len += part.len();
        if len > max_len {
            return Err(Reason::BodyTooLong);
        }
        if !reserved.reserve(part.len() as u64) {
            drop((parts, part, reserved));
            let reason = Reason::BufferFull.name();
            metrics::counter!("sedgewall_refused_total", "reason" => reason)
                .increment(1);
            discard(body).await;
            return Err(Reason::BufferFull);
        }
        parts.push(part);
    }
    let body = match parts.len() {
        0 => Bytes::new(),
        1 => parts.remove(0),
        _ => parts.concat().into(),
    };
    Ok((body, reserved))
}

async fn discard(mut body: Incoming) {
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    let _ = compio::time::timeout(DISCARD_TIMEOUT, rest).await;
}
