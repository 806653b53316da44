"""A front machine ends with a segmentation fault when it wakes.

It froze for longer than a lease while the answer to its renewal, with changed
quotas, was on its way.
"""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))

import rig as rig_module  # noqa: E402

FRONTS = 7
CLIENTS_PER_FRONT = 16
SERVICES = ["core0", "core1", "core2"]
NOTIFY_S = 0.12  # control notifies the front machines of a new version
RENEW_S = 0.03  # control freezes for this time: a renewal is on its way
FRONT_FREEZE_S = 3.4  # longer than lease_ms of the template, 3 s
PAUSE_S = 0.2
PLAY_S = 100
CALM_PLAY_S = 40
PHASE_S = 1.1  # after this time, clients turn to another service


async def run_client(rig, number, stop):
    """Reads and writes at one machine, mostly of the service of the phase."""
    chance = random.Random(number)
    entry = rig.entries[number % FRONTS]
    while not stop.is_set():
        phase = int(rig.record.now() / PHASE_S) + number % FRONTS
        service = chance.randrange(3) if number % 4 == 0 else phase % 3
        kind = "view" if chance.random() < 0.7 else "booking"
        client = rig_module.Client(rig, entry, "%s-%d" % (kind, service))
        try:
            if await client.open():
                for _ in range(8):
                    await client.query("READ k", timeout_s=8)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            await asyncio.sleep(0.05)
        finally:
            if hasattr(client, "writer"):
                client.close()


def find_ended(rig):
    """Returns the machines whose process has ended, with the exit status."""
    ended = []
    for daemon in rig.entries + rig.cores:
        if daemon.process.poll() is not None:
            ended.append((daemon, daemon.process.returncode))
    return ended


async def freeze_once(rig, number, routes):
    """Freezes a front machine for longer than a lease, while the answer to its
    renewal is on its way: the machine renews because of a new version."""
    record = rig.record
    entry = rig.entries[number % FRONTS]
    leader = rig.find_leader()
    entry.freeze()
    routes[0]["timeoutMs"] = 3000 + number % 2
    await rig.put_config(routes)
    await asyncio.sleep(NOTIFY_S)
    leader.freeze()
    entry.thaw()
    await asyncio.sleep(RENEW_S)
    entry.freeze()
    leader.thaw()
    record.write("%s freezes for %.1f s" % (entry.name, FRONT_FREEZE_S))
    await asyncio.sleep(FRONT_FREEZE_S)
    entry.thaw()
    record.write("%s wakes" % entry.name)
    await asyncio.sleep(PAUSE_S)


async def play(record):
    rig = rig_module.Rig(record, FRONTS)
    stop = asyncio.Event()
    clients = []
    ended = []
    try:
        for name in SERVICES:
            rig.add_service(name, lag_s=0.06, work_s=0.04)
        routes = []
        for index, name in enumerate(SERVICES):
            view = rig_module.make_route(
                "view-%d" % index, "bounded_staleness", name, 3000, 1200, 1500
            )
            booking = rig_module.make_route("booking-%d" % index, "primary", name, 1000, 500)
            routes += [view, booking]
        await rig.start(routes)
        for index in range(len(SERVICES)):
            await rig.wait_served(rig.entries[0], "booking-%d" % index)
        clients = [
            asyncio.ensure_future(run_client(rig, number, stop))
            for number in range(FRONTS * CLIENTS_PER_FRONT)
        ]
        await asyncio.sleep(2)
        until = record.now() + (PLAY_S if rig_module.TROUBLE else CALM_PLAY_S)
        number = 0
        while record.now() < until and not ended:
            if rig_module.TROUBLE:
                await freeze_once(rig, number, routes)
                number += 1
            else:
                await asyncio.sleep(1)
            ended = find_ended(rig)
        for daemon, status in ended:
            record.write("%s has ended by itself, status %d" % (daemon.name, status))
        record.write("%d freezes, %d reads run" % (number, len(rig.runs)))
    finally:
        stop.set()
        for client in clients:
            client.cancel()
        rig.end()
    return len(ended) > 0


rig_module.run_case(play, os.path.join(HERE, "record.txt"))
