"""A read on a read_own_writes route misses a write of its own session.

The read is relayed by a machine that has slept through the last change of the
configuration, and so routes it to another service than its sender does.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))

import rig as rig_module  # noqa: E402

ROUNDS = 4
FRONTS = 10  # the sheet's 7 and its 3 spare ones
LAG_S = 0.3  # the sheet: replicas 60 ms behind, 360 ms at most
FREEZE_AFTER_READ_S = 0.03
SERVICES = ["core0", "core1", "core2"]


def list_relays(rig):
    """Returns for each machine the relay that it uses for each service, by the
    logs of the machines."""
    relays = {}
    for entry in rig.entries:
        used = {}
        for event in entry.read_log():
            if event.get("event") == "relay_begun":
                used[event["database"]] = event["host"]
            elif event.get("event") == "relay_ended":
                used.pop(event["database"], None)
        relays[entry.name] = used
    return relays


def choose_machines(rig):
    """Returns a machine, its relay for the service `new`, which serves the
    service `old` without a relay, and the names `old` and `new`."""
    relays = list_relays(rig)
    by_address = {entry.address: entry for entry in rig.entries}
    for entry in rig.entries:
        for new in SERVICES:
            if new not in relays[entry.name]:
                continue
            relay = by_address[relays[entry.name][new]]
            for old in SERVICES:
                used = relays[relay.name]
                if old != new and old not in used and new not in used:
                    return entry, relay, old, new
    raise rig_module.CannotRun("no machine uses such a relay")


def make_routes(service, probe=None):
    routes = [rig_module.make_route("roster", "read_own_writes", service, 1000, 1000, 2500)]
    for name in SERVICES:
        routes.append(rig_module.make_route("db-" + name, "primary", name, 1000, 500))
    if probe is not None:
        routes.append(rig_module.make_route(probe, "primary", service, 1000, 500))
    return routes


async def wait_for_version(rig, entry, probe):
    """Waits until a machine obeys the version that added the route `probe`."""
    for _ in range(200):
        client = rig_module.Client(rig, entry, probe)
        started = await client.open()
        client.close()
        if started:
            return
        await asyncio.sleep(0.005)
    raise rig_module.CannotRun("the new version does not come into force")


async def play_round(rig, number, entry, relay, old, new):
    """Returns whether the rule was broken."""
    record = rig.record
    probe = "probe%d" % number
    await rig.put_config(make_routes(old))
    await asyncio.sleep(1.5)
    client = rig_module.Client(rig, entry, "roster")
    if not await client.open():
        raise rig_module.CannotRun("the session does not start")
    write_id, _, end, _ = await client.query("WRITE walk%d booked" % number)
    acknowledged = record.now()
    record.write("client at %s: WRITE %s, answer %s" % (entry.name, write_id, end))
    if not end.startswith("COMPLETE"):
        raise rig_module.CannotRun("the write is not served")
    if rig_module.TROUBLE:
        relay.freeze()
        record.write("%s freezes" % relay.name)
    change = asyncio.ensure_future(rig.put_config(make_routes(new, probe)))
    await wait_for_version(rig, entry, probe)
    record.write("%s obeys the new version" % entry.name)
    query = asyncio.ensure_future(client.query("READ walk%d" % number))
    await asyncio.sleep(FREEZE_AFTER_READ_S)
    if rig_module.TROUBLE:
        relay.thaw()
        record.write("%s wakes" % relay.name)
    read_id, sent, end, rows = await query
    await change
    client.close()
    record.write("client at %s: READ %s, answer %s %s" % (entry.name, read_id, rows, end))
    if not end.startswith("COMPLETE"):
        return False
    server, log, position = rig.runs[read_id]
    writer, commit = rig.commits[write_id]
    record.write(
        "the read ran on %s at %s; the write is %s of %s, acknowledged %.3f s before the read was sent"
        % (server.id, position, commit.position(), writer.service.name, sent - acknowledged)
    )
    if server.service is writer.service and commit not in log:
        record.write("STALE: the log of the read lacks a commit of its own session")
        return True
    return False


async def play(record):
    rig = rig_module.Rig(record, FRONTS)
    broken = 0
    try:
        for name in SERVICES:
            rig.add_service(name, lag_s=LAG_S, work_s=0.005)
        await rig.start(make_routes(SERVICES[0]))
        for entry in rig.entries:
            for name in SERVICES:
                await rig.wait_served(entry, "db-" + name)
        entry, relay, old, new = choose_machines(rig)
        record.write("%s uses %s as its relay for %s" % (entry.name, relay.name, new))
        for number in range(ROUNDS):
            broken += await play_round(rig, number, entry, relay, old, new)
        record.write("%d of %d rounds broke the rule" % (broken, ROUNDS))
    finally:
        rig.end()
    return broken > 0


rig_module.run_case(play, os.path.join(HERE, "record.txt"))
