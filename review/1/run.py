"""Two instances, of which one holds the lease on orders. The other one is
stopped and started again; meanwhile the holder is cut off from the platform's
store and from the other instance, but not from the workers."""

import os
import random
import shutil
import signal
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))

from engine import Engine  # noqa: E402
from instance import PROGRAM, Instance  # noqa: E402
from link import Link  # noqa: E402
from platform_store import Front, Store  # noqa: E402
from record import Record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Site lfg-brabant: core_cut of one machine for 7.7 s.
CUT_S = 7.5
# From the end of the process to its next start, and from the end to the cut.
RESTART_DELAY_S = 0.5
CUT_DELAY_S = 0.1
LEASE_MS = 3000
THAW_SLACK_S = 0.3

SERVICE, MODEL = "coach-llm", "m1"
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "tip",
            "host": "league.example",
            "pathPrefix": "/tip/",
            "kind": "streaming",
            "timeoutMs": 5000,
            "targetLatencyMs": 600,
            "priority": 1,
            "service": SERVICE,
            "maxAttempts": 1,
            "sticky": True,
            "resumable": False,
            "gapAimMs": 400,
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "healthPath": "/healthz",
            "maxConns": 230,
            "protocol": "h1",
            "tls": False,
            "engine": {
                "slots": 32,
                "kvCapacity": 219357,
                "models": [
                    {
                        "name": MODEL,
                        "mb": 65100.0,
                        "loadS": 0.6,
                        "adapters": 3000,
                        "adapterMb": 12.0,
                    }
                ],
                "mb": 66600.0,
                "adapterSlots": 4,
                "loadsPerS": 9.3,
            },
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


class Callers:
    """Send requests for adapters that are rarely the same."""

    def __init__(self, record, instance, seed):
        self.record, self.instance = record, instance
        self.random = random.Random(seed)
        self.is_stopped = False
        self.numbers = {}
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        number = 0
        while not self.is_stopped:
            number += 1
            thread = threading.Thread(
                target=self._call, args=(number,), daemon=True
            )
            thread.start()
            time.sleep(0.15)

    def _call(self, number):
        adapter = f"a{self.random.randint(1, 60)}"
        name = f"{self.instance.name}-{number}"
        request = urllib.request.Request(
            f"http://{self.instance.ip}:{self.instance.front}/tip/{number}",
            data=b"a prompt",
            headers={
                "Host": "league.example",
                "Request-Id": name,
                "Request-Deadline": "5000",
                "Model": f"{MODEL}/{adapter}",
                "Token-Usage": "200,20",
                "Prompt-Prefix": f"{number:08x}:200",
            },
        )
        try:
            with urllib.request.urlopen(request, timeout=6) as answer:
                answer.read()
                status = str(answer.status)
        except urllib.error.HTTPError as err:
            status = str(err.code)
        except OSError as err:
            status = type(err).__name__
        self.numbers[status] = self.numbers.get(status, 0) + 1
        self.record.line(f"request {name} for {adapter}: {status}")


def broken(orders, healed):
    """The rule ONE for the orders to one worker, which checks no fences.
    Only orders that the worker took are counted."""
    found = []
    counted = [
        order
        for order in orders
        if order[5] in (200, 202)
        and not (healed and healed <= order[0] <= healed + THAW_SLACK_S)
    ]
    holder_of = {}
    highest = None
    for order in counted:
        at, holder, fence = order[:3]
        known = holder_of.setdefault(fence, holder)
        if known != holder:
            found.append((at, f"{holder} and {known} both order under {fence}"))
        if highest is not None and fence < highest[0]:
            text = f"{holder} orders under {fence} after {highest[1]} did "
            found.append((at, text + f"under {highest[0]}"))
        if highest is None or fence > highest[0]:
            highest = (fence, holder)
    turns = []
    for order in counted:
        if not turns or turns[-1][1] != order[1]:
            turns.append(order)
    for first, second, third in zip(turns, turns[1:], turns[2:]):
        if first[1] == third[1] and third[0] - second[0] < LEASE_MS / 1000:
            text = f"{first[1]}, {second[1]} and {third[1]} take turns"
            found.append((third[0], text + f" within {LEASE_MS} ms"))
    return found


def main():
    if not os.path.exists(PROGRAM):
        print("sedgewalld is not built")
        return 2
    # The processes are ended also if this one is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    folder = tempfile.mkdtemp(prefix="sedgewall-review-")
    record = Record(HERE)
    instances = []
    try:
        return play(folder, record, instances)
    finally:
        for instance in instances:
            instance.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)


def play(folder, record, instances):
    store = Store()
    store.put("config", "main", CONFIG)
    engines = [Engine(store, f"e{n}", SERVICE, MODEL, 4) for n in range(4)]
    fronts = [Front(store), Front(store)]
    one = Instance(folder, "front-1", "127.0.0.2", fronts[0].address)
    two = Instance(folder, "front-2", "127.0.0.3", fronts[1].address)
    instances += [one, two]
    links = [
        Link("127.0.0.4", (one.ip, one.peer), (two.ip, two.peer)),
        Link("127.0.0.5", (two.ip, two.peer), (one.ip, one.peer)),
    ]
    for front, own, link in zip(fronts, instances, links):
        front.rewrite = lambda kind, value, own=own, link=link: (
            rewritten(kind, value, own, link)
        )
    for instance in instances:
        instance.start(has_run_before=False)
    for instance in instances:
        if not instance.wait_ready():
            print(f"{instance.name} did not become ready")
            return 2
    record.line("both instances are ready")
    callers = [
        Callers(record, instance, seed)
        for seed, instance in enumerate(instances)
    ]
    holder = wait_for_holder(instances, engines)
    if holder is None:
        print("no instance gives orders")
        return 2
    at = instances.index(holder)
    follower = instances[1 - at]
    record.line(f"{holder.name} holds the lease and gives orders")
    time.sleep(2)

    record.line(f"SIGTERM of {follower.name}")
    follower.terminate()
    stopped = time.monotonic()
    if not follower.wait_end(10):
        print(f"{follower.name} did not stop")
        return 2
    took = time.monotonic() - stopped
    record.line(f"{follower.name} has ended after {took:.2f} s")
    time.sleep(CUT_DELAY_S)
    cut_at = time.monotonic()
    if TROUBLE:
        fronts[at].cut()
        for link in links:
            link.is_cut = True
        record.line(f"{holder.name} is cut off from store and instance")
    time.sleep(RESTART_DELAY_S - CUT_DELAY_S)
    follower.start(has_run_before=True)
    record.line(f"{follower.name} is started again")
    if not follower.wait_ready():
        print(f"{follower.name} did not become ready again")
        return 2
    record.line(f"{follower.name} is ready")
    time.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
    healed = None
    if TROUBLE:
        fronts[at].heal()
        for link in links:
            link.is_cut = False
        healed = time.monotonic()
        record.line("the cut is over")
    time.sleep(6)
    for caller in callers:
        caller.is_stopped = True
    time.sleep(1)

    found = []
    for engine in engines:
        for order in engine.orders:
            name = f"{order[3]} {order[4]}"
            record.line(
                f"order at {engine.name}: {name}, holder {order[1]}, "
                f"fence {order[2]}: {order[5]}",
                order[0],
            )
        found += [
            (at, f"at {engine.name}: {what}")
            for at, what in broken(engine.orders, healed)
        ]
    for caller in callers:
        record.line(f"answers of {caller.instance.name}: {caller.numbers}")
    orders = sum(len(engine.orders) for engine in engines)
    record.line(f"{orders} orders, the rule ONE was broken {len(found)} times")
    for at, what in sorted(found):
        record.line(f"ONE: {what}", at)
    if found:
        print(f"ONE was broken {len(found)} times; first: {min(found)[1]}")
        return 1
    print("ONE held")
    return 0


def rewritten(kind, value, own, link):
    if kind != "sedgewall-instances":
        return value
    if value["metadata"]["name"] == own.name:
        return value
    spec = dict(value["spec"], notes_address="%s:%d" % link.address)
    return dict(value, spec=spec)


def wait_for_holder(instances, engines):
    until = time.monotonic() + 20
    while time.monotonic() < until:
        for engine in engines:
            if len(engine.orders) >= 5:
                name = engine.orders[-1][1]
                return next(i for i in instances if i.name == name)
        time.sleep(0.1)
    return None


if __name__ == "__main__":
    sys.exit(main())
