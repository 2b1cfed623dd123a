//! Starts instances and stand-ins as processes, for tests of failures.
//!
//! Every process that is started here is ended by its id when the cluster is
//! dropped. Ports are taken from the system, so that tests can run side by
//! side.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU16, Ordering},
    },
    time::Duration,
};

use http::{Method, StatusCode};
use sedgewall_clock::Instant;
use sedgewall_coordination::{
    membership::{ListedInstance, ListedState, OWN_GROUP},
    timeline::{Event, merge},
};
use sedgewall_protocol::operator::{
    InstanceStatus, STATUS_PATH, ShardStatus, TIMELINE_PATH,
};
use sedgewall_transport::{
    CallError, HttpClient,
    client::{BufferedResponse, Call, StreamingResponse},
};
use serde::{Serialize, de::DeserializeOwned};

/// What a signal is called by `kill`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// Ends a process at once.
    Kill,
    /// Asks for a planned stop.
    Term,
    /// Tells that settings have changed.
    Hup,
    /// Freezes a process.
    Stop,
    /// Lets it go on.
    Cont,
}

/// How long a condition is waited for; a generous bound, not a measurement.
const PATIENCE: Duration = Duration::from_secs(60);

const LOOK_PAUSE: Duration = Duration::from_millis(20);

const CALL_TIME: Duration = Duration::from_secs(60);

/// A set of processes.
pub struct Cluster {
    /// The client for everything.
    pub http: HttpClient,
    /// Limits in the settings of instances that are started from now on, by
    /// name.
    pub limits: BTreeMap<&'static str, u64>,
    folder: PathBuf,
    /// Where the product's programs are.
    build: PathBuf,
    children: RefCell<BTreeMap<String, Child>>,
    addresses: BTreeMap<String, String>,
    operators: BTreeMap<String, String>,
    zones: BTreeMap<String, String>,
}

/// An engine to be started.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The endpoint group.
    pub group: &'static str,
    /// Whether it refuses orders of an older epoch.
    pub checks_fences: bool,
    /// Adapters at once.
    pub slots: usize,
    /// The time of a step, in microseconds.
    pub step_us: u64,
}

impl Default for EngineOptions {
    fn default() -> EngineOptions {
        EngineOptions {
            group: "coach",
            checks_fences: true,
            slots: 4,
            step_us: 4_000,
        }
    }
}

impl Cluster {
    /// Starts the platform and the weight store.
    pub async fn start(name: &str) -> Cluster {
        let folder = std::env::temp_dir()
            .join(format!("sedgewall-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for logs");
        let http = HttpClient::new().expect("an HTTP client");
        let mut cluster = Cluster {
            http,
            limits: BTreeMap::from([("drain_ms", 30_000)]),
            folder,
            build: release_folder(),
            children: RefCell::default(),
            addresses: BTreeMap::new(),
            operators: BTreeMap::new(),
            zones: BTreeMap::new(),
        };
        let platform = free_address();
        cluster.spawn(
            "platform",
            "examples/object_api",
            &["--listen", &platform],
        );
        cluster.addresses.insert("platform".to_owned(), platform);
        let store = free_address();
        cluster.spawn(
            "store",
            "examples/weight_store",
            &[
                "--listen",
                &store,
                "--load-ms",
                "100",
                "--rate-per-s",
                "50",
                "--concurrency",
                "20",
            ],
        );
        cluster.addresses.insert("store".to_owned(), store);
        cluster.wait_for_answer("platform", "/stats").await;
        cluster.wait_for_answer("store", "/stats").await;
        cluster
    }

    /// Takes the product's programs from another build from now on.
    pub fn use_build(&mut self, folder: &Path) {
        folder.clone_into(&mut self.build);
    }

    /// Starts an engine and lists it.
    pub async fn engine(&mut self, name: &str, options: &EngineOptions) {
        let address = free_address();
        self.spawn_engine(name, &address, options);
        self.addresses.insert(name.to_owned(), address.clone());
        self.wait_for_answer(name, "/stats").await;
        self.list(name, options.group, "leuven", &address, None).await;
    }

    /// Starts an engine again at its address, empty.
    pub async fn restart_engine(
        &mut self,
        name: &str,
        options: &EngineOptions,
    ) {
        let address = self.address(name);
        self.spawn_engine(name, &address, options);
        self.wait_for_answer(name, "/stats").await;
    }

    fn spawn_engine(
        &mut self,
        name: &str,
        address: &str,
        options: &EngineOptions,
    ) {
        let store = format!("http://{}", self.address("store"));
        self.spawn(
            name,
            "examples/engine",
            &[
                "--listen",
                address,
                "--weight-store",
                &store,
                "--slots",
                &options.slots.to_string(),
                "--step-us",
                &options.step_us.to_string(),
                "--checks-fences",
                &options.checks_fences.to_string(),
                "--checks-idle",
                &options.checks_fences.to_string(),
            ],
        );
    }

    /// Starts a plain service and lists it.
    pub async fn service(&mut self, name: &str) {
        let address = free_address();
        let args = ["--listen", &address, "--call-ms", "2"];
        self.spawn(name, "examples/plain_service", &args);
        self.addresses.insert(name.to_owned(), address.clone());
        self.wait_for_answer(name, "/stats").await;
        self.list(name, "league", "leuven", &address, None).await;
    }

    /// Starts an instance and lists it.
    pub async fn entry(&mut self, name: &str, zone: &str) {
        let peer = free_address();
        self.entry_at(name, zone, &peer, &peer).await;
    }

    /// Starts an instance whose peers reach it elsewhere than it listens.
    pub async fn entry_at(
        &mut self,
        name: &str,
        zone: &str,
        listen: &str,
        advertise: &str,
    ) {
        let callers = free_address();
        let operators = free_address();
        let limits = self.limits.iter();
        let limits: String = limits
            .map(|(name, value)| format!("  {name}: {value}\n"))
            .collect();
        let settings = format!(
            "instance: {name}\nzone: {zone}\ncaller_listen: {callers}\n\
             operator_listen: {operators}\npeer_listen: {listen}\n\
             peer_advertise: {advertise}\n\
             platform_url: http://{}\nlimits:\n{limits}",
            self.address("platform")
        );
        let file = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&file, settings).expect("settings are written");
        self.addresses.insert(name.to_owned(), callers);
        self.operators.insert(name.to_owned(), operators.clone());
        self.zones.insert(name.to_owned(), zone.to_owned());
        self.spawn_entry(name);
        let peer_url = format!("tcp://{advertise}");
        self.list(name, OWN_GROUP, zone, &peer_url, Some(operators)).await;
        self.wait_for_operator(name).await;
    }

    /// Starts an instance again with its settings.
    pub async fn restart_entry(&mut self, name: &str) {
        self.spawn_entry(name);
        self.wait_for_operator(name).await;
    }

    fn spawn_entry(&mut self, name: &str) {
        let file = self.folder.join(format!("{name}.yaml"));
        let file = file.display().to_string();
        self.spawn(name, "sedgewalld", &["--settings", &file]);
    }

    /// Starts a relay that can cut the traffic to an address.
    pub async fn relay(&mut self, name: &str, to: &str) -> String {
        let listen = free_address();
        let control = free_address();
        let args = ["--listen", &listen, "--control", &control, "--to", to];
        self.spawn(name, "examples/tcp_relay", &args);
        self.addresses.insert(name.to_owned(), control);
        self.wait_for_answer(name, "/stats").await;
        listen
    }

    /// Writes a small configuration and applies it with the command line.
    pub fn apply_small(&self) {
        let file = self.write_config("small.yaml", &small_config(""));
        let output = self.command(&["apply", &file, "--wait"]);
        assert!(
            output.status.success(),
            "apply failed: {}",
            String::from_utf8_lossy(&output.stderr)
        );
    }

    /// Writes a configuration file and returns its path.
    pub fn write_config(&self, name: &str, text: &str) -> String {
        let file = self.folder.join(name);
        std::fs::write(&file, text).expect("the configuration is written");
        file.display().to_string()
    }

    /// Runs the operators' command line.
    pub fn command(&self, args: &[&str]) -> std::process::Output {
        self.command_in_background(args)
            .wait_with_output()
            .expect("the command ends")
    }

    /// Starts the operators' command line.
    pub fn command_in_background(&self, args: &[&str]) -> Child {
        Command::new(self.program("sedgewall"))
            .args(args)
            .env("SEDGEWALL_PLATFORM", self.platform_url())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the command starts")
    }

    /// Returns the platform's URL.
    pub fn platform_url(&self) -> String {
        format!("http://{}", self.address("platform"))
    }

    /// Returns where a process is reached by callers.
    pub fn address(&self, name: &str) -> String {
        self.addresses[name].clone()
    }

    /// Sends a signal to a process that was started here. One that is killed has
    /// ended on return: its addresses are free.
    pub fn signal(&self, name: &str, signal: Signal) {
        let mut children = self.children.borrow_mut();
        let child = children.get_mut(name).expect("a process");
        let flag = match signal {
            Signal::Kill => {
                child.kill().expect("a process");
                child.wait().expect("a process");
                return;
            }
            Signal::Term => "-TERM",
            Signal::Hup => "-HUP",
            Signal::Stop => "-STOP",
            Signal::Cont => "-CONT",
        };
        let id = child.id().to_string();
        let status = Command::new("kill").args([flag, &id]).status();
        assert!(status.is_ok_and(|status| status.success()), "kill {flag}");
    }

    /// Waits for the end of a process that was started here.
    pub async fn wait_for_end(&mut self, name: &str) -> ExitStatus {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.exit_status(name) {
                return status;
            }
            assert!(Instant::now() < until, "{name} did not end");
            compio::time::sleep(LOOK_PAUSE).await;
        }
    }

    /// Sets faults of a stand-in.
    pub async fn faults<T: Serialize>(&self, name: &str, faults: &T) {
        let body = serde_json::to_vec(faults).expect("faults are JSON");
        let url = format!("http://{}/faults", self.address(name));
        let call = Call::new(Method::POST, url).body(body);
        let answer = self.http.call(call, CALL_TIME).await;
        let answer = answer.expect("the stand-in answers");
        assert_eq!(answer.status, StatusCode::OK);
    }

    /// Returns a JSON document of a process.
    ///
    /// # Errors
    ///
    /// When it does not answer.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
    ) -> Result<T, CallError> {
        let call = Call::new(Method::GET, format!("http://{address}{path}"));
        let answer = self.http.call(call, CALL_TIME).await?;
        serde_json::from_slice(&answer.body)
            .map_err(|err| CallError::Unreadable(err.to_string()))
    }

    /// Returns the status of an instance, if it answers.
    pub async fn status(&self, name: &str) -> Option<InstanceStatus> {
        let address = &self.operators[name];
        let call =
            Call::new(Method::GET, format!("http://{address}{STATUS_PATH}"));
        let within = Duration::from_secs(2);
        let answer = self.http.call(call, within).await.ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Returns who leads a shard, by what leaders say of themselves; the
    /// highest epoch counts.
    pub async fn leader(&self, shard: &str) -> Option<(String, ShardStatus)> {
        let mut found: Option<(String, ShardStatus)> = None;
        for name in self.operators.keys() {
            let Some(status) = self.status(name).await else { continue };
            for led in status.led_shards {
                let is_later = found
                    .as_ref()
                    .is_none_or(|(_, other)| other.epoch < led.epoch);
                if led.shard == shard && is_later {
                    found = Some((name.clone(), led));
                }
            }
        }
        found
    }

    /// Waits until a shard has a leader other than `not`.
    pub async fn wait_led(&self, shard: &str, not: &str) -> String {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some((name, _)) = self.leader(shard).await
                && name != not
            {
                return name;
            }
            assert!(Instant::now() < until, "nobody leads {shard}");
            compio::time::sleep(LOOK_PAUSE).await;
        }
    }

    /// Waits until a condition on an instance's status holds.
    pub async fn wait_status(
        &self,
        name: &str,
        what: &str,
        holds: impl Fn(&InstanceStatus) -> bool,
    ) -> InstanceStatus {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.status(name).await
                && holds(&status)
            {
                return status;
            }
            assert!(Instant::now() < until, "{name}: never {what}");
            compio::time::sleep(LOOK_PAUSE).await;
        }
    }

    /// Returns the merged time line of all instances that answer.
    pub async fn timeline(&self) -> Vec<Event> {
        let mut lines = Vec::new();
        for address in self.operators.values() {
            if let Ok(events) = self.get(address, TIMELINE_PATH).await {
                lines.push(events);
            }
        }
        merge(lines)
    }

    /// Sends a completion through an instance.
    ///
    /// # Errors
    ///
    /// When the instance does not answer.
    pub async fn complete(
        &self,
        entry: &str,
        model: &str,
        tokens: u64,
        headers: &[(&'static str, &str)],
    ) -> Result<BufferedResponse, CallError> {
        let call = self.completion(entry, model, tokens, false, headers);
        self.http.call(call, CALL_TIME).await
    }

    /// Starts a streamed completion through an instance.
    ///
    /// # Errors
    ///
    /// When the instance does not answer.
    pub async fn stream(
        &self,
        entry: &str,
        model: &str,
        tokens: u64,
        headers: &[(&'static str, &str)],
    ) -> Result<StreamingResponse, CallError> {
        let call = self.completion(entry, model, tokens, true, headers);
        self.http.open(call, CALL_TIME).await
    }

    fn completion(
        &self,
        entry: &str,
        model: &str,
        tokens: u64,
        is_stream: bool,
        headers: &[(&'static str, &str)],
    ) -> Call {
        let url = format!("http://{}/v1/completions", self.address(entry));
        let body = format!(
            "{{\"model\":\"{model}\",\"prompt\":\"{PROMPT}\",\
             \"max_tokens\":{tokens},\"stream\":{is_stream}}}"
        );
        let call = Call::new(Method::POST, url).body(body);
        headers
            .iter()
            .fold(call, |call, (name, value)| call.header(name, value))
    }

    /// Puts an endpoint or instance into the platform's list.
    pub async fn list(
        &self,
        name: &str,
        group: &str,
        zone: &str,
        address: &str,
        operator: Option<String>,
    ) {
        let state = ListedState::Live;
        self.list_as(name, group, zone, address, operator, state).await;
    }

    /// Lists an endpoint as leaving.
    pub async fn list_leaving(&self, name: &str, group: &str) {
        let address = self.address(name);
        let state = ListedState::Leaving;
        self.list_as(name, group, "leuven", &address, None, state).await;
    }

    async fn list_as(
        &self,
        name: &str,
        group: &str,
        zone: &str,
        address: &str,
        operator: Option<String>,
        state: ListedState,
    ) {
        let listed = ListedInstance {
            id: name.to_owned(),
            group: group.to_owned(),
            zone: zone.to_owned(),
            address: address.to_owned(),
            state,
            operator_address: operator,
        };
        let url = format!("{}/instances/{name}", self.platform_url());
        let body = serde_json::to_vec(&listed).expect("a line of the list");
        let call = Call::new(Method::PUT, url).body(body);
        let answer = self.http.call(call, CALL_TIME).await;
        assert!(answer.is_ok(), "the platform takes the list");
    }

    fn spawn(&mut self, name: &str, program: &str, args: &[&str]) {
        let log = self.folder.join(format!("{name}.log"));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log file");
        if let Some(mut old) = self.children.borrow_mut().remove(name) {
            let _ = old.kill();
            let _ = old.wait();
        }
        let mut command = Command::new(self.program(program));
        command.args(args).stdout(Stdio::null()).stderr(Stdio::from(log));
        let child = start(&mut command).unwrap_or_else(|err| {
            panic!("{program} does not start ({err}); run scripts/test")
        });
        self.children.borrow_mut().insert(name.to_owned(), child);
    }

    /// Returns how a process ended, if it has.
    fn exit_status(&self, name: &str) -> Option<ExitStatus> {
        let mut children = self.children.borrow_mut();
        children.get_mut(name)?.try_wait().expect("its state")
    }

    fn program(&self, name: &str) -> PathBuf {
        match name.starts_with("examples/") {
            true => release_folder().join(name),
            false => self.build.join(name),
        }
    }

    /// Returns what a process has logged, in all its lives.
    pub fn log(&self, name: &str) -> String {
        let log = self.folder.join(format!("{name}.log"));
        std::fs::read_to_string(log).unwrap_or_default()
    }

    /// Returns the last line that a process wrote.
    fn last_line(&self, name: &str) -> String {
        self.log(name).lines().last().unwrap_or_default().to_owned()
    }

    async fn wait_for_answer(&self, name: &str, path: &str) {
        let url = format!("http://{}{path}", self.address(name));
        self.wait_for_url(name, &url).await;
    }

    async fn wait_for_operator(&self, name: &str) {
        let url = format!("http://{}/healthz", self.operators[name]);
        self.wait_for_url(name, &url).await;
    }

    async fn wait_for_url(&self, name: &str, url: &str) {
        let until = Instant::now() + PATIENCE;
        loop {
            let call = Call::new(Method::GET, url);
            let within = Duration::from_secs(2);
            if let Ok(answer) = self.http.call(call, within).await
                && answer.status == StatusCode::OK
            {
                return;
            }
            if let Some(status) = self.exit_status(name) {
                panic!("{name} ended with {status}: {}", self.last_line(name));
            }
            assert!(Instant::now() < until, "{name} does not answer");
            compio::time::sleep(LOOK_PAUSE).await;
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.children.get_mut().values_mut() {
            let _ = child.kill();
        }
        for child in self.children.get_mut().values_mut() {
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The prompt of every completion that a cluster sends.
pub const PROMPT: &str = "who starts";

/// Returns a small configuration; `more` is added at its end.
pub fn small_config(more: &str) -> String {
    let adapters: String = (0..40)
        .map(|idx| {
            format!(
                "  - {{name: lineup-{idx}, base_model: coach-8b, versions: \
                 [\"1\", \"2\"]}}\n"
            )
        })
        .collect();
    format!(
        "base_models:\n  - name: coach-8b\nendpoint_groups:\n  - name: \
         coach\n    base_model: coach-8b\n    adapter_slots: 4\n    seats: \
         32\n    checks_fences: true\n  - name: open\n    base_model: \
         coach-8b\n    adapter_slots: 4\n    seats: 32\n    checks_fences: \
         false\n  - name: league\n    kind: service\n    seats: \
         64\nweight_store:\n  rate_per_s: 50\n  concurrency: \
         20\nadapters:\n{adapters}{more}"
    )
}

/// The only shard of the small configuration.
pub const SMALL_SHARD: &str = "default.coach-8b.0";

/// Where the programs of this build are.
pub fn release_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target/release")
}

/// The first port that is given out; below the range from which the system
/// takes the ports of outgoing connections.
const FIRST_PORT: u16 = 10_000;

/// Ports for the tests of one process.
const PORTS_LEN: u16 = 1_000;

/// Returns an address that nobody uses at the moment and that no other caller
/// in this process gets.
pub fn free_address() -> String {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let block = (std::process::id() % 20) as u16;
    loop {
        let idx = NEXT.fetch_add(1, Ordering::Relaxed) % PORTS_LEN;
        let port = FIRST_PORT + block * PORTS_LEN + idx;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let _starting = starting();
        if TcpListener::bind(address).is_ok() {
            return address.to_string();
        }
    }
}

/// Starts a process while no address is being looked at. Until it has become
/// another program it holds the sockets of its parent; an engine that was given
/// such an address once ended with "Address already in use".
///
/// # Errors
///
/// When the process cannot be started.
pub fn start(command: &mut Command) -> std::io::Result<Child> {
    let _starting = starting();
    command.spawn()
}

fn starting() -> MutexGuard<'static, ()> {
    static STARTING: Mutex<()> = Mutex::new(());
    STARTING.lock().unwrap_or_else(PoisonError::into_inner)
}
