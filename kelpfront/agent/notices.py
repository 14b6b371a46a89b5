"""Receives the notices of supervisors: datagrams which state that a task runs or has ended.

Notices are hints and may be lost; the task's folder is authoritative, and the runtime reads it.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable
from pathlib import Path

from kelpfront.agent.errors import AgentError
from kelpfront.agent.supervisor import NOTICE_SOCKET

MAX_NOTICE_BYTES = 4096


class NoticeReceiver:
    """The datagram socket in one state folder."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._socket: socket.socket | None = None

    def bind(self) -> None:
        """Open the socket. Call this before reading any task folder, so that no later notice is missed.

        Raises AgentError.
        """
        notices = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        notices.settimeout(0)  # asyncio requires a non-blocking socket
        (self._folder / NOTICE_SOCKET).unlink(missing_ok=True)
        # A socket's path is limited to 107 bytes; a path through the folder's descriptor is always shorter.
        descriptor = os.open(self._folder, os.O_PATH | os.O_DIRECTORY)
        try:
            notices.bind(f"/proc/self/fd/{descriptor}/{NOTICE_SOCKET}")
        except OSError as error:
            notices.close()
            raise AgentError(f"{self._folder}/{NOTICE_SOCKET}: {error.strerror}") from error
        finally:
            os.close(descriptor)
        self._socket = notices

    async def run(self, on_notice: Callable[[str, str], None]) -> None:
        """Call `on_notice` with the event and the folder name of each notice, until cancelled."""
        assert self._socket is not None
        loop = asyncio.get_running_loop()
        while True:
            datagram = await loop.sock_recv(self._socket, MAX_NOTICE_BYTES)
            event, _, folder = datagram.decode().partition(" ")
            on_notice(event, folder)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()
