"""Finds which process opened a loopback connection."""

import os
from collections.abc import Iterable
from pathlib import Path

_TABLE = Path('/proc/net/tcp')
# Columns of the table: local address and inode of the socket.
_LOCAL, _INODE = 1, 9


def owner_of(port: int, processes: Iterable[int]) -> int | None:
    """The process that has a TCP socket bound to a local port.

    Only some processes are looked at, by their ids.
    """
    wanted = f':{port:04X}'
    inodes = {
        f'socket:[{columns[_INODE]}]'
        for columns in map(str.split, _TABLE.read_text().splitlines()[1:])
        if columns[_LOCAL].endswith(wanted)
    }
    for process in processes:
        if inodes & _sockets_of(process):
            return process
    return None


def _sockets_of(process: int) -> set[str]:
    folder = f'/proc/{process}/fd'
    found = set()
    try:
        names = os.listdir(folder)
    except OSError:
        return found
    for name in names:
        try:
            found.add(os.readlink(f'{folder}/{name}'))
        except OSError:
            # It was closed meanwhile.
            continue
    return found
