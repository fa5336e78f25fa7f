"""Entries as separate processes on loopback addresses, the links between them,
and callers."""

import asyncio
import json
import os
import random
import shutil
import subprocess
import tempfile

from platform_stand_in import Record, Runner, Store, Watch

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 8161, 8167, 8166, 7720
HOST, PREFIX, QUEUE, SERVICE = "nony24.example", "/lohu930/", "r-1", "huvo11a"


class Links:
    """HTTP proxies in front of the entries' ports for one another. A cut holds
    the bytes of a direction until it heals, as TCP does."""

    def __init__(self):
        self.name_of = {}
        self.cut = set()
        self._servers = []
        self._tasks = set()

    async def serve(self, name):
        server = await asyncio.start_server(
            lambda reader, writer: self._connect(name, reader, writer),
            "127.0.0.1", 0)
        self._servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def is_cut(self, source, target):
        return source in self.cut or target in self.cut

    async def _open(self, source, target):
        while self.is_cut(source, target):
            await asyncio.sleep(0.02)

    async def _connect(self, source, reader, writer):
        self._tasks.add(asyncio.current_task())
        other_writer = None
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            address = head.split(b" ")[1].decode()
            target = self.name_of[address]
            await self._open(source, target)
            host, port = address.rsplit(":", 1)
            other_reader, other_writer = await asyncio.open_connection(
                host, int(port))
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            await asyncio.gather(
                self._carry(source, target, reader, other_writer),
                self._carry(target, source, other_reader, writer))
        except (OSError, asyncio.IncompleteReadError, KeyError):
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            for one in (writer, other_writer):
                if one is not None:
                    one.close()

    async def _carry(self, source, target, reader, writer):
        try:
            while data := await reader.read(65536):
                await self._open(source, target)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def close(self):
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()


class Front:
    """The platform's forwarder of callers' connections to one entry."""

    def __init__(self, address):
        self._target = address
        self._held = False
        self._callers = set()
        self._tasks = set()

    async def listen(self):
        self._server = await asyncio.start_server(
            self._forward, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % \
            self._server.sockets[0].getsockname()[1]

    def cut(self):
        """From now on nothing passes in either direction."""
        self._held = True

    def reset_callers(self):
        """Resets the connections on the callers' side."""
        for writer in list(self._callers):
            writer.transport.abort()

    async def _forward(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        other_writer = None
        try:
            host, port = self._target.rsplit(":", 1)
            other_reader, other_writer = await asyncio.open_connection(
                host, int(port))
            self._callers.add(writer)
            await asyncio.gather(self._carry(reader, other_writer),
                                 self._carry(other_reader, writer))
        except OSError:
            pass
        finally:
            self._callers.discard(writer)
            for one in (writer, other_writer):
                if one is not None:
                    one.close()

    async def _carry(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self._pass()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        await self._pass()
        writer.close()

    async def _pass(self):
        while self._held:
            await asyncio.sleep(0.02)

    def heal(self):
        self._held = False

    async def close(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()


class Entry:
    def __init__(self, name, zone, ip, proxy):
        self.name, self.zone, self.ip, self.proxy = name, zone, ip, proxy
        self.process = None

    def address(self, port):
        return f"{self.ip}:{port}"


class Fleet:
    """Store, runners and entries of one deployment."""

    def __init__(self, folder, zones, runners_per_zone=3):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.work = tempfile.mkdtemp(prefix="tarragondrift-review-")
        self.zones = zones
        self.watch = Watch(self.record)
        self.jobs = {}
        self.store = Store()
        self.runners = []
        self.runners_per_zone = runners_per_zone
        self.links = Links()
        self.entries = {}
        self._tasks = []
        draw = random.SystemRandom()
        self._net = f"127.{draw.randrange(20, 250)}." \
                    f"{draw.randrange(1, 250)}"
        self._next_ip = 1

    async def start_platform(self, routes=None):
        # Connections that are cancelled at the end are no failures.
        asyncio.get_running_loop().set_exception_handler(
            lambda _loop, _context: None)
        await self.store.listen("127.0.0.1")
        self.store.put("op", "config", {
            "version": 7,
            "routes": routes or [self.route(QUEUE, PREFIX)],
            "services": [{"name": SERVICE, "healthPath": "/healthz",
                          "maxConns": 64, "proto": "h1", "tls": False,
                          "admissionCheck": True, "spare": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        for zone in self.zones:
            for number in range(self.runners_per_zone):
                await self.add_runner(f"i-{zone}-{number}", zone)

    def route(self, name, prefix, service=SERVICE):
        return {"name": name, "host": HOST, "prefix": prefix,
                "kind": "mutating", "timeoutMs": 1500, "objectiveMs": 60,
                "priority": 0, "service": service, "attempts": 2,
                "stretch": 1.6}

    async def add_runner(self, name, zone, service=SERVICE):
        runner = Runner(name, zone, service, self.record, self.jobs,
                        self.watch)
        await runner.listen("127.0.0.1")
        self.runners.append(runner)
        self.store.put("servers", name, runner.row())
        self._tasks.append(asyncio.create_task(runner.live()))
        return runner

    async def add_entry(self, name, zone, bootstrap=True):
        ip = f"{self._net}.{self._next_ip}"
        self._next_ip += 1
        entry = Entry(name, zone, ip, await self.links.serve(name))
        self.links.name_of[entry.address(PEER_PORT)] = name
        self.entries[name] = entry
        self.start_entry(entry, bootstrap)
        return entry

    def start_entry(self, entry, bootstrap=True):
        """Runs the line `run` of deploy/system.toml."""
        settings = {
            "node": entry.name, "role": "entry", "class": "edge",
            "serves": ["edge", "control"], "ip": entry.ip,
            "zone": entry.zone, "region": "gh-south",
            "zones": {zone: "gh-south" for zone in self.zones},
            "listen": {"front": entry.address(FRONT_PORT),
                       "ready": entry.address(READY_PORT),
                       "control": entry.address(CONTROL_PORT)},
            "portRange": [PEER_PORT, PEER_PORT + 15],
            "seeds": [], "bootstrap": bootstrap, "lossCounts": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260,
                       "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip",
            "heartbeatMs": 1500, "orders": "invoke",
            "bounds": {"contactMs": 3000, "ackMs": 4000, "drainMs": 2000,
                       "graceS": 6, "slackMs": 200, "configMs": 2000,
                       "recoverS": 12, "holdMaxMs": 1000, "stopMs": 50,
                       "cancel_ms": 3000, "resendMs": 1300},
            "platform": {"addr": self.store.address, "form": "table",
                         "writesPerS": 600, "readsPerS": 2000, "txMs": 5.0}}
        path = os.path.join(self.work, entry.name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        with open(os.path.join(self.work, entry.name + ".log"), "ab") as log:
            entry.process = subprocess.Popen(
                ["target/tarragondriftd", "--fleet"], cwd=ROOT, stdout=log,
                stderr=log, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ["PATH"], "TARRAGONDRIFT_BOOT": path,
                     "TARRAGONDRIFT_PEER_PROXY": entry.proxy})
        self.record.add("entry_started", entry=entry.name,
                        pid=entry.process.pid)

    def signal(self, entry, number):
        self.record.add("signal", entry=entry.name, number=int(number))
        entry.process.send_signal(number)

    async def is_ready(self, entry):
        status, _ = await request(entry.address(READY_PORT), "GET",
                                  "/v1/readyz", wait_s=1)
        return status == 200

    async def wait_ready(self, entries, limit_s=20):
        """@return whether all entries are ready in time."""
        end = self.record.time() + limit_s
        for entry in entries:
            while not await self.is_ready(entry):
                if self.record.time() > end:
                    return False
                await asyncio.sleep(0.1)
        return True

    def log_of(self, entry):
        with open(os.path.join(self.work, entry.name + ".log")) as log:
            return log.read()

    async def close(self):
        for entry in self.entries.values():
            if entry.process is not None and entry.process.poll() is None:
                entry.process.kill()
                entry.process.wait()
        await self.links.close()
        for task in self._tasks:
            task.cancel()
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.work, kept, dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)

    def new_job(self, work_ms, cpu=14000):
        """Registers what a task of a new job does; returns the job's id."""
        job = f"{random.getrandbits(64):016x}"
        self.jobs[job] = {"work_ms": work_ms, "cpu": cpu}
        return job

    def body(self, job, steps):
        cpu, work_ms = self.jobs[job]["cpu"], self.jobs[job]["work_ms"]
        spec = [{"count": count, "cpu": cpu, "memMb": 64, "estMs": work_ms,
                 **({"after": after} if after else {})}
                for count, after in steps]
        return json.dumps({"spec": job, "bestEffort": True, "steps": spec})

    async def submit(self, entry, job, steps, deadline_ms, address=None):
        """Sends a job and waits for its answer; 0 means no response."""
        self.record.add("submit", job=job, entry=entry.name,
                        deadline_ms=deadline_ms)
        status, body = await request(
            address or entry.address(FRONT_PORT), "POST", PREFIX + job,
            self.body(job, steps), {"X-Deadline-Ms": str(deadline_ms)},
            deadline_ms / 1000)
        self.record.add("answer", job=job, entry=entry.name, status=status,
                        body=body.replace(" ", ""))
        return status


async def request(address, method, path, body="", headers=None, wait_s=5):
    """One HTTP request on a connection of its own; status 0 if there is no
    response."""
    writer = None
    try:
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), wait_s)
        data = body.encode()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
                 "Content-Type: application/json",
                 f"Content-Length: {len(data)}"]
        lines += [f"{name}: {value}" for name, value
                  in (headers or {}).items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        return await asyncio.wait_for(read_response(reader), wait_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError, IndexError):
        return 0, ""
    finally:
        if writer is not None:
            writer.close()


async def read_response(reader):
    status = int((await reader.readline()).split()[1])
    length = 0
    while (line := await reader.readline()).strip():
        name, _, value = line.decode().partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return status, (await reader.readexactly(length)).decode()


def run_case(play):
    """Runs a case; an error of the case itself ends with 2."""
    try:
        code = asyncio.run(play())
    except Exception as error:  # noqa: any error means that it did not run
        print(f"the case could not run: {error!r}")
        code = 2
    raise SystemExit(code)


ADWENPA = (("accra-a", 3), ("tema-b", 2), ("kasoa-c", 1))


async def start_adwenpa(folder, runners_per_zone):
    """Starts the entries of adwenpa-topup in front of a few runners.

    @return the fleet, once all entries are ready and have settled."""
    fleet = Fleet(folder, [zone for zone, _ in ADWENPA], runners_per_zone)
    try:
        await fleet.start_platform()
        for zone, count in ADWENPA:
            for number in range(count):
                await fleet.add_entry(f"edge-{zone}-{number + 1}", zone)
        if not await fleet.wait_ready(fleet.entries.values()):
            raise RuntimeError("the entries are not ready")
        await asyncio.sleep(4)
    except BaseException:
        await fleet.close()
        raise
    return fleet
