"""A job is cancelled at one entry while the entry that has it is frozen.

The job has many short steps, one after another. With TROUBLE=0 nothing is
frozen; the job is cancelled in the same way.
"""

import signal
import sys
import time

from deployment import (BOUNDS, BROKEN, COULD_NOT_RUN, HELD, TROUBLE, ZONES,
                        Caller, in_background, job_id, now, run_case)

ENTRIES = 3
RUNNERS = 6
FREEZE_S = 3.0
CANCEL_AFTER_S = 1.2  # after the start of the freeze
STEP_MS = 400
STEPS = 50
DEADLINE_MS = 25_000
PLAIN = [{"count": 1, "cpu": 200, "memMb": 64, "estMs": 60}]


def play(deployment):
    deployment.start_store()
    deployment.configure()
    for number in range(RUNNERS):
        deployment.start_runner(f"i-{number}", ZONES[number % 3], "a")
    for number in range(ENTRIES):
        deployment.start_entry(number)
    names = list(deployment.fronts)
    deployment.wait_ready(names)
    time.sleep(3)
    caller = Caller(deployment)
    for name in names:
        if caller.submit(name, job_id(), PLAIN, "60", 3000)[0] != 200:
            return COULD_NOT_RUN
    origin, other = names[0], names[1]
    job = job_id()
    steps = [{"count": 1, "cpu": 200, "memMb": 64, "estMs": STEP_MS,
              **({"after": [number - 1]} if number else {})}
             for number in range(STEPS)]
    sender = in_background(lambda: caller.submit(origin, job, steps,
                                                 str(STEP_MS), DEADLINE_MS))
    time.sleep(1.5)
    thawed = now()
    if TROUBLE:
        deployment.signal(origin, signal.SIGSTOP)
        time.sleep(CANCEL_AFTER_S)
    cancelled = caller.cancel(other, job)
    acknowledged = now()
    if TROUBLE:
        time.sleep(FREEZE_S - CANCEL_AFTER_S)
        deployment.signal(origin, signal.SIGCONT)
        thawed = now()
    sender.join(DEADLINE_MS / 1000)
    if cancelled not in (200, 202, 204, 410):
        return COULD_NOT_RUN
    # A start counts later than cancel_ms after the acknowledgement, and when
    # the entry was in touch: its processes ran for contactMs.
    limit = max(acknowledged + BOUNDS["cancel_ms"] / 1000,
                thawed + BOUNDS["contactMs"] / 1000)
    late = 0
    before = 0
    with open(deployment.path) as file:
        for line in file:
            words = line.split()
            if words[2] == "start" and f"task={job}." in line:
                late += float(words[0]) > limit
                before += float(words[0]) < acknowledged
    deployment.record.write("case", "starts", before_cancel=before,
                            later_than_allowed=late, limit=f"{limit:.4f}")
    if before == 0:
        return COULD_NOT_RUN
    return BROKEN if late else HELD


run_case(play, sys.argv[1])
