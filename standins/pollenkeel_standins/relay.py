"""TCP relay between two processes that can simulate network faults."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import random
import threading
from collections.abc import Coroutine
from typing import Any, Self

_CHUNK_BYTES = 65536
_CALL_TIMEOUT_SECONDS = 10.0


class Mode(enum.Enum):
    """How the relay treats connections.

    ``PASS`` forwards all data. ``CUT`` closes every connection, new ones as soon as
    they are accepted. ``SILENT`` keeps connections open but carries no data.
    ``ONE_WAY`` carries only data that is sent to the target. A connection that lost
    data stays silent (after ``ONE_WAY``, in that direction) even if the mode is reset.
    """

    PASS = "pass"
    CUT = "cut"
    SILENT = "silent"
    ONE_WAY = "one way"


#: Modes in which data to the target, or data to the client, is not carried.
_MODES_DROPPING_TO_TARGET = frozenset({Mode.SILENT})
_MODES_DROPPING_TO_CLIENT = frozenset({Mode.SILENT, Mode.ONE_WAY})


class _Connection:
    """One relayed connection; a muted connection never carries data again."""

    def __init__(self, client: asyncio.StreamWriter) -> None:
        self.muted = False
        self.closed = False
        self._writers = [client]

    def add_target(self, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        if self.closed:
            writer.close()

    def close(self) -> None:
        self.closed = True
        for writer in self._writers:
            writer.close()


class HeldData:
    """Data that a relay holds back.

    Attributes
    ----------
    arrived : threading.Event
        Set once the relay has the data.
    released : asyncio.Event
        Set once the data may go on; belongs to the relay's loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.arrived = threading.Event()
        self.released = asyncio.Event()
        self._loop = loop

    def release(self) -> None:
        """Let the data go on."""
        self._loop.call_soon_threadsafe(self.released.set)


#: Data of one direction with the time at which it is due and the hold on it.
_Queue = asyncio.Queue[tuple[float, bytes, HeldData | None]]


class Relay:
    """Forwards TCP connections on 127.0.0.1 to a target.

    Parameters
    ----------
    target : str
        ``host:port``, or a URL of the form ``http://host:port`` or
        ``tcp://host:port``.
    seed : int
        Seed of the jitter.
    """

    def __init__(self, target: str, seed: int = 1) -> None:
        self._scheme, _, rest = target.rpartition("://")
        host, _, port = rest.rstrip("/").partition(":")
        self._target = (host, int(port))
        self._mode = Mode.PASS
        self._delay = 0.0
        self._jitter = 0.0
        self._random = random.Random(seed)
        self._blocked = b""
        self._holds_by_text: dict[bytes, HeldData] = {}
        self._connections: set[_Connection] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._server: asyncio.Server = self._call(self._listen())

    @property
    def address(self) -> str:
        """Address of the relay, in the form in which the target was given."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{self._scheme}://{host}:{port}" if self._scheme else f"{host}:{port}"

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def set_target(self, target: str) -> None:
        """Forward new connections to another address.

        This lets a process whose port the kernel chooses announce the relay's address
        before its own is known.
        """
        host, _, port = target.rpartition("://")[2].rpartition(":")
        self._target = (host, int(port))

    def set_mode(self, mode: Mode) -> None:
        """Set the mode; ``CUT`` also closes the established connections."""
        self._call(self._set_mode(mode))

    def set_delay(self, delay: float, jitter: float = 0.0) -> None:
        """Delay data in each direction.

        Parameters
        ----------
        delay : float
            One-way delay in seconds.
        jitter : float
            Upper bound in seconds of the random delay that is added to it.
        """
        self._delay, self._jitter = delay, jitter

    def block(self, text: bytes) -> None:
        """Close each connection once it carries a text, such as the id of a sender.

        Connections of other senders are not affected. An empty text ends the block.
        """
        self._blocked = text

    def hold(self, text: bytes) -> HeldData:
        """Hold the next data with a text, such as a key, and all that follows it.

        Other connections, and the other direction of this one, are not affected. A text
        that two reads divide is not found.
        """
        held = HeldData(self._loop)
        self._holds_by_text[text] = held
        return held

    def silence_established(self) -> None:
        """Make the established connections permanently silent; new ones work."""
        self._call(self._silence())

    def close(self) -> None:
        """Close the relay and its connections."""
        if self._loop.is_closed():
            return
        self._call(self._shut_down())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_CALL_TIMEOUT_SECONDS)
        self._loop.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _call(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(_CALL_TIMEOUT_SECONDS)

    async def _listen(self) -> asyncio.Server:
        return await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def _set_mode(self, mode: Mode) -> None:
        self._mode = mode
        if mode is Mode.CUT:
            for connection in list(self._connections):
                connection.close()

    async def _silence(self) -> None:
        for connection in self._connections:
            connection.muted = True

    async def _shut_down(self) -> None:
        self._server.close()
        current = asyncio.current_task()
        tasks = [task for task in asyncio.all_tasks() if task is not current]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode is Mode.CUT:
            writer.close()
            return
        # Registered before the target is connected, so that mode changes apply already.
        connection = _Connection(writer)
        self._connections.add(connection)
        try:
            await self._relay(connection, reader, writer)
        except (OSError, asyncio.CancelledError):
            # Only ``close`` cancels; asyncio would log the cancellation as an error.
            pass
        finally:
            connection.close()
            self._connections.discard(connection)

    async def _relay(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(*self._target)
        connection.add_target(target_writer)
        if connection.closed:
            return
        pumps = [
            asyncio.create_task(
                self._pump(connection, reader, target_writer, _MODES_DROPPING_TO_TARGET)
            ),
            asyncio.create_task(
                self._pump(connection, target_reader, writer, _MODES_DROPPING_TO_CLIENT)
            ),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dropping_modes: frozenset[Mode],
    ) -> None:
        queue: _Queue = asyncio.Queue()
        sender = asyncio.create_task(
            self._send(connection, queue, writer, dropping_modes)
        )
        due = 0.0
        try:
            while data := await _read(reader):
                if self._blocked and self._blocked in data:
                    return
                wait = self._delay + self._random.uniform(0.0, self._jitter)
                # As in TCP, data must not overtake earlier data.
                due = max(due, self._loop.time() + wait)
                queue.put_nowait((due, data, self._pop_hold(data)))
            queue.put_nowait((due, b"", None))
            await sender
        except OSError:
            pass
        finally:
            sender.cancel()

    def _pop_hold(self, data: bytes) -> HeldData | None:
        """Return the hold that data is subject to; it applies to no later data."""
        for text, held in self._holds_by_text.items():
            if text in data:
                del self._holds_by_text[text]
                held.arrived.set()
                return held
        return None

    async def _send(
        self,
        connection: _Connection,
        queue: _Queue,
        writer: asyncio.StreamWriter,
        dropping_modes: frozenset[Mode],
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                due, data, held = await queue.get()
                await asyncio.sleep(max(0.0, due - self._loop.time()))
                if held is not None:
                    await held.released.wait()
                if connection.muted or self._mode in dropping_modes:
                    # Dropped data leaves a gap in the stream, so this direction never
                    # carries data again. In ``ONE_WAY`` mode the other direction must
                    # keep working, so the connection is not muted.
                    if self._mode is not Mode.ONE_WAY:
                        connection.muted = True
                    await asyncio.Event().wait()
                if not data:
                    return
                writer.write(data)
                await writer.drain()


async def _read(reader: asyncio.StreamReader) -> bytes:
    # A reset counts as the end of the stream: data sent before it is still delivered.
    with contextlib.suppress(OSError):
        return await reader.read(_CHUNK_BYTES)
    return b""


class Links:
    """Relays in front of processes, by the name of the process."""

    def __init__(self) -> None:
        self.relays_by_name: dict[str, Relay] = {}

    def open(self, name: str, scheme: str) -> str:
        """Start a relay, whose target is set later, and return its address."""
        # Nothing listens on port 1, so that early connections are closed.
        self.relays_by_name[name] = Relay(f"{scheme}://127.0.0.1:1")
        return self.relays_by_name[name].address

    def close(self) -> None:
        """Close all relays."""
        for relay in self.relays_by_name.values():
            relay.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
