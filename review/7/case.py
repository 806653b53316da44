"""A commit on a superseded primary is acknowledged, and is lost.

A front machine that has no lease any more uses relays for its new statements.
A transaction that began on a connection of its own goes on there, and its
COMMIT is acknowledged without a lease.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))

import rig as rig_module  # noqa: E402

FRONTS = 7
ROUNDS = 8
THAW_SLACK_S = 0.3  # thawSlackMs of the sheet
AFTER_HEAL_S = THAW_SLACK_S + 0.01
CUT_LIMIT_S = 5.5  # for_s of node_cut in the site file
PRIMARY_CUT_FRONTS = 4  # of 7: 0.57; the site file has 0.65
STATEMENT_PAUSE_S = 0.8  # between the statements of the transaction
SERVICE = "core0"


async def keep_transaction(rig, client, stop):
    """Sends a READ of the transaction now and then, until stop is set."""
    while not stop.is_set():
        try:
            await asyncio.wait_for(stop.wait(), STATEMENT_PAUSE_S)
        except asyncio.TimeoutError:
            _, _, end, _ = await client.query("READ k")
            if not end.startswith("COMPLETE"):
                return False
    return True


async def wait_for_promotion(rig, count, until):
    while rig.record.now() < until:
        if len(rig.promotions) > count:
            return rig.promotions[-1]
        await asyncio.sleep(0.01)
    return None


async def read_now_and_then(rig, entry, stop):
    """A session of reads at a front machine."""
    while not stop.is_set():
        client = rig_module.Client(rig, entry, "booking")
        try:
            if await client.open():
                await client.query("READ k")
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            if hasattr(client, "writer"):
                client.close()
        await asyncio.sleep(0.2)


async def cut_both(rig, link, primary):
    """Cuts the front machine off from control, and the primary from its
    replicas, control and some front machines. Returns the promotion's effect
    and server, or None."""
    begun = rig.record.now()
    count = len(rig.promotions)
    link.is_cut = True
    primary.cut([link.entry] + rig.entries[1 + PRIMARY_CUT_FRONTS :])
    rig.record.write("%s is cut off from control" % link.entry.name)
    rig.record.write(
        "%s is cut off from its replicas, control and %d of %d fronts; not from %s"
        % (primary.id, PRIMARY_CUT_FRONTS, FRONTS, link.entry.name)
    )
    promotion = await wait_for_promotion(rig, count, begun + CUT_LIMIT_S - 0.1)
    link.is_cut = False
    rig.record.write("%s reaches control again" % link.entry.name)
    return promotion


async def play_round(rig, number, link):
    """Returns whether the rule was broken."""
    record = rig.record
    service = rig.services[0]
    primary = service.primary
    entry = link.entry
    await rig.wait_served(entry, "booking")
    await asyncio.sleep(1)
    client = rig_module.Client(rig, entry, "booking")
    if not await client.open():
        raise rig_module.CannotRun("the session does not start")
    await client.query("BEGIN")
    write_id, _, end, _ = await client.query("WRITE walk%d booked" % number)
    record.write("client at %s: BEGIN, WRITE %s, answer %s" % (entry.name, write_id, end))
    if not end.startswith("COMPLETE"):
        raise rig_module.CannotRun("the write is not served")
    stop = asyncio.Event()
    kept = asyncio.ensure_future(keep_transaction(rig, client, stop))
    promotion = None
    if rig_module.TROUBLE:
        promotion = await cut_both(rig, link, primary)
    else:
        await asyncio.sleep(4.5)
    healed = record.now()
    await asyncio.sleep(AFTER_HEAL_S)
    stop.set()
    is_open = await kept
    end = ""
    sent = record.now()
    if is_open:
        commit_id, sent, end, _ = await client.query("COMMIT")
        record.write("client at %s: COMMIT %s, answer %s" % (entry.name, commit_id, end))
    client.close()
    broken = False
    if write_id in rig.commits:
        server, commit = rig.commits[write_id]
        record.write("committed on %s at %s, %.3f s" % (server.id, commit.position(), commit.seen))
        if promotion is not None and end.startswith("COMPLETE sig"):
            effect, leader = promotion
            broken = server is not leader and commit.seen > effect
            broken = broken and sent - healed >= THAW_SLACK_S
            if broken:
                record.write(
                    "ONE: a write was committed on %s %.3f s after %s led, and acknowledged"
                    % (server.id, commit.seen - effect, leader.id)
                )
    primary.heal()
    return broken


async def play(record):
    rig = rig_module.Rig(record, FRONTS)
    broken = 0
    try:
        rig.add_service(SERVICE, lag_s=0.06, work_s=0.005)
        link = rig.add_link(rig.entries[0])
        await rig.start([rig_module.make_route("booking", "primary", SERVICE, 1000, 500)])
        for entry in rig.entries:
            await rig.wait_served(entry, "booking")
        stop = asyncio.Event()
        readers = [
            asyncio.ensure_future(read_now_and_then(rig, entry, stop)) for entry in rig.entries[1:]
        ]
        rounds = ROUNDS if rig_module.TROUBLE else 3
        number = 0
        while number < rounds and not broken and record.now() < 95:
            broken += await play_round(rig, number, link)
            number += 1
            await asyncio.sleep(2.5)
        stop.set()
        await asyncio.gather(*readers)
        record.write("%d of %d rounds broke the rule" % (broken, number))
    finally:
        rig.end()
    return broken > 0


rig_module.run_case(play, os.path.join(HERE, "record.txt"))
