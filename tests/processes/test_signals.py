"""Programs under signals at the edges of their lives.

What operators saw: SIGHUP ended ``worksraild`` at once, whatever it served
(exit -1), and cut its callers off; an entry that had been told to stop and got
SIGHUP before it was gone ended with -1 instead of 0.
"""

import json
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import closing, contextmanager, suppress
from itertools import cycle
from pathlib import Path
from typing import Final

import pytest
from tornado.testing import bind_unused_port

from tests.hangups import keep_hangups, take_hangups
from tests.platform.test_decoding import SETTINGS

pytestmark = pytest.mark.xdist_group('processes')

# Sends SIGHUP at the first step of loading after the program's first line of
# code, or at each one.
_HOOK: Final = """
import os, signal, sys

_MOST = {most}
_FIRST = ('worksrail.platform._entry', 'worksrail.daemon.main')


class HangUps:
    begun = False
    sent = 0

    @classmethod
    def find_spec(cls, name, path=None, target=None):
        cls.begun = cls.begun or name in _FIRST
        if cls.begun and cls.sent < _MOST:
            cls.sent += 1
            os.kill(os.getpid(), signal.SIGHUP)


sys.meta_path.insert(0, HangUps)
"""
_ROOT: Final = Path(__file__).parents[2]
_PATIENCE: Final = 30.0
# Seconds between two signals of a storm.
_STORM_GAP: Final = 0.002
_SETTINGS: Final = 'settings.json'
_SERVING: Final = ('"message":"started"', '"message":"serving"')
_RELOAD: Final = '"message":"reload asked for"'


def _free_addresses() -> Iterator[str]:
    while True:
        sock, port = bind_unused_port(address='127.0.0.1')
        with closing(sock):
            yield f'127.0.0.1:{port}'


def _platform_entry(folder: Path) -> list[str]:
    """Command of an entry on the users' platform; its store is away."""
    address = _free_addresses()
    names = ('Front', 'Ready', 'Control', 'Directory')
    port = int(next(address).partition(':')[2])
    settings = {
        'Ip': '127.0.0.1',
        'InternalPortRange': [port, port],
        'Seeds': [],
        'Platform': {'Address': next(address)},
        'Listen': {name: next(address) for name in names},
    }
    path = folder / _SETTINGS
    path.write_text(json.dumps(SETTINGS | settings))
    return ['worksrail.platform']


def _worksraild(folder: Path) -> list[str]:
    """Command of an entry of the product's own mode; its store is away."""
    address = _free_addresses()
    ports = ('caller', 'operator', 'peer', 'passing', 'store')
    return [
        'worksrail.daemon',
        '--name=one-1',
        '--zone=one',
        '--region=here',
        '--ticket-secrets=a-secret-that-is-long-enough',
        *(f'--{name}={next(address)}' for name in ports),
    ]


class Program:
    """One process and what it has written."""

    def __init__(
        self,
        command: Callable[[Path], list[str]],
        folder: Path,
        starter: Callable[[], None] = take_hangups,
        **environment: str,
    ) -> None:
        """Start it; the starter acts in the child before the program does."""
        self.words = command(folder)
        self.path = folder / 'log'
        with self.path.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', *self.words],
                cwd=_ROOT,
                env={
                    'WORKSRAIL_CONFIG': str(folder / _SETTINGS),
                    'PATH': '',
                }
                | environment,
                stdout=log,
                stderr=log,
                preexec_fn=starter,
            )

    @property
    def front(self) -> tuple[str, int]:
        """Address for callers."""
        for word in self.words:
            name, _, address = word.partition('=')
            if name == '--caller':
                break
        else:
            settings = json.loads((self.path.parent / _SETTINGS).read_text())
            address = settings['Listen']['Front']
        host, _, port = address.partition(':')
        return host, int(port)

    def is_written(self, *texts: str, times: int = 1) -> bool:
        """Whether its log has one of some texts so many times."""
        written = self.path.read_text()
        return sum(written.count(text) for text in texts) >= times

    def wait_written(self, *texts: str, times: int = 1) -> None:
        """Wait until its log has one of some texts so many times."""
        end = time.monotonic() + _PATIENCE
        while not self.is_written(*texts, times=times):
            assert self.process.poll() is None, self.path.read_text()
            assert time.monotonic() < end, self.path.read_text()
            time.sleep(0.02)

    def wait_serving(self) -> None:
        """Wait until it takes signals."""
        self.wait_written(*_SERVING)

    def storm(self, *numbers: signal.Signals) -> int:
        """Send signals in turn until it has ended; gives its exit code."""
        end = time.monotonic() + _PATIENCE
        for number in cycle(numbers):
            if self.process.poll() is not None:
                break
            assert time.monotonic() < end, self.path.read_text()
            self.process.send_signal(number)
            time.sleep(_STORM_GAP)
        return self.process.wait()


@pytest.fixture(params=[_platform_entry, _worksraild])
def program(
    request: pytest.FixtureRequest, tmp_path: Path
) -> Iterator[Program]:
    """Each of the programs that serve callers, serving."""
    running = Program(request.param, tmp_path)
    try:
        running.wait_serving()
        yield running
    finally:
        running.process.kill()
        running.process.wait()


def test_reload_changes_nothing_and_is_written(program: Program) -> None:
    for times in range(1, 4):
        program.process.send_signal(signal.SIGHUP)
        program.wait_written('"message":"reload', times=times)
    program.process.send_signal(signal.SIGTERM)
    assert program.process.wait(_PATIENCE) == 0


@pytest.mark.parametrize(
    'numbers',
    [
        (signal.SIGTERM,),
        (signal.SIGINT,),
        (signal.SIGHUP,),
        (signal.SIGHUP, signal.SIGTERM, signal.SIGINT),
    ],
    ids=lambda numbers: '-'.join(number.name for number in numbers),
)
def test_stop_ends_with_zero_whatever_comes_meanwhile(
    program: Program, numbers: tuple[signal.Signals, ...]
) -> None:
    program.process.send_signal(signal.SIGTERM)
    assert program.storm(*numbers) == 0


def test_interrupt_is_a_stop(program: Program) -> None:
    program.process.send_signal(signal.SIGINT)
    assert program.process.wait(_PATIENCE) == 0


@contextmanager
def _started(
    command: Callable[[Path], list[str]],
    folder: Path,
    starter: Callable[[], None] = take_hangups,
    **environment: str,
) -> Iterator[Program]:
    """Run a program that serves on until it is told to stop."""
    running = Program(command, folder, starter, **environment)
    try:
        yield running
        running.process.send_signal(signal.SIGTERM)
        assert running.process.wait(_PATIENCE) == 0, running.path.read_text()
    finally:
        running.process.kill()
        running.process.wait()


@pytest.mark.parametrize('command', [_platform_entry, _worksraild])
def test_reload_right_after_the_start_waits_and_is_taken(
    command: Callable[[Path], list[str]], tmp_path: Path
) -> None:
    with _started(command, tmp_path, keep_hangups) as running:
        running.process.send_signal(signal.SIGHUP)
        running.wait_serving()
        running.wait_written(_RELOAD)


@pytest.mark.parametrize('command', [_platform_entry, _worksraild])
def test_reloads_at_all_moments_of_the_start_end_nothing(
    command: Callable[[Path], list[str]], tmp_path: Path
) -> None:
    with _started(command, tmp_path, keep_hangups) as running:
        end = time.monotonic() + _PATIENCE
        while not running.is_written(*_SERVING):
            assert running.process.poll() is None, running.path.read_text()
            assert time.monotonic() < end, running.path.read_text()
            running.process.send_signal(signal.SIGHUP)
            time.sleep(_STORM_GAP)
        running.wait_written(_RELOAD)


@pytest.mark.parametrize('most', [1, 100_000], ids=['first', 'each'])
@pytest.mark.parametrize('command', [_platform_entry, _worksraild])
def test_reload_while_modules_are_loaded_waits_and_is_taken(
    command: Callable[[Path], list[str]], most: int, tmp_path: Path
) -> None:
    hook = tmp_path / 'sitecustomize.py'
    hook.write_text(_HOOK.format(most=most))
    with _started(command, tmp_path, PYTHONPATH=str(tmp_path)) as running:
        running.wait_serving()
        running.wait_written(_RELOAD)


@pytest.mark.parametrize('abstract', [False, True])
@pytest.mark.parametrize('command', [_platform_entry, _worksraild])
def test_reload_right_after_ready_is_taken(
    command: Callable[[Path], list[str]], abstract: bool, tmp_path: Path
) -> None:
    path = str(tmp_path / 'starter')
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as told:
        told.bind(f'\0{path}' if abstract else path)
        told.settimeout(_PATIENCE)
        name = f'@{path}' if abstract else path
        with _started(command, tmp_path, NOTIFY_SOCKET=name) as running:
            assert told.recv(100).strip() == b'READY=1'
            socket.create_connection(running.front, _PATIENCE).close()
            running.process.send_signal(signal.SIGHUP)
            running.wait_written(_RELOAD)


@pytest.mark.parametrize('command', [_platform_entry, _worksraild])
def test_service_manager_that_does_not_read_delays_nothing(
    command: Callable[[Path], list[str]], tmp_path: Path
) -> None:
    name = str(tmp_path / 'starter')
    with (
        socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as told,
        socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as other,
    ):
        told.bind(name)
        told.settimeout(_PATIENCE)
        other.setblocking(False)
        with suppress(BlockingIOError):
            while True:
                other.sendto(b'STATUS=busy', name)
        with _started(command, tmp_path, NOTIFY_SOCKET=name) as running:
            running.wait_serving()
            running.process.send_signal(signal.SIGHUP)
            running.wait_written(_RELOAD)
            while told.recv(100).strip() != b'READY=1':
                pass


@pytest.mark.parametrize('command', [_platform_entry, _worksraild])
def test_service_manager_that_is_gone_is_logged_and_changes_nothing(
    command: Callable[[Path], list[str]], tmp_path: Path
) -> None:
    gone = str(tmp_path / 'starter')
    with _started(command, tmp_path, NOTIFY_SOCKET=gone) as running:
        running.wait_serving()
        running.wait_written('"message":"service manager not notified"')


def _answer_on(caller: socket.socket) -> bytes:
    """Send a request on an open connection and read its answer."""
    caller.sendall(b'GET / HTTP/1.1\r\nHost: orders.example\r\n\r\n')
    received = b''
    while b'\r\n\r\n' not in received:
        part = caller.recv(65536)
        assert part, received
        received += part
    return received


def test_kept_connection_ends_with_an_answer_and_not_at_the_exit(
    program: Program,
) -> None:
    """A request that arrives as the process exits would get no answer."""
    with socket.create_connection(program.front, _PATIENCE) as caller:
        assert b'connection: close' not in _answer_on(caller).lower()
        program.process.send_signal(signal.SIGTERM)
        program.wait_written('"message":"leaving"')
        assert b'connection: close' in _answer_on(caller).lower()
        caller.settimeout(_PATIENCE)
        while caller.recv(65536):
            pass
    assert program.process.wait(_PATIENCE) == 0
