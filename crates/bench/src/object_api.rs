//! A stand-in for the platform: object API and instance list.
//!
//! It holds versions, conditional updates and watches, keeps the platform's
//! rates, counts every call, and can be out, slow, or lose the answer of a
//! change that took effect.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use sedgewall_clock::Instant;
use sedgewall_coordination::membership::{InstanceList, ListedInstance};
use sedgewall_protocol::platform::{
    INSTANCES_PATH, LIST_PATH, ListedObject, OBJECTS_PATH, ObjectList,
};
use sedgewall_transport::{LocalBody, server::read_body};
use serde::{Deserialize, Serialize};

use crate::http::{BODY_TIME, Notify, broken, empty, json, query, read_json};

/// The most objects on a page of a listing.
const PAGE_LEN: usize = 500;

/// The largest value, in bytes.
const MAX_VALUE: usize = 1_000_000;

/// Faults that the stand-in shows.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Whether all calls are answered with 503.
    pub is_out: bool,
    /// A delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// The next writes take effect but their answers are lost.
    pub lose_answers: u32,
    /// The instance list is this far behind, in milliseconds.
    pub list_lag_ms: u64,
}

/// Rates that the stand-in keeps.
#[derive(Clone, Copy, Debug)]
pub struct PlatformRates {
    /// Writes a second.
    pub writes_per_s: f64,
    /// Reads a second, watches included.
    pub reads_per_s: f64,
}

/// What the stand-in counted.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PlatformStats {
    /// Reads, listings and watches.
    pub reads: u64,
    /// Writes and deletions.
    pub writes: u64,
    /// Conditional updates that lost.
    pub conflicts: u64,
    /// Calls beyond the rates, answered with 429.
    pub rejected: u64,
    /// Calls answered with 503 while out.
    pub refused: u64,
}

struct Object {
    version: u64,
    value: Vec<u8>,
}

#[derive(Debug)]
struct Bucket {
    rate_per_s: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    fn new(rate_per_s: f64) -> Bucket {
        Bucket { rate_per_s, tokens: rate_per_s, filled: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let elapsed = now.duration_since(self.filled).as_secs_f64();
        self.filled = now;
        let filled = self.tokens + elapsed * self.rate_per_s;
        self.tokens = filled.min(self.rate_per_s);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

struct Inner {
    objects: BTreeMap<String, Object>,
    /// The revision of the last deletion of each key.
    deleted: BTreeMap<String, u64>,
    revision: u64,
    instances: BTreeMap<String, ListedInstance>,
    instances_revision: u64,
    shown_instances: InstanceList,
    faults: PlatformFaults,
    stats: PlatformStats,
    writes: Bucket,
    reads: Bucket,
}

/// The stand-in's state.
pub struct ObjectApi {
    inner: RefCell<Inner>,
    changed: Notify,
}

impl ObjectApi {
    /// Returns an empty platform.
    pub fn new(rates: PlatformRates) -> Rc<ObjectApi> {
        let inner = Inner {
            objects: BTreeMap::new(),
            deleted: BTreeMap::new(),
            revision: 0,
            instances: BTreeMap::new(),
            instances_revision: 0,
            shown_instances: InstanceList::default(),
            faults: PlatformFaults::default(),
            stats: PlatformStats::default(),
            writes: Bucket::new(rates.writes_per_s),
            reads: Bucket::new(rates.reads_per_s),
        };
        Rc::new(ObjectApi {
            inner: RefCell::new(inner),
            changed: Notify::default(),
        })
    }

    /// Answers one request.
    pub async fn answer(
        self: Rc<ObjectApi>,
        request: Request<Incoming>,
    ) -> Response<LocalBody> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/faults" => return self.set_faults(request).await,
            "/stats" => {
                return json(StatusCode::OK, &self.inner.borrow().stats);
            }
            _ => {}
        }
        if let Some(id) = path.strip_prefix("/instances/") {
            return self.change_instance(id.to_owned(), request).await;
        }
        if let Some(refusal) = self.count(request.method()) {
            return refusal;
        }
        self.delay().await;
        if let Some(key) = path.strip_prefix(OBJECTS_PATH) {
            return self.object(key.to_owned(), request).await;
        }
        match path.as_str() {
            LIST_PATH => self.list(request).await,
            INSTANCES_PATH => self.instances(request).await,
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    fn count(&self, method: &Method) -> Option<Response<LocalBody>> {
        let mut inner = self.inner.borrow_mut();
        if inner.faults.is_out {
            inner.stats.refused += 1;
            return Some(empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let is_read = method == Method::GET;
        let is_within = if is_read {
            inner.stats.reads += 1;
            inner.reads.take()
        } else {
            inner.stats.writes += 1;
            inner.writes.take()
        };
        if is_within {
            return None;
        }
        inner.stats.rejected += 1;
        Some(empty(StatusCode::TOO_MANY_REQUESTS))
    }

    async fn delay(&self) {
        let delay_ms = self.inner.borrow().faults.delay_ms;
        if delay_ms > 0 {
            compio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    async fn set_faults(
        &self,
        request: Request<Incoming>,
    ) -> Response<LocalBody> {
        match read_json::<PlatformFaults>(request.into_body()).await {
            Ok(faults) => {
                self.inner.borrow_mut().faults = faults;
                self.changed.notify();
                json(StatusCode::OK, &faults)
            }
            Err(answer) => *answer,
        }
    }

    async fn object(
        &self,
        key: String,
        request: Request<Incoming>,
    ) -> Response<LocalBody> {
        match *request.method() {
            Method::GET => self.get(&key, request.headers()).await,
            Method::PUT => self.put(key, request).await,
            Method::DELETE => self.delete(&key),
            _ => empty(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    async fn get(
        &self,
        key: &str,
        headers: &HeaderMap,
    ) -> Response<LocalBody> {
        let known = tag(headers, "if-none-match");
        let until = Instant::now() + wait_of(headers);
        loop {
            if self.inner.borrow().faults.is_out {
                return empty(StatusCode::SERVICE_UNAVAILABLE);
            }
            let found = self.read(key, known);
            let left = until.saturating_duration_since(Instant::now());
            match found {
                Some(answer) => return answer,
                None if left.is_zero() => {
                    return empty(if known.is_some() {
                        StatusCode::NOT_MODIFIED
                    } else {
                        StatusCode::NOT_FOUND
                    });
                }
                None => self.changed.wait(left).await,
            }
        }
    }

    fn read(
        &self,
        key: &str,
        known: Option<u64>,
    ) -> Option<Response<LocalBody>> {
        let inner = self.inner.borrow();
        let object = inner.objects.get(key)?;
        if known == Some(object.version) {
            return None;
        }
        let body = LocalBody::full(object.value.clone());
        Some(tagged(StatusCode::OK, object.version, body))
    }

    async fn put(
        &self,
        key: String,
        request: Request<Incoming>,
    ) -> Response<LocalBody> {
        let expected = tag(request.headers(), "if-match");
        let must_be_new = request.headers().contains_key("if-none-match");
        let Ok(value) =
            read_body(request.into_body(), MAX_VALUE, BODY_TIME).await
        else {
            return empty(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let mut inner = self.inner.borrow_mut();
        let current = inner.objects.get(&key).map(|object| object.version);
        let is_met = match expected {
            Some(version) => current == Some(version),
            None => !must_be_new || current.is_none(),
        };
        if !is_met {
            inner.stats.conflicts += 1;
            return empty(StatusCode::PRECONDITION_FAILED);
        }
        inner.revision += 1;
        let version = inner.revision;
        inner.objects.insert(key, Object { version, value: value.to_vec() });
        let is_lost = inner.faults.lose_answers > 0;
        inner.faults.lose_answers =
            inner.faults.lose_answers.saturating_sub(1);
        drop(inner);
        self.changed.notify();
        if is_lost {
            return broken();
        }
        tagged(StatusCode::OK, version, LocalBody::empty())
    }

    fn delete(&self, key: &str) -> Response<LocalBody> {
        let mut inner = self.inner.borrow_mut();
        if inner.objects.remove(key).is_none() {
            return empty(StatusCode::NOT_FOUND);
        }
        inner.revision += 1;
        let revision = inner.revision;
        inner.deleted.insert(key.to_owned(), revision);
        drop(inner);
        self.changed.notify();
        empty(StatusCode::NO_CONTENT)
    }

    async fn list(&self, request: Request<Incoming>) -> Response<LocalBody> {
        let prefix = query(&request, "prefix").unwrap_or("").to_owned();
        let from = query(&request, "from").unwrap_or("").to_owned();
        let known = tag(request.headers(), "if-none-match");
        let until = Instant::now() + wait_of(request.headers());
        loop {
            if self.inner.borrow().faults.is_out {
                return empty(StatusCode::SERVICE_UNAVAILABLE);
            }
            let list = self.page(&prefix, &from);
            let left = until.saturating_duration_since(Instant::now());
            if known.is_none_or(|known| known < list.revision) {
                return json(StatusCode::OK, &list);
            }
            if left.is_zero() {
                return empty(StatusCode::NOT_MODIFIED);
            }
            self.changed.wait(left).await;
        }
    }

    fn page(&self, prefix: &str, from: &str) -> ObjectList {
        let inner = self.inner.borrow();
        let start = if from > prefix { from } else { prefix };
        let matching = || {
            inner
                .objects
                .range(start.to_owned()..)
                .take_while(|(key, _)| key.starts_with(prefix))
        };
        let changed = matching().map(|(_, object)| object.version);
        let deleted = inner
            .deleted
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, revision)| *revision);
        let revision = changed.chain(deleted).max().unwrap_or(0);
        let objects = matching()
            .take(PAGE_LEN)
            .map(|(key, object)| ListedObject {
                key: key.clone(),
                version: object.version,
                value: String::from_utf8_lossy(&object.value).into_owned(),
            })
            .collect();
        let next = matching().nth(PAGE_LEN).map(|(key, _)| key.clone());
        ObjectList { revision, objects, next }
    }

    async fn instances(
        &self,
        request: Request<Incoming>,
    ) -> Response<LocalBody> {
        let known = tag(request.headers(), "if-none-match");
        let until = Instant::now() + wait_of(request.headers());
        loop {
            if self.inner.borrow().faults.is_out {
                return empty(StatusCode::SERVICE_UNAVAILABLE);
            }
            let list = self.inner.borrow().shown_instances.clone();
            let left = until.saturating_duration_since(Instant::now());
            if known.is_none_or(|known| known < list.revision) {
                return json(StatusCode::OK, &list);
            }
            if left.is_zero() {
                return empty(StatusCode::NOT_MODIFIED);
            }
            self.changed.wait(left).await;
        }
    }

    /// Whoever runs the stand-ins keeps the list; no rate counts here.
    async fn change_instance(
        self: Rc<ObjectApi>,
        id: String,
        request: Request<Incoming>,
    ) -> Response<LocalBody> {
        match *request.method() {
            Method::PUT => {
                let instance: ListedInstance =
                    match read_json(request.into_body()).await {
                        Ok(instance) => instance,
                        Err(answer) => return *answer,
                    };
                self.inner.borrow_mut().instances.insert(id, instance);
            }
            Method::DELETE => {
                self.inner.borrow_mut().instances.remove(&id);
            }
            _ => return empty(StatusCode::METHOD_NOT_ALLOWED),
        }
        let lag_ms = self.inner.borrow().faults.list_lag_ms;
        let api = self.clone();
        let shown = self.snapshot_instances();
        compio::runtime::spawn(async move {
            compio::time::sleep(Duration::from_millis(lag_ms)).await;
            let mut inner = api.inner.borrow_mut();
            if shown.revision > inner.shown_instances.revision {
                inner.shown_instances = shown;
            }
            drop(inner);
            api.changed.notify();
        })
        .detach();
        empty(StatusCode::NO_CONTENT)
    }

    fn snapshot_instances(&self) -> InstanceList {
        let mut inner = self.inner.borrow_mut();
        inner.instances_revision += 1;
        InstanceList {
            revision: inner.instances_revision,
            instances: inner.instances.values().cloned().collect(),
        }
    }
}

fn tag(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim_matches('"').parse().ok()
}

fn wait_of(headers: &HeaderMap) -> Duration {
    let secs = headers
        .get("prefer")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.strip_prefix("wait="))
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    Duration::from_secs(secs)
}

fn tagged(
    status: StatusCode,
    version: u64,
    body: LocalBody,
) -> Response<LocalBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Ok(value) = format!("\"{version}\"").parse() {
        response.headers_mut().insert(http::header::ETAG, value);
    }
    response
}
