"""Open channels to the store go silent; a manifest that is acknowledged later
must be in force within configMs at machines in touch."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin_2"))

from platform_2 import (BOUNDS, Worker, manifest, plain_service, play, route,
                        send)

# When the operator writes the next manifest, from the silence: the machines
# are in touch again once contactMs have passed.
NEXT_AFTER_S = BOUNDS["contactMs"] / 1000 + 0.2
# When a worker is added, from the silence.
ENTRY_AFTER_S = 1.7
CONFIG_S = BOUNDS["configMs"] / 1000
SERVICES = [plain_service("league"), plain_service("ledger")]
FIRST = [route("transfer", "/transfer/", "league")]
NEXT = [route("transfer", "/transfer/", "ledger"),
        route("extra", "/extra/", "ledger")]


async def case(deployment, record, trouble):
    store = deployment.store
    workers = []

    async def add_worker(service):
        added = Worker(store, record, f"{service}-5", service, slots=6,
                       queue=24)
        workers.append(await added.start())

    for service in ("league", "ledger"):
        for n in (1, 2, 3, 4):
            worker = Worker(store, record, f"{service}-{n}", service,
                            zone=f"z{n % 3 + 1}", slots=6, queue=24)
            workers.append(await worker.start())
    store.put("config", "main", manifest(3, FIRST, SERVICES))
    await deployment.start_instances(6)
    await asyncio.sleep(16)
    # Changes like any others, a second before.
    store.put("config", "main", manifest(7, FIRST, SERVICES))
    await add_worker("league")
    record.add("acknowledged", version=7)
    await asyncio.sleep(1)
    if trouble:
        silent = sum(link.silence_open() for link in deployment.links)
        record.add("silent", channels=silent)
    await asyncio.sleep(ENTRY_AFTER_S)
    await add_worker("ledger")
    await asyncio.sleep(NEXT_AFTER_S - ENTRY_AFTER_S)
    store.put("config", "main", manifest(12, NEXT, SERVICES))
    acknowledged = record.now()
    record.add("acknowledged", version=12)
    await asyncio.sleep(CONFIG_S + 0.1)
    answers = []
    calls = []

    async def call(instance, path, number):
        request_id = f"{instance.name}-{path.strip('/')}-{number}"
        answer = await send(record, instance.front, path, request_id)
        answers.append((instance, path, request_id, answer))
        record.add("answer", id=request_id, sent=f"{answer.sent:.3f}",
                   status=answer.status, body=answer.body[:40])

    for number in range(32):
        for instance in deployment.instances:
            for path in ("/transfer/", "/extra/"):
                calls.append(asyncio.ensure_future(
                    call(instance, path, number)))
        await asyncio.sleep(0.25)
    await asyncio.gather(*calls)
    broken = []
    for instance, path, request_id, answer in answers:
        late = answer.sent - acknowledged
        if answer.status == 404:
            broken.append((late, request_id, "404 for a route of the manifest"))
        elif answer.body.startswith(b"league"):
            broken.append((late, request_id, "run by the old service"))
    for late, request_id, what in broken:
        record.add("broken", id=request_id, after_ack=f"{late:.3f}", how=what.replace(" ", "-"))
    served = sum(answer.status == 200 for *_, answer in answers)
    print(f"{len(answers)} requests, {served} served, {len(broken)} handled "
          "as only the older manifest allows")
    if broken:
        print(f"the last of them was sent {max(broken)[0]:.1f} s after the "
              "acknowledgement")
    return broken


play(case, FOLDER)
