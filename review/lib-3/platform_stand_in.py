"""Stand-ins of the platform: the metadata store and the runners.

They follow PROTOCOL.md ("Running tasks", "Service discovery", "The platform's
metadata store"). Everything that a runner starts and ends goes to the record.
"""

import asyncio
import base64
import json
import time
import urllib.parse


def now_ms():
    return time.monotonic() * 1000


class Record:
    """Writes events with their times since the start to record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)
        self._began = time.monotonic()

    def time(self):
        return time.monotonic() - self._began

    def add(self, event, **fields):
        at = self.time()
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"t={at:.3f} event={event} {text}\n")
        return at


class HttpServer:
    """A minimal HTTP/1.1 server with kept connections."""

    async def listen(self, host, port=0):
        self._tasks = set()
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]

    async def stop(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                line = await reader.readline()
                if not line.strip():
                    return
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while (line := await reader.readline()).strip():
                    name, _, value = line.decode().partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    return
                status, document = answer
                data = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


class Store(HttpServer):
    """Tables of rows with versions, conditional writes, and a feed."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self._changed = asyncio.Event()

    def _touch(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, table, key, document):
        """Writes a row as the operator or a runner does."""
        text = document if isinstance(document, str) else json.dumps(document)
        self.version += 1
        value = base64.b64encode(text.encode()).decode()
        self.rows[table, "", key] = (self.version, value)
        self._touch()

    def read(self, table, key):
        row = self.rows.get((table, "", key))
        return None if not row or row[1] is None else base64.b64decode(row[1])

    def _current(self, table, part, key):
        version, value = self.rows.get((table, part, key), (0, None))
        return 0 if value is None else version

    def _reply(self, **fields):
        return 200, {"ver": self.version, "nowMs": int(now_ms()), **fields}

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        asked = {key: values[0] for key, values in urllib.parse.parse_qs(
            query, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        if path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        if path == "/v1/rows-get":
            return self._list(asked)
        if path == "/v1/rows-feed":
            return await self._feed(asked)
        return 404, {}

    def _transact(self, call):
        for entry in call.get("expected", []):
            key = entry["table"], entry.get("part", ""), entry["key"]
            if self._current(*key) != entry["ver"]:
                return 412, {"rows": [], "ver": self.version}
        self.version += 1
        for entry in call.get("puts", []):
            key = entry["table"], entry.get("part", ""), entry["key"]
            self.rows[key] = (self.version, entry["value"])
        for entry in call.get("deletes", []):
            key = entry["table"], entry.get("part", ""), entry["key"]
            self.rows[key] = (self.version, None)
        self._touch()
        return self._reply()

    def _list(self, asked):
        limit = int(asked.get("limit", 500))
        found = []
        for (table, part, key), (version, value) in sorted(self.rows.items()):
            if (table != asked["table"] or part != asked.get("part", "")
                    or key < asked.get("from", "") or value is None):
                continue
            found.append({"table": table, "part": part, "key": key,
                          "value": value, "ver": version})
        return self._reply(rows=found[:limit], hasMore=len(found) > limit)

    async def _feed(self, asked):
        after = int(asked["after"])
        end = now_ms() + int(asked.get("waitMs", 0))
        while True:
            changed = self._changed
            found = [(version, table, part, key, value)
                     for (table, part, key), (version, value)
                     in self.rows.items()
                     if table == asked["table"] and version > after]
            left = end - now_ms()
            if found or left <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left / 1000)
            except asyncio.TimeoutError:
                pass
        rows = []
        for version, table, part, key, value in sorted(found)[:500]:
            row = {"table": table, "part": part, "key": key, "ver": version}
            row.update({"removed": True} if value is None
                       else {"value": value})
            rows.append(row)
        return self._reply(rows=rows)


class Run:
    def __init__(self, began, work_ms, cpu):
        self.began, self.work_ms, self.cpu = began, work_ms, cpu


class Runner(HttpServer):
    """One life of a runner that guards its room."""

    CPU, MEMORY_MB, LONGEST_LEASE_MS, STOP_MS = 32000, 131072, 1000, 20

    def __init__(self, runner, zone, service, record, jobs, watch):
        self.id, self.zone, self.service = runner, zone, service
        self.record, self.jobs, self.watch = record, jobs, watch
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.seq = 0
        self.fence = 0
        self.until = 0
        self.running = {}
        self.past = {}
        self.ended = []
        self.last_end = 0
        self._began = now_ms()
        self._end = asyncio.Event()

    def clock(self):
        return int(now_ms() - self._began) + 1000

    def row(self):
        self.seq += 1
        return {"service": self.service, "addr": self.address,
                "zone": self.zone, "version": "1.0", "slots": 8,
                "state": self.state, "coldLeftMs": 0, "seq": self.seq,
                "born": self.born,
                "room": {"cpu": self.CPU, "memMb": self.MEMORY_MB, "gpu": 0},
                "labels": ["kind-a", f"r-{self.zone}"]}

    async def live(self):
        """Ends runs that are done and those whose lease has expired."""
        while True:
            await asyncio.sleep(0.002)
            clock = self.clock()
            for name, run in list(self.running.items()):
                if clock >= self.until:
                    self._finish(name, "lapsed")
                elif now_ms() - run.began >= run.work_ms:
                    self._finish(name, "done")

    def _finish(self, name, how):
        if self.running.pop(name, None) is None:
            return
        self.past[name[0]] = max(self.past.get(name[0], 0), name[1])
        self.last_end += 1
        self.ended.append([self.last_end, name[0], name[1], how, ""])
        self.record.add("run_ended", runner=self.id, task=name[0],
                        run=name[1], how=how)
        self.watch.ended(self.id, name, how)
        self._end.set()
        self._end = asyncio.Event()

    def _reply(self, status, **fields):
        return status, {"clockMs": self.clock(), "born": self.born, **fields}

    def _extend(self, until):
        self.until = max(self.until,
                         min(until, self.clock() + self.LONGEST_LEASE_MS))

    async def handle(self, method, target, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return self._reply(421)
        if target == "/healthz":
            return 200, {}
        order = json.loads(body)
        if order.get("fence", 0) < self.fence:
            return self._reply(409, reason="fence")
        self.fence = order.get("fence", 0)
        if target == "/v1/run-start":
            return self._start(order)
        if target == "/v1/run-stop":
            return await self._stop(order)
        if target == "/v1/hold":
            return await self._hold(order)
        return 404, {}

    def _start(self, order):
        name = order["task"], order["run"]
        if name in self.running:
            return self._reply(200)
        if name[1] <= self.past.get(name[0], 0):
            self._extend(order["untilMs"])
            return self._reply(409, reason="old")
        if order["untilMs"] <= self.clock():
            return self._reply(409, reason="late")
        job = self.jobs[name[0].split(".")[0]]
        used = sum(run.cpu for run in self.running.values())
        self._extend(order["untilMs"])
        if used + job["cpu"] > self.CPU:
            return self._reply(409, reason="room")
        self.running[name] = Run(now_ms(), job["work_ms"], job["cpu"])
        self.record.add("run_started", runner=self.id, task=name[0],
                        run=name[1], fence=order["fence"])
        self.watch.started(self.id, name)
        return self._reply(200)

    async def _stop(self, order):
        name = order["task"], order["run"]
        self.past[name[0]] = max(self.past.get(name[0], 0), name[1])
        if name in self.running:
            asyncio.get_running_loop().call_later(
                self.STOP_MS / 1000, self._finish, name, "stopped")
        return self._reply(200)

    async def _hold(self, order):
        seen = order.get("lastSeen", 0)
        self.ended = [end for end in self.ended if end[0] > seen]
        if "untilMs" in order:
            self._extend(order["untilMs"])
        if not self.ended and order.get("waitMs"):
            try:
                await asyncio.wait_for(self._end.wait(),
                                       order["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, run, "", min(99, int(100 * (now_ms() - one.began)
                                               / one.work_ms)), one.cpu]
                   for (task, run), one in self.running.items()]
        return self._reply(200, running=running, ended=self.ended[:500])


class Watch:
    """What runners run, and whether a task ever runs twice at one time."""

    def __init__(self, record):
        self.record = record
        self.active = {}
        self.starts = []
        self.overlaps = []
        self.done = set()

    def started(self, runner, name):
        at = self.record.time()
        self.starts.append((at, runner, *name))
        others = self.active.setdefault(name[0], {})
        for (other, run), began in others.items():
            self.overlaps.append([name[0], at, None, other, run, runner,
                                  name[1]])
            self.record.add("overlap", task=name[0], first=f"{other}/{run}",
                            second=f"{runner}/{name[1]}")
        others[runner, name[1]] = at

    def ended(self, runner, name, how):
        self.active.get(name[0], {}).pop((runner, name[1]), None)
        if how == "done":
            self.done.add(name[0])
        for overlap in self.overlaps:
            if (overlap[0] == name[0] and overlap[2] is None
                    and (runner, name[1]) in
                    ((overlap[3], overlap[4]), (overlap[5], overlap[6]))):
                overlap[2] = self.record.time()
