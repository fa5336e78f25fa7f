"""One job whose steps depend on all earlier ones, then plain jobs.

With TROUBLE=0 each step depends on the one before it only: as many steps, in
the same order.
"""

import sys
import time

from deployment import (BROKEN, COULD_NOT_RUN, HELD, TROUBLE, ZONES, Caller,
                        http_call, in_background, job_id, now, run_case)

ENTRIES = 3
RUNNERS = 6
STEPS = 40
DEADLINE_MS = 8_000
PLAIN = [{"count": 1, "cpu": 200, "memMb": 64, "estMs": 60}]


def dependent_steps():
    return [{"count": 1, "cpu": 200, "memMb": 64, "estMs": 60,
             **({"after": list(range(number)) if TROUBLE else [number - 1]}
                if number else {})}
            for number in range(STEPS)]


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


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
    # The job, at the first entry; after a 502, a 504 or a broken connection
    # its client sends it again 1.3 s later, at the next entry.
    job = job_id()
    end = now() + 40

    last_status = [0]

    def hand_in():
        for attempt in range(ENTRIES):
            status, _ = caller.submit(names[attempt % ENTRIES], job,
                                      dependent_steps(), "60", DEADLINE_MS)
            last_status[0] = status
            if status not in (0, 502, 504):
                return
            time.sleep(1.3)

    sender = in_background(hand_in)
    sender.join(end - now())
    if not TROUBLE and last_status[0] != 200:
        return COULD_NOT_RUN
    # Now nothing but plain jobs, which were served before, one after another.
    before = {name: processor_seconds(deployment.processes[name].pid) for name in names}
    begun = now()
    unanswered = {}
    for name in names:
        answers = [caller.submit(name, job_id(), PLAIN, "60", 3000)
                   for _ in range(3)]
        unanswered[name] = sum(status == 0 for status, _ in answers)
    span = now() - begun
    hung = False
    for name in names:
        used = processor_seconds(deployment.processes[name].pid) - before[name]
        ready, _ = http_call(deployment.fronts[name].replace(":8161", ":8167"),
                             "GET", "/v1/readyz")
        deployment.record.write("case", "entry", name=name, ready=ready,
                                unanswered_of_3=unanswered[name],
                                processor_share=f"{used / span:.2f}")
        hung = hung or (unanswered[name] == 3 and used / span > 0.8)
    return BROKEN if hung else HELD


run_case(play, sys.argv[1])
