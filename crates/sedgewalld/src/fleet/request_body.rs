//! Reading of request bodies under the budget of buffered bytes.

use std::{pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{FutureExt, select_biased};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sedgewall_transport::body::Collected;

use super::{
    buffers::{BodyReservation, Buffers, Reserved},
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
) -> Result<(Bytes, Reserved), Reason> {
    let buffers = &instance.memory.requests;
    let reading = read_reserved(buffers, body, max_len);
    let read = compio::time::timeout(BODY_TIMEOUT, reading).await;
    read.unwrap_or(Err(Reason::BodyBroken))
}

async fn read_reserved(
    buffers: &Rc<Buffers>,
    mut body: Incoming,
    max_len: usize,
) -> Result<(Bytes, Reserved), Reason> {
    let (reservation, mut room_lost) = BodyReservation::open(buffers);
    let read = select_biased! {
        _ = room_lost => Err(Reason::BufferFull),
        read = pin!(collect(&mut body, &reservation, max_len).fuse()) => read,
    };
    match read {
        Ok(collected) => Ok((collected.into_bytes(), reservation.finish())),
        Err(Reason::BufferFull) => {
            drop(reservation);
            let reason = Reason::BufferFull.name();
            metrics::counter!("sedgewall_refused_total", "reason" => reason)
                .increment(1);
            discard(body).await;
            Err(Reason::BufferFull)
        }
        Err(reason) => Err(reason),
    }
}

async fn collect(
    body: &mut Incoming,
    reservation: &BodyReservation,
    max_len: usize,
) -> Result<Collected, Reason> {
    let mut collected = Collected::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Reason::BodyBroken)?;
        let Ok(part) = frame.into_data() else { continue };
        if collected.len() + part.len() > max_len {
            return Err(Reason::BodyTooLong);
        }
        if !reservation.reserve(part.len() as u64) {
            return Err(Reason::BufferFull);
        }
        collected.push(part);
    }
    Ok(collected)
}

async fn discard(mut body: Incoming) {
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    let _ = compio::time::timeout(DISCARD_TIMEOUT, rest).await;
}
