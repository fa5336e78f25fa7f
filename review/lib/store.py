"""Stand-in for the platform's metadata store: rows, transactions, long polls.

Usage: store.py ADDRESS RECORD
Runners and the operator write their rows with POST /stand-in/put, in place of
the ways that the platform gives them.
"""

import base64
import json
import sys
import threading
import time

from http_stand_in import Record, now, serve

lock = threading.Condition()
rows = {}  # (table, part, key) -> [value or None when removed, ver]
version = 100
RESERVED = ("op", "servers")


def row_json(name, entry):
    table, part, key = name
    row = {"table": table, "part": part, "key": key, "ver": entry[1]}
    if entry[0] is None:
        row["removed"] = True
    else:
        row["value"] = entry[0]
    return row


def reply(**fields):
    return 200, {**fields, "ver": version, "nowMs": int(now() * 1000)}


def name_of(entry):
    return entry["table"], entry.get("part", ""), entry["key"]


def transact(body):
    global version
    call = json.loads(body)
    time.sleep(0.004)
    with lock:
        changed = call.get("puts", []) + call.get("deletes", [])
        if any(entry["table"] in RESERVED for entry in changed):
            return 403, {}
        for entry in call.get("expected", []):
            found = rows.get(name_of(entry))
            have = found[1] if found and found[0] is not None else 0
            if have != entry["ver"]:
                current = [row_json(name_of(e), rows[name_of(e)])
                           for e in call["expected"] if name_of(e) in rows]
                return 412, {"rows": current}
        version += 1
        for entry in call.get("puts", []):
            rows[name_of(entry)] = [entry["value"], version]
        for entry in call.get("deletes", []):
            rows[name_of(entry)] = [None, version]
        lock.notify_all()
        return reply()


def get(query):
    time.sleep(0.004)
    low, high = query.get("from", ""), query.get("to")
    most = min(int(query.get("limit", 500)), 500)
    with lock:
        names = sorted(n for n, e in rows.items()
                       if n[0] == query["table"] and n[1] == query.get("part", "")
                       and e[0] is not None and n[2] >= low
                       and (high is None or n[2] < high))
        return reply(rows=[row_json(n, rows[n]) for n in names[:most]],
                     hasMore=len(names) > most)


def feed(query):
    after = int(query["after"])
    end = now() + min(int(query.get("waitMs", 0)), 30_000) / 1000
    with lock:
        while True:
            found = sorted((e[1], n) for n, e in rows.items()
                           if n[0] == query["table"] and e[1] > after)
            left = end - now()
            if found or left <= 0:
                return reply(rows=[row_json(n, rows[n]) for _, n in found])
            lock.wait(left)


def put(body):
    """A row of a runner or of the operator; a value of null removes it."""
    global version
    call = json.loads(body)
    value = call["value"]
    with lock:
        version += 1
        text = None if value is None else base64.b64encode(
            json.dumps(value).encode()).decode()
        rows[(call["table"], "", call["key"])] = [text, version]
        lock.notify_all()
        return reply()


def handle(method, path, query, headers, body):
    if path == "/v1/rows-tx":
        return transact(body)
    if path == "/v1/rows-get":
        return get(query)
    if path == "/v1/rows-feed":
        return feed(query)
    if path == "/stand-in/put":
        return put(body)
    return 404, {}


if __name__ == "__main__":
    serve(sys.argv[1], handle)
    Record(sys.argv[2]).write("store", "up", addr=sys.argv[1])
    threading.Event().wait()
