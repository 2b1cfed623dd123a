//! Connections that are kept between requests, and end at either side.

use std::{
    io::{BufRead, BufReader, Read, Write},
    mem::MaybeUninit,
    net::{Shutdown, SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
};
use sedgewall_bench::cluster::{Cluster, Signal, small_config};
use socket2::SockRef;

/// The number of callers that keep a connection each.
const CALLERS: usize = 30;

/// A moment, as time since the signal, at which an instance accepts no more
/// connections and has not ended.
const AFTER_LAST_ACCEPT: Duration = Duration::from_millis(2_100);

/// How long the process gets no processor time.
const SUSPENDED_FOR: Duration = Duration::from_millis(500);

/// How long a test waits for a response or the end of a connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// A request for the list of adapters.
const LIST: &str = "GET /v1/models HTTP/1.1\r\nhost: hall.example\r\n\r\n";

/// A request that may not be repeated.
const TRANSFER: &str = "POST /services/league/transfers HTTP/1.1\r\n\
    host: hall.example\r\ncontent-length: 3\r\n\r\nten";

/// How long a plain service takes for a request, so that requests which are
/// sent at once use a connection each.
const SERVICE_TIME: Duration = Duration::from_millis(200);

/// The number of adapters in a list that is longer than a megabyte.
const ADAPTERS: usize = 20_000;

/// The number of responses that do not fit into the buffers of sockets.
const RESPONSES: usize = 30;

/// The pause before each read of a slow caller, of a megabyte at most.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Runs a test on a loop of its own.
fn on_loop(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("a loop");
    runtime.block_on(test);
}

/// Gives an instance the signal to stop, and waits until it has it.
async fn stop(cluster: &Cluster, name: &str) {
    cluster.signal(name, Signal::Term);
    cluster.wait_status(name, "leaving", |status| status.is_leaving).await;
}

/// A caller's connection, used for one request after another.
struct KeptConnection {
    stream: TcpStream,
    /// Bytes that were read and are no whole response.
    buf: Vec<u8>,
}

/// A whole response.
#[derive(Debug)]
struct Response {
    head: String,
    len: usize,
}

impl KeptConnection {
    async fn open(cluster: &Cluster, name: &str) -> KeptConnection {
        let stream = TcpStream::connect(cluster.address(name)).await;
        let stream = stream.expect("a connection");
        KeptConnection { stream, buf: Vec::new() }
    }

    async fn send(&mut self, requests: &str) {
        let bytes = requests.as_bytes().to_vec();
        self.stream.write_all(bytes).await.0.expect("it is sent");
    }

    /// Reads the next response, whose length is stated, with a pause after
    /// each read. Returns an error if the connection ends before.
    async fn response(&mut self, pause: Duration) -> Result<Response, String> {
        loop {
            if let Some(response) = first_response(&self.buf) {
                self.buf.drain(..response.len);
                return Ok(response);
            }
            compio::time::sleep(pause).await;
            let reading = self.stream.read(Vec::with_capacity(1 << 20));
            let read = compio::time::timeout(RESPONSE_TIMEOUT, reading).await;
            let BufResult(read, part) = read.expect("a response or an end");
            match read {
                Ok(0) => return Err("closed".to_owned()),
                Ok(_) => self.buf.extend_from_slice(&part),
                Err(err) => return Err(err.to_string()),
            }
        }
    }

    /// Returns whether nothing has arrived that was not read, not even the end
    /// of the connection.
    fn is_idle(&self) -> bool {
        let peeked =
            SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|err| err.kind() == std::io::ErrorKind::WouldBlock)
    }
}

/// Returns the first response of these bytes, if it is whole.
fn first_response(bytes: &[u8]) -> Option<Response> {
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let body_len: usize = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
        .map_or(0, |len| len.trim().parse().expect("a length"));
    let len = end + body_len;
    (bytes.len() >= len).then_some(Response { head, len })
}

/// A plain service whose idle connections can be closed.
struct Service {
    address: SocketAddr,
    connections: Arc<Mutex<Vec<std::net::TcpStream>>>,
}

impl Service {
    fn start() -> Service {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let connections = Arc::new(Mutex::new(Vec::new()));
        let open = connections.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let stream = stream.expect("a connection");
                let kept = stream.try_clone().expect("a socket");
                open.lock().expect("a list").push(kept);
                thread::spawn(move || serve_connection(stream));
            }
        });
        Service { address, connections }
    }

    /// Closes all connections. Returns their number.
    fn close_connections(&self) -> usize {
        let mut connections = self.connections.lock().expect("a list");
        for stream in connections.iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        std::mem::take(&mut *connections).len()
    }
}

/// Answers requests with a body of three bytes until the connection ends.
fn serve_connection(stream: std::net::TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        while line != "\r\n" {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
        }
        reader.read_exact(&mut [0; 3])?;
        thread::sleep(SERVICE_TIME);
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        reader.get_mut().write_all(response)?;
    }
}

/// Starts an instance in front of a service. Returns connections of callers, on
/// each of which one request was served, at the same time as the others.
async fn callers(
    cluster: &mut Cluster,
    service: &Service,
) -> Vec<KeptConnection> {
    cluster.entry("entry-1", "leuven").await;
    let address = service.address.to_string();
    cluster.list("service-1", "league", "leuven", &address, None).await;
    cluster.apply_small();
    let mut connections = Vec::new();
    for _ in 0..CALLERS {
        let mut connection = KeptConnection::open(cluster, "entry-1").await;
        connection.send(TRANSFER).await;
        connections.push(connection);
    }
    for connection in &mut connections {
        let first = connection.response(Duration::ZERO).await;
        let first = first.expect("a response");
        assert!(first.head.starts_with("http/1.1 200"), "{first:?}");
    }
    connections
}

/// Guards against requests that have arrived and are thrown away, because the
/// process ends without a look at its open connections.
#[test]
fn a_request_that_arrives_before_the_process_ends_is_answered() {
    on_loop(async {
        let service = Service::start();
        let mut cluster = Cluster::start("kept-connections").await;
        let mut connections = callers(&mut cluster, &service).await;
        stop(&cluster, "entry-1").await;
        compio::time::sleep(AFTER_LAST_ACCEPT).await;
        cluster.signal("entry-1", Signal::Stop);
        for connection in &mut connections {
            assert!(connection.is_idle());
            connection.send(TRANSFER).await;
        }
        compio::time::sleep(SUSPENDED_FOR).await;
        cluster.signal("entry-1", Signal::Cont);
        let mut lost = Vec::new();
        for connection in &mut connections {
            match connection.response(Duration::ZERO).await {
                Ok(response) => {
                    let head = response.head;
                    assert!(head.starts_with("http/1.1 200"), "{head}");
                    assert!(head.contains("connection: close"), "{head}");
                }
                Err(end) => lost.push(end),
            }
        }
        assert!(lost.is_empty(), "{} lost: {}", lost.len(), lost[0]);
        drop(connections);
        assert!(cluster.wait_for_end("entry-1").await.success());
    });
}

/// Guards against responses that are cut off, because the process ends once
/// they were made and not once they were sent.
#[test]
fn responses_that_are_read_slowly_are_sent_whole_at_a_planned_stop() {
    on_loop(async {
        let mut cluster = Cluster::start("slow-caller").await;
        cluster.entry("entry-1", "leuven").await;
        let adapters: String = (0..ADAPTERS)
            .map(|idx| {
                format!(
                    "  - {{name: large-{idx}, base_model: coach-8b, \
                     versions: [\"1\"]}}\n"
                )
            })
            .collect();
        let file =
            cluster.write_config("large.yaml", &small_config(&adapters));
        let applied = cluster.command(&["apply", &file, "--wait"]);
        assert!(applied.status.success(), "{applied:?}");
        let mut connection = KeptConnection::open(&cluster, "entry-1").await;
        connection.send(&LIST.repeat(RESPONSES)).await;
        stop(&cluster, "entry-1").await;
        let mut len = 0;
        for n in 0..RESPONSES {
            let response = connection.response(READ_PAUSE).await;
            let response = response.unwrap_or_else(|end| {
                panic!("response {n} after {len} bytes: {end}")
            });
            assert!(response.head.starts_with("http/1.1 200"));
            len += response.len;
        }
        drop(connection);
        assert!(cluster.wait_for_end("entry-1").await.success());
    });
}

/// Guards against a request that may not be repeated and is lost on an idle
/// connection, whose end had arrived and was not read.
#[test]
fn an_unrepeatable_request_is_not_sent_on_a_connection_that_has_ended() {
    on_loop(async {
        let service = Service::start();
        let mut cluster = Cluster::start("ended-connections").await;
        let mut connections = callers(&mut cluster, &service).await;
        cluster.signal("entry-1", Signal::Stop);
        for connection in &mut connections {
            connection.send(TRANSFER).await;
        }
        assert!(service.close_connections() > 1);
        compio::time::sleep(SUSPENDED_FOR).await;
        cluster.signal("entry-1", Signal::Cont);
        let mut failed = Vec::new();
        for connection in &mut connections {
            let second = connection.response(Duration::ZERO).await;
            let second = second.expect("a response");
            if !second.head.starts_with("http/1.1 200") {
                failed.push(second.head);
            }
        }
        assert!(failed.is_empty(), "{}: {}", failed.len(), failed[0]);
    });
}
