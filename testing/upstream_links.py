"""Links between one front and all upstreams, which tests can cut."""

import asyncio
import enum
import socket

from ridgesill.core.addresses import split_address
from testing.soak.proxy import FaultyProxy, Mode


class Cut(enum.Enum):
    """How a front is cut off from upstreams.

    Attributes:
        RESET: Open connections are reset, and new ones are refused.
        HANG: Open connections carry nothing, and new ones don't come up.
        REFUSE: Open connections live on, and new ones are refused.
        MUTE: Connections come up, and no request gets an answer.
    """

    RESET = "reset"
    HANG = "hang"
    REFUSE = "refuse"
    MUTE = "mute"


class BlackHole:
    """An address at which no connection comes up and none is refused.

    Args:
        address: Address to occupy.
    """

    # A backlog of 0 still admits one connection.
    _FILLERS = 3

    def __init__(self, address: tuple[str, int]) -> None:
        self._listening = socket.socket()
        self._listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listening.bind(address)
        self._listening.listen(0)
        self._fillers = [socket.socket() for _ in range(self._FILLERS)]
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex(address)

    def close(self) -> None:
        """Gives the address back."""
        for filler in self._fillers:
            filler.close()
        self._listening.close()


class UpstreamLinks:
    """The links of one front to upstreams, each through a proxy.

    The front reaches the proxies at the host of this object, at the ports of
    the upstreams.

    Args:
        host: Address that stands for all upstreams of the front.
        source: Address from which upstreams see the front's connections.

    Attributes:
        mutes: Loop times at which answers began and ceased to get lost.
    """

    def __init__(self, host: str, source: str) -> None:
        self.host = host
        self.source = source
        self._proxies: dict[str, FaultyProxy] = {}
        self._black_holes: dict[str, BlackHole] = {}
        # Upstreams that have ended.
        self._closed: set[str] = set()
        self._cut: Cut | None = None
        self.mutes: list[tuple[float, float]] = []

    def is_muted(self, at: float) -> bool:
        """Whether answers got lost at a loop time."""
        return any(began <= at <= ended for began, ended in self.mutes)

    async def add(self, target: str) -> None:
        """Adds a link to an upstream, or opens it again; cut if all are."""
        proxy = self._proxies.get(target)
        if proxy is None:
            listen = f"{self.host}:{split_address(target)[1]}"
            proxy = self._proxies[target] = FaultyProxy(
                listen, target, source=self.source
            )
        self._closed.discard(target)
        if self._cut in (None, Cut.MUTE):
            await proxy.start()
        elif self._cut is Cut.HANG:
            self._black_holes[target] = BlackHole(split_address(proxy.listen))

    def close(self, target: str) -> None:
        """Closes the link to an upstream that has ended."""
        self._close_black_hole(target)
        self._closed.add(target)
        if target in self._proxies:
            self._proxies[target].stop()

    def _close_black_hole(self, target: str) -> None:
        black_hole = self._black_holes.pop(target, None)
        if black_hole is not None:
            black_hole.close()

    async def cut(self, how: Cut) -> None:
        """Cuts all links."""
        self._cut = how
        if how is Cut.MUTE:
            now = asyncio.get_running_loop().time()
            self.mutes.append((now, float("inf")))
            for proxy in self._proxies.values():
                proxy.mode = Mode.NO_ANSWERS
            return
        listening = [
            target
            for target, proxy in self._proxies.items()
            if proxy.is_listening
        ]
        for target in listening:
            proxy = self._proxies[target]
            proxy.close_listener()
            if how is Cut.RESET:
                proxy.reset()
            elif how is Cut.HANG:
                proxy.mode = Mode.SILENT
        # The listeners close in the next turn of the event loop.
        await asyncio.sleep(0)
        if how is Cut.HANG:
            for target in listening:
                address = split_address(self._proxies[target].listen)
                self._black_holes[target] = BlackHole(address)

    async def heal(self) -> None:
        """Restores the links to upstreams that run.

        Connections that carried nothing stay broken.
        """
        if self._cut is Cut.MUTE:
            began, _ = self.mutes.pop()
            now = asyncio.get_running_loop().time()
            self.mutes.append((began, now))
        self._cut = None
        for target, proxy in self._proxies.items():
            self._close_black_hole(target)
            if proxy.mode in (Mode.SILENT, Mode.NO_ANSWERS):
                proxy.reset()
            proxy.mode = Mode.OPEN
            if target not in self._closed and not proxy.is_listening:
                await proxy.start()

    def stop(self) -> None:
        """Ends all proxies and connections."""
        for target in list(self._black_holes):
            self._close_black_hole(target)
        for proxy in self._proxies.values():
            proxy.stop()
