"""A small stand-in of a worker of a plain service (PROTOCOL, "Workers"). It
keeps its channels and serves one request at a time on each."""

import socket
import threading
import time


class Service:
    """`answer(request, channel)` writes the answer to a request that runs."""

    def __init__(self, store, name, service, answer, host="127.0.0.1"):
        self.name, self.answer = name, answer
        self.lock = threading.Lock()
        # (time, request id) of each run.
        self.runs = []
        self.listener = socket.create_server((host, 0), backlog=128)
        address = "%s:%d" % self.listener.getsockname()[:2]
        threading.Thread(target=self._accept, daemon=True).start()
        store.put(
            "servers",
            name,
            {
                "service": service,
                "address": address,
                "zone": "z1",
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": 1,
            },
        )

    def _accept(self):
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            channel = Channel(connection)
            threading.Thread(
                target=self._serve, args=(channel,), daemon=True
            ).start()

    def _serve(self, channel):
        try:
            with channel.connection:
                while True:
                    request = channel.read_request()
                    if request is None:
                        return
                    self._handle(request, channel)
        except OSError:
            pass

    def _handle(self, request, channel):
        target = request.headers.get("target-instance")
        if target is not None and target != self.name:
            channel.write(421, [("Instance-Id", self.name)])
            return
        name = request.headers.get("request-id")
        if name is None:
            channel.write(400, [("Not-Executed", "1")])
            return
        with self.lock:
            self.runs.append((time.monotonic(), name))
        self.answer(request, channel)

    def proof(self, request):
        """The headers of an answer to a request that ran."""
        name = request.headers["request-id"]
        return [
            ("Request-Id", name),
            ("Response-Seal", f"seal.{self.name}.{name}"),
        ]


class Request:
    def __init__(self, line, headers, body):
        self.line, self.headers, self.body = line, headers, body


class Channel:
    def __init__(self, connection):
        self.connection = connection
        self.file = connection.makefile("rb")
        self.lock = threading.Lock()

    def read_request(self):
        line = self.file.readline().decode("latin-1").strip()
        if not line:
            return None
        headers = {}
        while True:
            text = self.file.readline().decode("latin-1").strip()
            if not text:
                break
            name, _, value = text.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length") or 0)
        body = self.file.read(length) if length else b""
        return Request(line, headers, body)

    def write(self, status, headers=(), body=b""):
        with self.lock:
            self.connection.sendall(encode(status, headers, body))


REASONS = {
    200: "OK",
    400: "Bad Request",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


def encode(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS[status]}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body
