"""A proxy for the connections between entries, which can be cut.

Each entry reaches the others through its own port of the proxy, which it is
given as TARRAGONDRIFT_PEER_PROXY. What is sent into a cut is held and delivered
when the cut has healed, as TCP does.
"""

import asyncio
import os

PROXY_PORT = 7800


class Links:
    def __init__(self, fleet):
        self.fleet = fleet
        self._cut = set()
        self._healed = asyncio.Event()
        self._servers = []
        self._tasks = set()

    async def start(self, count):
        for index in range(count):
            self._servers.append(await asyncio.start_server(
                lambda reader, writer, source=index: self._serve(
                    source, reader, writer),
                f"{self.fleet.net}.3", PROXY_PORT + index))

    def address(self, index):
        return f"{self.fleet.net}.3:{PROXY_PORT + index}"

    def cut(self, group, others):
        """Cuts the entries of a group off from others, both ways."""
        self.fleet.record.add("cut", group=group, others=others)
        for one in group:
            for other in others:
                self._cut |= {(one, other), (other, one)}

    def heal(self):
        self.fleet.record.add("healed")
        self._cut.clear()
        self._healed.set()
        self._healed = asyncio.Event()

    async def _open(self, source, target):
        while (source, target) in self._cut:
            await self._healed.wait()

    async def _serve(self, source, reader, writer):
        self._tasks.add(asyncio.current_task())
        other_writer = None
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            host, port = head.split(b" ")[1].decode().rsplit(":", 1)
            target = [one.ip for one in self.fleet.entries].index(host)
            await self._open(source, target)
            other_reader, other_writer = await asyncio.open_connection(
                host, int(port))
            await self._open(target, source)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            await asyncio.gather(
                self._carry(source, target, reader, other_writer),
                self._carry(target, source, other_reader, writer))
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
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

    async def stop(self):
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class StoreLinks:
    """A proxy between each entry and the store, whose open connections can go
    silent for good while new ones work."""

    PORT = 7900

    def __init__(self, fleet):
        self.fleet = fleet
        self.generation = 0
        self._servers = []
        self._tasks = set()

    async def start(self, count):
        for index in range(count):
            self._servers.append(await asyncio.start_server(
                self._serve, f"{self.fleet.net}.4", self.PORT + index))

    def address(self, index):
        return f"{self.fleet.net}.4:{self.PORT + index}"

    def silence(self):
        """From now on the connections that are open carry nothing."""
        self.fleet.record.add("connections_to_store_silent")
        self.generation += 1

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        generation = self.generation
        other_writer = None
        try:
            host, port = self.fleet.store.address.split(":")
            other_reader, other_writer = await asyncio.open_connection(
                host, int(port))
            await asyncio.gather(
                self._carry(generation, reader, other_writer),
                self._carry(generation, other_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            for one in (writer, other_writer):
                if one is not None:
                    one.close()

    async def _carry(self, generation, reader, writer):
        try:
            while data := await reader.read(65536):
                if generation == self.generation:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def stop(self):
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
