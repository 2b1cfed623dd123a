"""A small stand-in of the platform's metadata store (PROTOCOL, "The platform's
metadata store"): objects by kind and name, conditional writes and watches.

Each instance calls the store at an address of its own (`Front`), so that a
script can cut a single instance off.
"""

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

HISTORY_S = 20.0


class Store:
    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 100
        self.objects = {}
        self.events = []

    def put(self, kind, name, spec):
        """Writes as the operator or a worker does."""
        with self.lock:
            known = self.objects.get((kind, name))
            if known is not None and known["spec"] == spec:
                return known
            return self._write(kind, name, spec, known)

    def remove(self, kind, name):
        with self.lock:
            known = self.objects.pop((kind, name), None)
            if known is not None:
                self.revision += 1
                gone = json.loads(json.dumps(known))
                gone["metadata"]["revision"] = self.revision
                self._record(kind, gone, True)

    def _write(self, kind, name, spec, known):
        self.revision += 1
        created = known["metadata"]["createdRev"] if known else self.revision
        value = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "createdRev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": known["status"] if known else None,
        }
        self.objects[(kind, name)] = value
        self._record(kind, value, False)
        return value

    def _record(self, kind, value, deleted):
        now = time.monotonic()
        self.events.append((self.revision, kind, value, deleted, now))
        while self.events and now - self.events[0][4] > HISTORY_S:
            self.events.pop(0)
        self.lock.notify_all()

    def list(self, kind):
        with self.lock:
            named = sorted(n for k, n in self.objects if k == kind)
            items = [self.objects[(kind, n)] for n in named]
            return {
                "items": items,
                "morePages": False,
                "currentRev": self.revision,
            }

    def watch(self, kind, since, wait_s):
        """Returns None if the history since that revision is gone."""
        until = time.monotonic() + wait_s
        with self.lock:
            while True:
                oldest = self.events[0][0] if self.events else self.revision + 1
                if since + 1 < oldest and since < self.revision:
                    return None
                found = [
                    {"object": value, "deleted": deleted}
                    for rev, k, value, deleted, _ in self.events
                    if k == kind and rev > since
                ]
                left = until - time.monotonic()
                if found or left <= 0:
                    return {"events": found, "currentRev": self.revision}
                self.lock.wait(left)

    def get(self, kind, name):
        with self.lock:
            return self.objects.get((kind, name))

    def create(self, kind, name, spec):
        with self.lock:
            known = self.objects.get((kind, name))
            if known is not None:
                return 409, known
            return 200, self._write(kind, name, spec, None)

    def replace(self, kind, name, revision, spec):
        with self.lock:
            known = self.objects.get((kind, name))
            if known is None:
                return 404, None
            at = known["metadata"]["revision"]
            if revision is not None and revision != at:
                return 409, known
            if known["spec"] == spec:
                return 200, known
            return 200, self._write(kind, name, spec, known)

    def delete(self, kind, name, revision):
        with self.lock:
            known = self.objects.get((kind, name))
            if known is None:
                return 404, None
            at = known["metadata"]["revision"]
            if revision is not None and revision != at:
                return 409, known
            self.remove(kind, name)
            return 200, known


class Front:
    """The address at which one instance calls the store."""

    def __init__(self, store, host="127.0.0.1"):
        self.store = store
        self.is_cut = threading.Event()
        self.healed = threading.Event()
        self.healed.set()
        # Replaces what this instance reads of an object, so that its way to
        # another instance leads through a proxy.
        self.rewrite = lambda kind, value: value
        front = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def handle_one_request(self):
                try:
                    super().handle_one_request()
                except OSError:
                    self.close_connection = True

            def do_GET(self):
                front._handle(self)

            do_POST = do_PUT = do_DELETE = do_GET

        self.server = ThreadingHTTPServer((host, 0), Handler)
        self.server.daemon_threads = True
        self.address = "%s:%d" % self.server.server_address
        serve = self.server.serve_forever
        threading.Thread(target=serve, daemon=True).start()

    def cut(self):
        """From now on nothing is heard in either direction."""
        self.healed.clear()
        self.is_cut.set()

    def heal(self):
        self.is_cut.clear()
        self.healed.set()

    def _lost(self, http):
        """A call that meets the cut is lost with its channel."""
        self.healed.wait()
        http.close_connection = True

    def _handle(self, http):
        length = int(http.headers.get("content-length") or 0)
        body = http.rfile.read(length) if length else b""
        if self.is_cut.is_set():
            return self._lost(http)
        status, value = self._answer(http.command, http.path, body)
        if self.is_cut.is_set():
            return self._lost(http)
        data = b"" if value is None else json.dumps(value).encode()
        http.send_response(status)
        http.send_header("Content-Type", "application/json")
        http.send_header("Content-Length", str(len(data)))
        http.end_headers()
        http.wfile.write(data)

    def _answer(self, method, target, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = parts.path.removeprefix("/v1/objects/").split("/")
        kind, name = path[0], path[1] if len(path) > 1 else None
        store = self.store
        if method == "GET" and name is None and "watch" in query:
            wait_s = min(float(query.get("waitMs", 0)), 30000.0) / 1000.0
            seen = store.watch(kind, int(query["watch"]), wait_s)
            if seen is None:
                return 410, {}
            for event in seen["events"]:
                event["object"] = self.rewrite(kind, event["object"])
            return 200, seen
        if method == "GET" and name is None:
            listed = store.list(kind)
            rewritten = [self.rewrite(kind, o) for o in listed["items"]]
            return 200, {**listed, "items": rewritten}
        if method == "GET":
            known = store.get(kind, name)
            if known is None:
                return 404, {}
            return 200, self.rewrite(kind, known)
        if method == "DELETE":
            revision = query.get("revision")
            revision = int(revision) if revision is not None else None
            return store.delete(kind, name, revision)
        sent = json.loads(body)
        meta = sent.get("metadata", {})
        if method == "POST":
            return store.create(kind, meta["name"], sent.get("spec"))
        revision = meta.get("revision")
        status, value = store.replace(kind, name, revision, sent.get("spec"))
        return status, value if value is not None else {}
