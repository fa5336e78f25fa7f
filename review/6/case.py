"""Every entry is replaced by a new one, one after the other; then all
processes are killed and start again."""

import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
from stand_in import job_id, now, run_case  # noqa: E402

# As on rondo-sched: seven entries in four zones; `graceS` and `recoverS`.
ZONES = ["a", "a", "b", "b", "c", "c", "d"]
GRACE_S, RECOVER_S = 6.0, 12.0
# A day replaces an entry each 5 s.
GAP_S = 5.0
LEAST_SHARE = 0.25
TASK_MS, JOBS_PER_S = 200, 10


async def replace(fleet, old):
    """Starts a new entry, then stops the old one as planned."""
    new = fleet.add_entry(old.zone)
    # The platform sends no client to an entry that is not ready; the old one
    # goes all the same, as it does on a day.
    end = now() + 2
    while now() < end and not await new.is_ready():
        await asyncio.sleep(0.1)
    old.signal(signal.SIGTERM)
    end = now() + GRACE_S
    while old.process.poll() is None and now() < end:
        await asyncio.sleep(0.05)
    old.kill()


async def play(fleet, trouble):
    await fleet.start(runners=12)
    await fleet.wait_ready(settle=1)
    live = list(fleet.entries)
    answers = []

    async def submit():
        sent = now()
        status, text = await fleet.submit(
            random.choice(live), job_id(),
            [{"count": 2, "estMs": TASK_MS}], TASK_MS, 1500)
        answers.append((sent, status == 200 and "complete" in text))

    async def load():
        while True:
            work.append(asyncio.create_task(submit()))
            await asyncio.sleep(1 / JOBS_PER_S)

    work = []
    sender = asyncio.create_task(load())
    await asyncio.sleep(15)
    if trouble:
        for old in list(live):
            began = now()
            index = live.index(old)
            stopping = asyncio.create_task(replace(fleet, old))
            await asyncio.sleep(0)
            # Clients go to the new one as soon as the old one leaves.
            live[index] = fleet.entries[-1]
            await stopping
            await asyncio.sleep(max(0, GAP_S - (now() - began)))
    await asyncio.sleep(5)
    fault = now()
    for entry in live:
        entry.signal(signal.SIGKILL)
        entry.process.wait()
    await asyncio.sleep(0.8)
    for entry in live:
        entry.start()
    back = now()
    await asyncio.sleep(RECOVER_S + 8)
    sender.cancel()
    await asyncio.sleep(2)
    before = [served for sent, served in answers if sent < fault - 2]
    after = [served for sent, served in answers if sent > back + RECOVER_S]
    fleet.record.add("served", before=f"{sum(before)}/{len(before)}",
                     later_than_recover_s=f"{sum(after)}/{len(after)}")
    if not after or sum(before) < LEAST_SHARE * len(before):
        return 2
    return 1 if sum(after) < LEAST_SHARE * len(after) else 0


run_case(FOLDER, ZONES, play)
