"""Stand-in for a runner, as PROTOCOL.md describes it; one life per process.

Usage: runner.py ID ADDRESS ZONE KIND RACK CPU STORE RECORD
The text `spec` of a job is "MS" or "MS KIND": how long each task takes, and
the kind of runner that the job asks for, if any. The runner writes every start
and end to the record, with its own kind.
"""

import http.client
import json
import random
import sys
import threading
import time

from http_stand_in import Record, now, serve

HOLD_MAX_MS = 1000
HEARTBEAT_S = 1.5

(identity, address, zone, kind, rack, cpu, store, record_path) = sys.argv[1:9]
record = Record(record_path)
lock = threading.Condition()
born = int(time.time() * 1000)
began = now()
until_ms = 0  # the lease of all that runs here
fence = 0
running = {}  # task -> dict(run, spec, started, duration, cpu)
highest = {}  # task -> highest run that was stopped or has ended
ended = []  # [n, task, run, how, saved]
last_end = 0


def clock_ms():
    return 1000 + int((now() - began) * 1000)


def end(task, how):
    global last_end
    one = running.pop(task)
    highest[task] = max(highest.get(task, 0), one["run"])
    last_end += 1
    ended.append([last_end, task, one["run"], how, ""])
    record.write(identity, "end", task=task, run=one["run"], how=how)
    lock.notify_all()


def settle():
    """Ends what is done and what has no lease any more."""
    lapsed = clock_ms() > until_ms
    for task in list(running):
        one = running[task]
        if now() >= one["started"] + one["duration"]:
            end(task, "done")
        elif lapsed:
            end(task, "lapsed")


def settle_loop():
    while True:
        time.sleep(0.003)
        with lock:
            settle()


def reply(status, **fields):
    return status, {**fields, "clockMs": clock_ms(), "born": born}


def extend(call):
    global until_ms
    if "untilMs" in call:
        until_ms = max(until_ms, min(call["untilMs"], clock_ms() + HOLD_MAX_MS))


def start(call):
    task, run, spec = call["task"], call["run"], call["spec"]
    settle()
    if task in running and running[task]["run"] == run:
        extend(call)
        return reply(200)
    if run <= highest.get(task, 0):
        extend(call)
        return reply(409, reason="old")
    if call["untilMs"] <= clock_ms():
        return reply(409, reason="late")
    extend(call)
    words = spec.split()
    running[task] = {"run": run, "started": now(),
                     "duration": int(words[0]) / 1000}
    record.write(identity, "start", task=task, run=run, kind=kind,
                 asked=words[1] if len(words) > 1 else "-", born=born)
    return reply(200)


def stop(call):
    task, run = call["task"], call["run"]
    if task in running and running[task]["run"] <= run:
        end(task, "stopped")
    highest[task] = max(highest.get(task, 0), run)
    return reply(200)


def hold(call):
    global ended
    ended = [one for one in ended if one[0] > call.get("lastSeen", 0)]
    extend(call)
    limit = now() + min(call.get("waitMs", 0), 2000) / 1000
    while not ended and now() < limit:
        lock.wait(limit - now())
    settle()
    rows = [[task, one["run"], "",
             min(99, int(100 * (now() - one["started"]) / one["duration"])), 0]
            for task, one in running.items()]
    return reply(200, running=rows, ended=ended[:500])


CALLS = {"/v1/run-start": start, "/v1/run-stop": stop, "/v1/hold": hold}


def handle(method, path, query, headers, body):
    global fence
    if path == "/healthz":
        return 200, {}
    if path not in CALLS:
        return 404, {}
    with lock:
        if headers.get("x-expect-instance", identity) != identity:
            return reply(421)
        call = json.loads(body)
        if call.get("fence", 0) < fence:
            return reply(409, reason="fence")
        fence = call.get("fence", 0)
        return CALLS[path](call)


def list_itself():
    """Writes the runner's row at its start and with each heartbeat."""
    seq = 0
    while True:
        seq += 1
        row = {"service": "plata", "addr": address, "zone": zone,
               "version": "1", "slots": 8, "state": "ready", "coldLeftMs": 0,
               "seq": seq, "born": born,
               "room": {"cpu": int(cpu), "memMb": 65536, "gpu": 0},
               "labels": [kind, rack]}
        body = json.dumps({"table": "servers", "key": identity, "value": row})
        try:
            connection = http.client.HTTPConnection(store, timeout=2)
            connection.request("POST", "/stand-in/put", body)
            connection.getresponse().read()
            connection.close()
        except OSError:
            pass
        if seq == 1:
            record.write(identity, "listed", kind=kind, born=born)
        # Runners are not in step with each other.
        time.sleep(HEARTBEAT_S * (random.random() if seq == 1 else 1))


if __name__ == "__main__":
    threading.Thread(target=settle_loop, daemon=True).start()
    serve(address, handle)
    list_itself()
