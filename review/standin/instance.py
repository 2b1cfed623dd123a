"""Instances of sedgewalld as processes, by the command of the deploy file."""

import os
import signal
import socket
import subprocess
import time
import urllib.request

ROOT = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
)
PROGRAM = os.path.join(ROOT, "target/release/sedgewalld")

# deploy/settings.yaml, filled in with the figures of the site lfg-brabant.
SETTINGS = """\
instance: "{name}"
zone: "{zone}"
caller_listen: "{ip}:{front}"
operator_listen: "{ip}:{ready}"
peer_listen: "{ip}:{peer}"
platform_url: "http://{store}"
limits:
  connections: 3500
fleet:
  retry_share: 0.2
  retry_slack: 52
  retry_window_s: 10
  order_turn_ms: 3000
  store_window_s: 5
  store_overage: 1.1
  revoke_within_ms:
  in_force_within_ms: 2000
  grace_s: 8
  cpu_share: 0.25
  has_run_before: {has_run_before}
  metrics_listen: "{ip}:{metrics}"
  contracts: "{contracts}"
  memory_mb: 260
"""

CONTRACTS = "base,drain,config,cost,retry,recover,fleet,stream,engine,platform"


def free_port(ip):
    with socket.socket() as tcp, socket.socket(
        socket.AF_INET, socket.SOCK_DGRAM
    ) as udp:
        tcp.bind((ip, 0))
        port = tcp.getsockname()[1]
        udp.bind((ip, port))
        return port


class Instance:
    def __init__(self, folder, name, ip, store, contracts=CONTRACTS):
        self.folder, self.name, self.ip, self.zone = folder, name, ip, "z1"
        self.store, self.contracts = store, contracts
        ports = set()
        while len(ports) < 4:
            ports.add(free_port(ip))
        self.front, self.ready, self.peer, self.metrics = ports
        self.process = None

    def start(self, has_run_before):
        path = os.path.join(self.folder, self.name + ".yaml")
        with open(path, "w") as file:
            file.write(
                SETTINGS.format(
                    name=self.name,
                    zone=self.zone,
                    ip=self.ip,
                    front=self.front,
                    ready=self.ready,
                    peer=self.peer,
                    metrics=self.metrics,
                    store=self.store,
                    has_run_before=str(has_run_before).lower(),
                    contracts=self.contracts,
                )
            )
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "--settings", path], cwd=ROOT, stdout=log, stderr=log
        )
        log.close()

    def _fetch(self, port, path):
        url = f"http://{self.ip}:{port}{path}"
        with urllib.request.urlopen(url, timeout=1) as answer:
            return answer.read().decode()

    def is_ready(self):
        try:
            self._fetch(self.ready, "/readyz")
            return True
        except OSError:
            return False

    def leads(self):
        try:
            text = self._fetch(self.metrics, "/metrics")
        except OSError:
            return False
        return "sedgewall_leads 1" in text.splitlines()

    def wait_ready(self, within=20.0):
        until = time.monotonic() + within
        while time.monotonic() < until:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    def wait_end(self, within):
        try:
            self.process.wait(within)
            return True
        except subprocess.TimeoutExpired:
            return False

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
