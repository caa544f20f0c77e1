"""A loopback TCP proxy that harms the connections that pass through it."""

import asyncio
import enum


class Harm(enum.Enum):
    """What a proxy does to connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"  # Cuts open connections and refuses new ones.
    SILENT = "silent"  # Swallows everything, without closing.
    NO_ANSWERS = "no answers"  # Requests pass, answers are lost.


class Proxy:
    """Forwards one port to another.

    Attributes:
        harm: What is done to connections now.
        delay_s: Delay of each piece while the harm is DELAY.
    """

    def __init__(self, *, target_port: int):
        self.harm = Harm.NONE
        self.delay_s = 0.3
        self.port = 0
        self._target_port = target_port
        self._writers: set[asyncio.StreamWriter] = set()
        self._spoilt: set[asyncio.StreamWriter] = set()

    async def begin(self) -> None:
        """Binds a port that the kernel chooses."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def set_harm(self, harm: Harm) -> None:
        """Changes what is done; RESET cuts what is open."""
        self.harm = harm
        if harm is Harm.RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    def end(self) -> None:
        """Closes the port and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader,
                      writer: asyncio.StreamWriter) -> None:
        if self.harm is Harm.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self._writers |= pair
        try:
            await asyncio.gather(self._pump(reader, far_writer, False),
                                 self._pump(far_reader, writer, True))
        except asyncio.CancelledError:
            pass  # The soak ends.
        finally:
            self._writers -= pair
            for end in pair:
                end.transport.abort()

    async def _pump(self, reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter, is_answer: bool) -> None:
        try:
            while data := await reader.read(1 << 16):
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(self.delay_s)
                swallowed = (self.harm is Harm.SILENT or
                             (is_answer and self.harm is Harm.NO_ANSWERS))
                if swallowed or writer in self._spoilt:
                    # A connection that has lost bytes delivers nothing more.
                    self._spoilt.add(writer)
                    continue
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass  # One end is gone; the other is closed by the caller.
        finally:
            self._spoilt.discard(writer)
            writer.transport.abort()
