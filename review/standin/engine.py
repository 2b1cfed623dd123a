"""A small stand-in of a model worker (PROTOCOL, "Model placement" and
"Workers"): reports, orders for adapters, and streams."""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

LOAD_S = 0.25
EVENTS = 4
EVENT_S = 0.02


class Engine:
    def __init__(self, store, name, service, model, adapter_slots):
        self.store, self.name = store, name
        self.model, self.adapter_slots = model, adapter_slots
        self.lock = threading.Lock()
        self.seq = 0
        # Name of an adapter: when it is loaded, and its version.
        self.adapters = {}
        self.in_use = {}
        # (time, holder, fence, op, adapter, status) of each order.
        self.orders = []
        self.runs = []
        self.over_limit = []
        engine = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def handle_one_request(self):
                try:
                    super().handle_one_request()
                except OSError:
                    self.close_connection = True

            def do_GET(self):
                engine._handle(self)

            do_POST = do_GET

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.server.request_queue_size = 128
        serve = self.server.serve_forever
        threading.Thread(target=serve, daemon=True).start()
        store.put(
            "servers",
            name,
            {
                "service": service,
                "address": "%s:%d" % self.server.server_address,
                "zone": "z1",
                "version": "v1",
                "slots": 32,
                "state": "ready",
                "coldLeftMs": 0,
                "stage": "both",
                "models": [{"name": model, "version": 1, "adapters": []}],
                "seq": 1,
            },
        )

    def _reply(self, http, status, value=None, headers=()):
        data = b"" if value is None else json.dumps(value).encode()
        http.send_response(status)
        for name, text in headers:
            http.send_header(name, text)
        http.send_header("Content-Length", str(len(data)))
        http.end_headers()
        http.wfile.write(data)

    def _handle(self, http):
        length = int(http.headers.get("content-length") or 0)
        body = http.rfile.read(length) if length else b""
        if http.path == "/v1/report":
            return self._reply(http, 200, self._report())
        target = http.headers.get("target-instance")
        if target is not None and target != self.name:
            return self._reply(
                http, 421, headers=[("Instance-Id", self.name)]
            )
        if http.path == "/v1/order":
            return self._reply(http, self._order(json.loads(body)), {})
        self._run(http)

    def _report(self):
        now = time.monotonic()
        with self.lock:
            there = [
                f"{name}@{version}"
                for name, (at, version) in self.adapters.items()
                if at <= now
            ]
            coming = [
                f"{self.model}/{name}@{version}"
                for name, (at, version) in self.adapters.items()
                if at > now
            ]
            return {
                "stage": "both",
                "models": [
                    {"name": self.model, "version": 1, "adapters": there}
                ],
                "coming": coming,
                "inFlight": False,
                "seq": self.seq,
                "queued": 0,
                "running": sum(self.in_use.values()),
                "kvUsed": 0,
                "kvTotal": 219357,
                "handles": 0,
            }

    def _order(self, order):
        with self.lock:
            status = self._carry_out(order)
            self.orders.append(
                (
                    time.monotonic(),
                    order.get("holder"),
                    order.get("fence"),
                    order.get("op"),
                    order.get("adapter"),
                    status,
                )
            )
            return status

    def _carry_out(self, order):
        if "holder" not in order or "fence" not in order:
            return 400
        if order.get("expected", self.seq) != self.seq:
            return 409
        now = time.monotonic()
        name = order.get("adapter")
        if order.get("op") == "load" and name:
            version = order.get("version", 1)
            if name in self.adapters:
                return 200
            if len(self.adapters) >= self.adapter_slots:
                self.over_limit.append((now, order))
            self.adapters[name] = (now + LOAD_S, version)
            self.seq += 1
            return 202
        if order.get("op") == "unload" and name:
            self.seq += 1
            self.adapters.pop(name, None)
            return 202 if self.in_use.get(name) else 200
        return 400

    def _run(self, http):
        model, _, name = http.headers.get("model", "").partition("/")
        request = http.headers.get("request-id")
        with self.lock:
            at, _ = self.adapters.get(name, (None, None))
            if name and (at is None or model != self.model):
                status = 421
            elif name and at > time.monotonic():
                status = 503
            else:
                status = 200
                self.in_use[name] = self.in_use.get(name, 0) + 1
                self.runs.append((time.monotonic(), request))
        if status == 421:
            return self._reply(
                http, 421, headers=[("Instance-Id", self.name)]
            )
        if status == 503:
            return self._reply(http, 503, headers=[("Not-Executed", "1")])
        try:
            http.send_response(200)
            http.send_header("Request-Id", request)
            http.send_header("Response-Seal", f"seal.{self.name}.{request}")
            http.send_header("Weight-Versions", "1")
            http.send_header("Content-Type", "text/event-stream")
            http.send_header("Transfer-Encoding", "chunked")
            http.end_headers()
            for number in range(1, EVENTS + 1):
                time.sleep(EVENT_S)
                event = f"id: {number}\ndata: {request} {number}\n\n".encode()
                http.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            http.wfile.write(b"0\r\n\r\n")
        finally:
            with self.lock:
                self.in_use[name] -= 1
