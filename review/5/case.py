"""A version of an adapter is named while a long answer runs on the version
before; the worker must not be ordered to load more than adapterSlots hold."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin_2"))

from platform_2 import (CannotRun, Worker, engine_service, manifest, play,
                        route, send)

PLACES = 9
ENGINES = 3
# Adapters that each engine gets before the version is named, about.
USED = 7
EVENT_S = 0.045
# The longest answer of a chat on the site, which the route allows 15 s.
LONG_EVENTS = 230
DEADLINE_MS = 15000


async def case(deployment, record, trouble):
    store = deployment.store
    engines = []
    for n in range(1, ENGINES + 1):
        engine = Worker(store, record, f"chat-{n}", "chat", zone=f"z{n}",
                        slots=64, adapter_slots=PLACES)
        engine.event_s = EVENT_S
        engines.append(await engine.start())
    store.put("config", "main", manifest(
        3, [route("credit", "/credit/", "chat", kind="streaming", attempts=2,
                  resumable=True, target_ms=600, timeout_ms=15000,
                  gap_ms=250)],
        [engine_service("chat", slots=64, adapter_slots=PLACES)]))
    await deployment.start_instances(3)
    await asyncio.sleep(6)
    number = 0

    async def ask(adapter, events=10):
        """Asks for an answer, again after a refusal as consumers do."""
        nonlocal number
        for _ in range(4):
            number += 1
            instance = deployment.instances[number % 3]
            request_id = f"{adapter}-{number}"
            answer = await send(
                record, instance.front, "/credit/", request_id,
                {"model": f"m1/{adapter}", "token-usage": "600,300",
                 "stand-in-events": str(events)},
                deadline_ms=DEADLINE_MS)
            record.add("answer", id=request_id, sent=f"{answer.sent:.3f}",
                       status=answer.status, whole=answer.is_whole)
            if answer.status == 200:
                return answer
            again = float(answer.headers.get("retry-after", 0.3))
            await asyncio.sleep(again)

    used = USED * ENGINES
    for n in range(1, used + 1):
        await ask(f"a{n}")
    holder = next((e for e in engines if "a1" in e.adapters), None)
    if holder is None:
        raise CannotRun("no engine holds the adapter")
    record.add("held", **{e.name: len(e.adapters) for e in engines})
    long = asyncio.ensure_future(ask("a1", LONG_EVENTS))
    await asyncio.sleep(1)
    if trouble:
        for engine in engines:
            engine.newest["a1"] = 2
        store.put("versions", "m1.a1",
                  {"model": "m1", "adapter": "a1", "version": 2})
        record.add("acknowledged", adapter="a1", version=2)
    await asyncio.sleep(7.8)
    # Consumers ask for adapters that are on no engine yet.
    await asyncio.gather(*(ask(f"a{used + n}")
                           for n in range(1, (PLACES - USED) * ENGINES + 2)))
    record.add("held", **{e.name: len(e.adapters) for e in engines})
    await long
    over = [(engine.name, *what) for engine in engines
            for what in engine.over_limit]
    for name, at, adapter, count in over:
        record.add("broken", worker=name, at=f"{at:.3f}", adapter=adapter,
                   adapters=count, slots=PLACES)
    print(f"{len(over)} orders to load more than adapterSlots hold "
          f"({PLACES}): {over}")
    return over


play(case, FOLDER)
