"""A loopback TCP proxy that injects faults into its connections."""

import asyncio
import enum


class Fault(enum.Enum):
    """Fault that a proxy injects into connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"  # Aborts open connections and new ones.
    SILENT = "silent"  # Discards all data and keeps connections open.
    NO_ANSWERS = "no answers"  # Forwards requests and discards answers.


class Proxy:
    """Forwards connections to a port on loopback.

    Attributes:
        fault: The fault that is injected now.
        delay_s: Delay of each chunk in seconds while the fault is DELAY.
        port: Port on which the proxy listens, once it has started.
    """

    def __init__(self, *, target_port: int):
        self.fault = Fault.NONE
        self.delay_s = 0.3
        self.port = 0
        self._target_port = target_port
        self._writers: set[asyncio.StreamWriter] = set()
        self._truncated: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Binds a port that the kernel chooses."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def set_fault(self, fault: Fault) -> None:
        """Changes the fault; RESET also aborts the open connections."""
        self.fault = fault
        if fault is Fault.RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    def stop(self) -> None:
        """Closes the port and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader,
                      writer: asyncio.StreamWriter) -> None:
        if self.fault is Fault.RESET:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, target_writer}
        self._writers |= pair
        try:
            await asyncio.gather(self._forward(reader, target_writer, False),
                                 self._forward(target_reader, writer, True))
        except asyncio.CancelledError:
            pass  # Cancelled when the soak ends.
        finally:
            self._writers -= pair
            for end_writer in pair:
                end_writer.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader,
                       writer: asyncio.StreamWriter, is_answer: bool) -> None:
        try:
            while data := await reader.read(1 << 16):
                if self.fault is Fault.DELAY:
                    await asyncio.sleep(self.delay_s)
                discarded = (self.fault is Fault.SILENT or
                             (is_answer and self.fault is Fault.NO_ANSWERS))
                if discarded or writer in self._truncated:
                    # A stream that has lost bytes delivers nothing more.
                    self._truncated.add(writer)
                    continue
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass  # One end is closed; _accept closes the other one.
        finally:
            self._truncated.discard(writer)
            writer.transport.abort()
