"""Stand-ins for the platform, for the scripts of the second review.

A store, workers, loopback links and consumers on one asyncio loop, and real
instances of sedgewalld as processes. Everything listens on 127.0.0.1 or
another loopback address. The stand-ins speak what the users' pages tell
(PROTOCOL.md, DEPLOY.md); where a page is silent they behave like a sound
peer.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "sedgewalld")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.yaml")

# The bounds of the small installations, as their sheets state them.
BOUNDS = {
    "contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 8,
    "configMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000,
    "retryBudget": 0.2, "budgetWindowS": 10, "budgetSlack": 52,
    "recoveryS": 12, "passMs": 120, "fencing": False, "leaseMs": 3000,
    "thawSlackMs": 300, "ceilingWindowS": 5, "ceilingOverage": 1.1,
    "version_ms": 5000,
}
HEARTBEAT_S = 1.2
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "fleet",
             "stream", "engine", "platform"]


class Record:
    """What was sent, answered and run, with times from the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, what, **fields):
        rest = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {rest}\n")

    def close(self):
        self.file.close()


# HTTP/1.1, as much of it as the pages use.


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        path, _, query = target.partition("?")
        self.path = path
        pairs = (pair.partition("=") for pair in query.split("&") if pair)
        self.query = {name: value for name, _, value in pairs}
        self.headers = headers
        self.body = body


async def read_headers(reader):
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n"):
            return first.decode("latin-1").rstrip("\r\n"), headers
        if not line:
            raise ConnectionError("the headers broke off")
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_chunks(reader):
    while True:
        size = await reader.readline()
        if not size:
            raise ConnectionError("the body broke off")
        length = int(size.split(b";")[0], 16)
        if length == 0:
            while (await reader.readline()) not in (b"\r\n", b"\n", b""):
                pass
            return
        data = await reader.readexactly(length)
        await reader.readexactly(2)
        yield data


async def read_request(reader):
    head = await read_headers(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b"".join([part async for part in read_chunks(reader)])
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def head_bytes(status, headers):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def whole(status, body=b"", headers=None):
    headers = dict(headers or {})
    headers["content-length"] = str(len(body))
    return head_bytes(status, headers) + body


def answer_json(status, value):
    body = json.dumps(value).encode()
    return whole(status, body, {"content-type": "application/json"})


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            b"\x01\x00\x00\x00\x00\x00\x00\x00")
        except OSError:
            pass
    writer.transport.abort()


class Served:
    """A server whose `handle(request, writer, gone)` answers each request.

    `gone` is set once the peer has closed its connection.
    """

    def __init__(self):
        self.address = None
        self.server = None
        self.writers = set()

    async def open(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            writer.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                gone = asyncio.Event()
                handling = asyncio.ensure_future(
                    self.handle(request, writer, gone))
                # A sound client sends nothing before its answer is whole.
                watching = asyncio.ensure_future(self.watch(reader, gone))
                done, _ = await asyncio.wait(
                    {handling, watching}, return_when=asyncio.FIRST_COMPLETED)
                if handling not in done:
                    await asyncio.wait({handling})
                watching.cancel()
                await asyncio.wait({watching})
                if handling.exception() or gone.is_set():
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    async def watch(reader, gone):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)
        gone.set()

    async def handle(self, request, writer, gone):
        raise NotImplementedError


class Store(Served):
    """The platform's metadata store."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.objects = {}
        self.history = []
        self.revision = 0
        self.changed = asyncio.Event()
        # The watches that wait: their kind, the event that cuts them, whether
        # they may be old, and the port that they came to.
        self.waiting = {}
        # How old what the store answers may be where `allowStale` is set.
        self.stale_s = 0.0
        # When each revision was written.
        self.written = {}

    def put(self, kind, name, spec):
        """Writes an object for the operator or a worker."""
        self.revision += 1
        known = self.objects.get((kind, name))
        created = known["metadata"]["createdRev"] if known else self.revision
        entry = {
            "metadata": {"name": name, "revision": self.revision,
                         "createdRev": created, "finalizers": [],
                         "deleting": False},
            "spec": spec, "status": None,
        }
        self.objects[kind, name] = entry
        self.note(kind, entry, False)
        return entry

    def delete(self, kind, name):
        entry = self.objects.pop((kind, name), None)
        if entry is not None:
            self.revision += 1
            entry = json.loads(json.dumps(entry))
            entry["metadata"]["revision"] = self.revision
            self.note(kind, entry, True)

    def note(self, kind, entry, deleted):
        self.written[self.revision] = time.monotonic()
        self.history.append(
            (self.revision, kind, {"object": entry, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, writer, gone):
        await asyncio.sleep(0.004)
        path = request.path.removeprefix("/v1/objects/")
        kind, _, name = path.partition("/")
        if request.method == "GET" and not name and "watch" in request.query:
            port = writer.get_extra_info("sockname")[1]
            answer = await self.watch_kind(kind, request.query, gone, port)
        elif request.method == "GET" and not name:
            answer = self.list_kind(kind, request.query)
        else:
            answer = self.one(kind, name, request)
        writer.write(answer)
        await writer.drain()

    def list_kind(self, kind, query):
        after = query.get("after", "")
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        page = [self.objects[kind, n] for n in names[:500]]
        return answer_json(200, {"items": page, "morePages": len(names) > 500,
                                 "currentRev": self.revision})

    def shown(self, query):
        """Returns the revision up to which the caller is shown changes."""
        if query.get("allowStale") != "1":
            return self.revision
        until = time.monotonic() - self.stale_s
        shown = [r for r, at in self.written.items() if at <= until]
        return max(shown, default=0)

    async def watch_kind(self, kind, query, gone, port):
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        key, cut = object(), asyncio.Event()
        is_stale = query.get("allowStale") == "1"
        self.waiting[key] = (kind, cut, is_stale, port)
        try:
            while True:
                if cut.is_set():
                    raise ConnectionError("the watch is cut")
                shown = self.shown(query)
                events = [event for revision, k, event in self.history
                          if k == kind and since < revision <= shown]
                left = until - time.monotonic()
                if events or left <= 0 or gone.is_set():
                    return answer_json(200, {"events": events,
                                             "currentRev": max(since, shown)})
                changed = asyncio.ensure_future(self.changed.wait())
                await asyncio.wait({changed}, timeout=min(left, 0.02))
                changed.cancel()
        finally:
            del self.waiting[key]

    def cut_watches(self):
        """Closes the channels of the watches that wait, without an answer."""
        for _, cut, *_ in self.waiting.values():
            cut.set()
        return len(self.waiting)

    def one(self, kind, name, request):
        body = json.loads(request.body) if request.body else {}
        metadata = body.get("metadata") or {}
        name = name or metadata.get("name", "")
        is_status = name.endswith("/status")
        name = name.removesuffix("/status")
        known = self.objects.get((kind, name))
        expected = metadata.get("revision") or request.query.get("revision")
        if request.method == "GET":
            return answer_json(200, known) if known else whole(404)
        if request.method == "POST":
            if known:
                return answer_json(409, known)
            return answer_json(200, self.put(kind, name, body.get("spec")))
        if not known:
            return whole(404)
        if expected is not None and \
                int(expected) != known["metadata"]["revision"]:
            return answer_json(409, known)
        if request.method == "DELETE":
            self.delete(kind, name)
            return answer_json(200, known)
        if is_status or known["spec"] == body.get("spec"):
            return answer_json(200, known)
        return answer_json(200, self.put(kind, name, body.get("spec")))


class Run:
    """One run of a request at a worker."""

    def __init__(self, worker, request, now):
        self.worker = worker
        self.id = request.headers.get("request-id", "")
        self.path = request.path
        self.headers = request.headers
        self.body = request.body
        self.began = now
        self.ended = None
        self.state = "running"


class Worker(Served):
    """A worker of a service; one with `models` is an engine."""

    def __init__(self, store, record, name, service, zone="z1", slots=32,
                 queue=96, work_s=0.02, adapter_slots=0):
        super().__init__()
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.adapter_slots = adapter_slots
        self.is_engine = adapter_slots > 0
        # The version of each adapter, and when it is loaded.
        self.adapters = {}
        self.newest = {}
        self.uses = {}
        self.replacing = {}
        self.unloading = set()
        self.over_limit = []
        self.seq = 0
        self.state = "ready"
        self.listed_address = None
        self.listed = None
        self.runs = []
        self.arrivals = []
        self.orders = []
        self.running = 0
        self.events = 10
        self.event_s = 0.05
        self.is_down = False

    async def start(self, port=0):
        await self.open(port=port)
        if self.listed_address is None:
            self.listed_address = self.address
        self.list()
        self.beating = asyncio.ensure_future(self.beat())
        return self

    def models(self):
        if not self.is_engine:
            return []
        now = time.monotonic()
        names = [f"{name}@{version}"
                 for name, (version, at) in self.adapters.items() if at <= now]
        return [{"name": "m1", "version": 1, "adapters": names}]

    def coming(self):
        now = time.monotonic()
        loading = [f"m1/{name}@{version}"
                   for name, (version, at) in self.adapters.items()
                   if at > now]
        return loading + [f"m1/{name}@{version}"
                          for name, version in self.replacing.items()]

    def spec(self):
        host, port = self.listed_address
        return {"service": self.service, "address": f"{host}:{port}",
                "zone": self.zone, "version": "s1", "slots": self.slots,
                "state": self.state, "coldLeftMs": 0, "seq": self.seq,
                "stage": "both", "models": self.models()}

    def list(self):
        self.listed = self.spec()
        self.store.put("servers", self.name, self.listed)
        self.record.add("entry", worker=self.name, state=self.state)

    async def beat(self):
        """Writes the entry again when more than `seq` has changed."""
        while self.listed is not None:
            await asyncio.sleep(HEARTBEAT_S)
            if self.listed is not None and \
                    {**self.spec(), "seq": 0} != {**self.listed, "seq": 0}:
                self.list()

    def unlist(self):
        self.listed = None
        self.store.delete("servers", self.name)
        self.record.add("entry", worker=self.name, state="deleted")

    def crash(self):
        """Ends as a killed process does: nothing is said, channels reset."""
        self.is_down = True
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.record.add("crash", worker=self.name)

    async def handle(self, request, writer, gone):
        if request.path == "/healthz":
            ok = self.state == "ready"
            writer.write(whole(200 if ok else 503, b"",
                               {"instance-id": self.name}))
        elif request.path == "/v1/report":
            writer.write(answer_json(200, {
                "stage": "both", "models": self.models(), "inFlight": False,
                "seq": self.seq, "queued": 0, "running": self.running,
                "kvUsed": 0, "kvTotal": 200000, "handles": 0,
                "coming": self.coming()}))
        elif request.path == "/v1/order":
            self.order(request, writer)
        else:
            await self.take(request, writer, gone)
        await writer.drain()

    def order(self, request, writer):
        order = json.loads(request.body)
        self.orders.append((self.record.now(), order))
        status = self.carry_out(request, order)
        self.record.add("order", worker=self.name, status=status, **{
            k: order.get(k) for k in ("op", "adapter", "version", "holder",
                                      "fence", "expected")})
        writer.write(whole(status))

    def carry_out(self, request, order):
        if request.headers.get("target-instance", self.name) != self.name:
            return 421
        if order.get("expected") not in (None, self.seq):
            return 409
        adapter = order.get("adapter")
        if adapter is None:
            return 200
        if order["op"] == "unload":
            if adapter not in self.adapters:
                return 200
            self.seq += 1
            if self.uses.get(adapter):
                self.unloading.add(adapter)
                return 202
            del self.adapters[adapter]
            return 200
        version = order.get("version") or self.newest.get(adapter, 1)
        if self.adapters.get(adapter, (0, 0))[0] == version:
            return 200
        self.seq += 1
        # What is held, with what is on its way.
        count = len(self.adapters) + len(self.replacing) + 1
        if count > self.adapter_slots:
            self.over_limit.append((self.record.now(), adapter, count))
            self.record.add("over-limit", worker=self.name, adapter=adapter,
                            adapters=count, slots=self.adapter_slots)
        if self.uses.get(adapter):
            # A replacement waits for the runs of the version before.
            self.replacing[adapter] = version
        else:
            self.adapters[adapter] = (version, time.monotonic() + 0.1)
        return 202

    def run_ended(self, adapter):
        self.uses[adapter] -= 1
        if self.uses[adapter]:
            return
        if adapter in self.unloading:
            self.unloading.discard(adapter)
            self.adapters.pop(adapter, None)
        if adapter in self.replacing:
            version = self.replacing.pop(adapter)
            self.adapters[adapter] = (version, time.monotonic() + 0.1)

    def refuse(self, status, request):
        headers = {"request-id": request.headers.get("request-id", "")}
        if status == 503:
            headers["not-executed"] = "1"
        return whole(status, b"", headers)

    def holds(self, request):
        model = request.headers.get("model", "")
        name, _, adapter = model.partition("/")
        if not adapter:
            return name == "m1"
        version, at = self.adapters.get(adapter, (0, float("inf")))
        wanted = request.headers.get("expect-version")
        return at <= time.monotonic() and wanted in (None, str(version))

    async def take(self, request, writer, gone):
        headers = request.headers
        self.arrivals.append((self.record.now(), headers.get("request-id")))
        if headers.get("target-instance", self.name) != self.name:
            writer.write(self.refuse(421, request))
            return
        if self.is_engine and not self.holds(request):
            writer.write(self.refuse(421, request))
            return
        adapter = headers.get("model", "").partition("/")[2]
        is_changing = adapter in self.replacing or adapter in self.unloading
        if self.running >= self.slots + self.queue or is_changing:
            writer.write(self.refuse(503, request))
            return
        run = Run(self, request, self.record.now())
        self.runs.append(run)
        self.running += 1
        self.uses[adapter] = self.uses.get(adapter, 0) + 1
        version = self.adapters.get(adapter, ("", 0))[0]
        self.record.add("run", worker=self.name, id=run.id, path=run.path,
                        version=version)
        try:
            if self.is_engine:
                await self.stream(run, writer, gone)
            else:
                await self.work(run, writer, gone)
            if run.state == "running":
                run.state = "dropped" if gone.is_set() else "done"
        finally:
            self.running -= 1
            self.run_ended(adapter)
            run.ended = self.record.now()
            if run.state == "running":
                run.state = "broken"

    def seal(self, run):
        return {"request-id": run.id, "response-seal": f"seal.{run.id}"}

    async def work(self, run, writer, gone):
        await self.pause(self.work_s, gone)
        if not gone.is_set() and not self.is_down:
            body = f"{self.service} {run.id}".encode()
            writer.write(whole(200, body, self.seal(run)))

    @staticmethod
    async def pause(seconds, gone):
        """Waits, but not past the close of the channel."""
        try:
            await asyncio.wait_for(gone.wait(), seconds)
        except asyncio.TimeoutError:
            pass

    async def stream(self, run, writer, gone):
        after = int(run.headers.get("last-event-id") or 0)
        headers = self.seal(run)
        adapter = run.headers.get("model", "").partition("/")[2]
        headers["weight-versions"] = str(self.adapters.get(adapter, (1, 0))[0])
        headers["content-type"] = "text/event-stream"
        headers["transfer-encoding"] = "chunked"
        events = int(run.headers.get("stand-in-events") or self.events)
        for n in range(after + 1, events + 1):
            await self.pause(self.event_s, gone)
            if gone.is_set() or self.is_down:
                return
            if n == after + 1:
                writer.write(head_bytes(200, headers))
            event = f"id: {n}\ndata: {run.id}.{n}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        if after >= events:
            writer.write(head_bytes(200, headers))
        writer.write(b"0\r\n\r\n")


class Link:
    """A loopback proxy in front of an address."""

    def __init__(self, to):
        self.to = to
        self.address = None
        self.pairs = []

    async def open(self):
        server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()[:2]
        return self

    async def accept(self, reader, writer):
        try:
            other_reader, other_writer = \
                await asyncio.open_connection(*self.to)
        except OSError:
            reset(writer)
            return
        pair = {"is_silent": False, "ends": (writer, other_writer)}
        self.pairs.append(pair)
        await asyncio.gather(self.copy(pair, reader, other_writer),
                             self.copy(pair, other_reader, writer))
        self.pairs.remove(pair)

    async def copy(self, pair, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                # A silent channel carries nothing more, not even its end.
                while pair["is_silent"]:
                    if not data:
                        return
                    data = await reader.read(65536)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError):
            if not pair["is_silent"]:
                reset(writer)

    def silence_open(self):
        """The channels that are open carry nothing more; new ones work."""
        for pair in self.pairs:
            pair["is_silent"] = True
        return len(self.pairs)


# Consumers.


class Answer:
    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_whole = False
        self.sent = None
        self.ended = None
        self.cause = ""


async def send(record, address, path, request_id, headers=None, body=b"x",
               method="POST", deadline_ms=1000, host="league.example",
               on_data=None, patience=None):
    """Sends one request on a new channel, as a consumer does."""
    answer = Answer()
    answer.sent = record.now()
    patience = patience or deadline_ms / 1000
    try:
        await asyncio.wait_for(
            exchange(answer, address, path, request_id, headers or {}, body,
                     method, deadline_ms, host, on_data), patience)
    except (OSError, ConnectionError, asyncio.IncompleteReadError,
            ValueError) as err:
        answer.cause = type(err).__name__
    except asyncio.TimeoutError:
        answer.cause = "gave up"
    answer.ended = record.now()
    return answer


async def exchange(answer, address, path, request_id, headers, body, method,
                   deadline_ms, host, on_data):
    reader, writer = await asyncio.open_connection(*address)
    try:
        lines = {"host": host, "request-id": request_id,
                 "request-deadline": str(deadline_ms),
                 "content-length": str(len(body)), **headers}
        text = f"{method} {path} HTTP/1.1\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in lines.items()) + "\r\n"
        writer.write(text.encode("latin-1") + body)
        await writer.drain()
        head = await read_headers(reader)
        if head is None:
            raise ConnectionError("closed with no answer")
        line, answer.headers = head
        answer.status = int(line.split(" ")[1])
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            async for part in read_chunks(reader):
                answer.body += part
                if on_data:
                    on_data(part)
        else:
            length = int(answer.headers.get("content-length", 0))
            answer.body = await reader.readexactly(length)
        answer.is_whole = True
    finally:
        writer.close()


# Instances.


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) \
            else value.get(part) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def fill(text, fields):
    """Fills a settings template as DEPLOY.md tells."""
    def section(match):
        value = lookup(fields, match.group(2))
        is_on = value is not None and value is not False
        keep = is_on if match.group(1) == "#" else not is_on
        return match.group(3) if keep else ""

    def gap(match):
        value = lookup(fields, match.group(1))
        if match.group(2):
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(map(str, value))
        if isinstance(value, bool):
            return str(value).lower()
        return "" if value is None else str(value)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)


def free_ports(host, count):
    """Returns ports that are free by TCP and UDP, and differ."""
    held = []
    ports = []
    try:
        while len(ports) < count:
            tcp, udp = socket.socket(), socket.socket(type=socket.SOCK_DGRAM)
            held += [tcp, udp]
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((host, port))
                ports.append(port)
            except OSError:
                continue
    finally:
        for sock in held:
            sock.close()
    return ports


class Instance:
    """A process of sedgewalld with settings as the platform fills them in."""

    def __init__(self, deployment, number, store_address, zone):
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        # The metrics port of the deploy file is the same on all machines.
        self.ip = f"127.0.{17 + os.getpid() % 200}.{number}"
        ports = free_ports(self.ip, 3)
        self.front, self.ready, self.peer = ((self.ip, p) for p in ports)
        self.deployment = deployment
        self.store_address = store_address
        self.settings = os.path.join(deployment.folder, self.name + ".yaml")
        self.log = os.path.join(deployment.folder, self.name + ".log")
        self.process = None

    def start(self, bootstrap):
        text = lambda address: f"{address[0]}:{address[1]}"
        fields = {
            "nodeName": self.name, "zone": self.zone, "ip": self.ip,
            "listen": {"front": text(self.front), "ready": text(self.ready)},
            "portRange": [self.peer[1], self.peer[1] + 15],
            "platform": {"address": text(self.store_address)},
            "bounds": BOUNDS, "contracts": CONTRACTS, "bootstrap": bootstrap,
            "limits": {"cpuShare": 0.25, "memoryMb": 260},
        }
        with open(TEMPLATE, encoding="utf-8") as template:
            filled = fill(template.read(), fields)
        with open(self.settings, "w", encoding="utf-8") as settings:
            settings.write(filled)
        log = open(self.log, "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "--settings", self.settings], stdout=log, stderr=log,
            cwd=ROOT)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def lines(self, text):
        with open(self.log, encoding="utf-8", errors="replace") as log:
            return [line for line in log if text in line]

    async def is_ready(self, record):
        answer = await send(record, self.ready, "/readyz", "ready",
                            method="GET", body=b"", patience=1)
        return answer.status == 200


class Deployment:
    """A store and the instances in front of it."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="sedgewall-review-")
        self.instances = []
        self.removed = []
        self.store_ports = []
        self.links = []

    async def open(self):
        self.store = await Store(self.record).open()
        return self

    async def start_instances(self, count, zones=("z1", "z2", "z3"),
                              linked=True):
        for number in range(1, count + 1):
            # The port tells the store which instance calls.
            server = await asyncio.start_server(self.store.serve, "127.0.0.1",
                                                0)
            address = server.sockets[0].getsockname()[:2]
            self.store_ports.append(address[1])
            if linked:
                link = await Link(address).open()
                self.links.append(link)
                address = link.address
            instance = Instance(self, number, address,
                                zones[number % len(zones)])
            self.instances.append(instance)
        for instance in self.instances:
            instance.start(True)
        await self.all_ready()

    async def all_ready(self, within=20):
        until = time.monotonic() + within
        for instance in self.instances:
            while not await instance.is_ready(self.record):
                if time.monotonic() > until:
                    last = instance.lines("")[-1:] or ["no log"]
                    raise CannotRun(f"{instance.name} is not ready, ended "
                                    f"{instance.process.poll()}: {last[0]}")
                await asyncio.sleep(0.05)

    def close(self, keep=False):
        for instance in self.instances + self.removed:
            instance.kill()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be set up."""


def route(name, path, service, kind="unsafe", attempts=1, resumable=False,
          target_ms=150, timeout_ms=None, priority=1, gap_ms=None):
    value = {
        "name": name, "host": "league.example", "pathPrefix": path,
        "kind": kind, "timeoutMs": timeout_ms or 1000,
        "targetLatencyMs": target_ms, "priority": priority,
        "service": service, "maxAttempts": attempts, "resumable": resumable,
    }
    if gap_ms:
        value["gapAimMs"] = gap_ms
    return value


def manifest(version, routes, services):
    return {
        "version": version, "routes": routes, "services": services,
        "tenants": [],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }


def engine_service(name, slots=32, adapter_slots=16):
    return {"name": name, "maxConns": 230, "healthPath": "/healthz",
            "engine": {
                "slots": slots, "kvCapacity": 219357, "mb": 67000.0,
                "adapterSlots": adapter_slots, "loadsPerS": 9.3,
                "models": [{"name": "m1", "mb": 65100.0, "loadS": 0.6,
                            "adapters": 3000, "adapterMb": 12.0}]}}


def plain_service(name):
    return {"name": name, "maxConns": 96, "healthPath": "/healthz"}


def play(case, folder):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, and 2
    if the case could not run."""
    if not os.path.exists(PROGRAM):
        print("target/release/sedgewalld is not built")
        raise SystemExit(2)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.add("case", trouble=int(trouble))

    async def run():
        # Connections that are open at the end are cancelled, which asyncio
        # would report for each of them.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        # The instances are ended also if the script is.
        case_task = asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, case_task.cancel)
        deployment = await Deployment(record).open()
        try:
            return await asyncio.wait_for(case(deployment, record, trouble),
                                          110)
        finally:
            deployment.close(keep="KEEP" in os.environ)
            if "KEEP" in os.environ:
                print(deployment.folder)

    try:
        broken = asyncio.run(run())
        code = 1 if broken else 0
    except (asyncio.CancelledError, KeyboardInterrupt):
        record.add("cannot-run", cause="ended from outside")
        code = 2
    except CannotRun as err:
        record.add("cannot-run", cause=err)
        print(f"the case could not run: {err}")
        code = 2
    except Exception:
        record.add("cannot-run", cause=traceback.format_exc())
        traceback.print_exc()
        code = 2
    record.add("end", code=code)
    record.close()
    raise SystemExit(code)
