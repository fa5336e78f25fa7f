"""A runner crashes and starts again under its id as a runner of another kind.

This happens three times in 20 s: it comes back as kb, as ka, and as kb.

Jobs that need the label of the first kind are handed in all the while, two at
a time, each as large as a runner. With TROUBLE=0 the runner keeps running.
"""

import sys
import time

from deployment import (BROKEN, COULD_NOT_RUN, HELD, TROUBLE, ZONES, Caller,
                        in_background, job_id, now, run_case)

ENTRIES = 3
KINDS = ["ka", "ka", "kb", "kb", "kb", "kb", "kb", "kb"]  # of the runners
RESTARTED = "i-0"
DOWN_S = 1.0
LOAD_S = 26.0
TASK_MS = 80
STEP = [{"count": 1, "cpu": 15000, "memMb": 64, "estMs": TASK_MS,
         "needs": "ka"}]


def play(deployment):
    deployment.start_store()
    deployment.configure()
    for number, kind in enumerate(KINDS):
        # The two runners of the first kind are in one zone.
        deployment.start_runner(f"i-{number}",
                                ZONES[0] if kind == "ka" else ZONES[number % 3],
                                kind)
    for number in range(ENTRIES):
        deployment.start_entry(number)
    names = list(deployment.fronts)
    deployment.wait_ready(names)
    time.sleep(3)
    caller = Caller(deployment)
    served = []
    end = now() + LOAD_S

    def load(entry):
        while now() < end:
            status, _ = caller.submit(entry, job_id(), STEP,
                                      f"{TASK_MS} ka", 1500)
            if status == 200:
                served.append(now())
            else:
                time.sleep(0.02)

    loads = [in_background(lambda: load(names[0])) for _ in range(3)]
    time.sleep(4)
    for kind in ("kb", "ka", "kb") if TROUBLE else ():
        deployment.kill_and_wait(RESTARTED)
        time.sleep(DOWN_S)
        deployment.record.write("operator", "restart", runner=RESTARTED,
                                kind=kind)
        deployment.start_runner(RESTARTED, ZONES[0], kind)
        time.sleep(6)
    for one in loads:
        one.join()
    if len(served) < 20:
        return COULD_NOT_RUN
    wrong = 0
    with open(deployment.path) as file:
        for line in file:
            words = line.split()
            if words[2] == "start":
                fields = dict(word.split("=", 1) for word in words[3:])
                wrong += fields["asked"] not in ("-", fields["kind"])
    deployment.record.write("case", "starts", without_the_label=wrong,
                            served=len(served))
    return BROKEN if wrong else HELD


run_case(play, sys.argv[1])
