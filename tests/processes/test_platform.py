"""Real entries on the users' platform, against stand-ins, on loopback."""

import asyncio
import itertools
import json
import signal
import sys
from collections.abc import Awaitable, Callable
from contextlib import closing
from pathlib import Path
from typing import Any

import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from tests.platform.test_decoding import CONFIGURATION, SETTINGS
from tests.platform.upstream import RawUpstream, Reply, answer
from tests.soak._world import free_ports
from worksrail.standins.objects import ObjectStore, StoreMood, application

pytestmark = pytest.mark.xdist_group('processes')

_REQUEST = (
    'GET /r/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {trace}\r\n'
    'Deadline-Ms: 4000\r\n\r\n'
)
_PATIENCE = 30.0
# Ports for callers, readiness, control, look-ups and other entries.
_PORTS = 5


class Platform:
    """A store, an upstream, and entries as processes."""

    def __init__(self, folder: Path) -> None:
        """Prepare; nothing runs yet."""
        self.folder = folder
        self.store = ObjectStore()
        self.upstream = RawUpstream(lambda _, trace: Reply(answer(trace)))
        self.server = HTTPServer(application(self.store))
        self.entries: dict[str, asyncio.subprocess.Process] = {}
        *self.ports, self.inner = free_ports(_PORTS)
        self.configuration = json.loads(json.dumps(CONFIGURATION))
        self.configuration['Routes']['Rows'][1][10] = []
        self.bounds: list[str] = []

    async def open(self) -> None:
        """Start the stand-ins and write the first configuration."""
        sock, self.port = bind_unused_port()
        self.server.add_socket(sock)
        await self.upstream.open()
        self.store.put('config', 'main', self.configuration)
        for service in ('a', 'b'):
            info = {
                'Service': service,
                'Version': 'v1',
                'Zone': 'z1',
                'Slots': 3,
            }
            self.store.put(
                'servers',
                f'i-{service}',
                {'Address': self.upstream.address, 'Info': info},
                {'State': 'ready', 'Sequence': 1, 'ColdRemainingS': 0},
            )

    async def start(self, host: str) -> None:
        """Start an entry at an address of the loopback range."""
        settings = json.loads(json.dumps(SETTINGS))
        names = ('Front', 'Ready', 'Control', 'Directory')
        settings['Bounds'] += self.bounds
        settings.update(
            {
                'NodeName': f'front-{host}',
                'Ip': host,
                'InternalPortRange': [self.inner, self.inner],
                'Seeds': ['127.0.0.2:1', '127.0.0.3:1'],
                'Platform': {'Address': f'127.0.0.1:{self.port}'},
                'Listen': {
                    name: f'{host}:{port}'
                    for name, port in zip(names, self.ports, strict=True)
                },
            }
        )
        path = self.folder / f'{host}.json'
        path.write_text(json.dumps(settings))
        log = (self.folder / f'{host}.log').open('ab')
        with closing(log):
            self.entries[host] = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'worksrail.platform',
                env={'WORKSRAIL_CONFIG': str(path), 'PATH': ''},
                cwd=Path(__file__).parents[2],
                stdout=log,
                stderr=log,
            )

    async def ask(self, host: str, port: int, text: str) -> tuple[int, str]:
        """Status and body of an entry's answer; 0 without one."""
        try:
            async with asyncio.timeout(5):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(text.encode())
                head = await reader.readuntil(b'\r\n\r\n')
                length = head.lower().partition(b'content-length: ')[2]
                body = await reader.readexactly(int(length.split()[0]))
                writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return 0, ''
        return int(head.split()[1]), body.decode()

    async def request(self, host: str, trace: str) -> int:
        """Status of a request of a caller."""
        text = _REQUEST.format(trace=trace)
        return (await self.ask(host, self.ports[0], text))[0]

    async def get(self, host: str, port: int, path: str) -> tuple[int, str]:
        """Answer to a question."""
        return await self.ask(
            host, port, f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'
        )

    async def named(self, host: str) -> list[str]:
        """Entries that a look-up names."""
        path = '/-/resolve?Name=h.example&Region=r1&Zone=z1'
        status, body = await self.get(host, self.ports[3], path)
        return json.loads(body)['Addresses'] if status == 200 else []

    async def until(self, holds: Callable[[], Awaitable[Any]]) -> None:
        """Wait until something holds."""
        async with asyncio.timeout(_PATIENCE):
            while not await holds():
                await asyncio.sleep(0.1)

    async def close(self) -> None:
        """End everything."""
        for process in self.entries.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        self.server.stop()

    def log(self, host: str) -> str:
        """What an entry has written."""
        return (self.folder / f'{host}.log').read_text()


def _play(
    folder: Path,
    use: Callable[[Platform], Awaitable[None]],
) -> Platform:
    async def run() -> Platform:
        platform = Platform(folder)
        await platform.open()
        try:
            for host in ('127.0.0.2', '127.0.0.3'):
                await platform.start(host)
            await platform.until(lambda: _both_named(platform))
            await use(platform)
        finally:
            await platform.close()
        return platform

    return asyncio.run(run())


async def _both_named(platform: Platform) -> bool:
    for host in ('127.0.0.2', '127.0.0.3'):
        if len(await platform.named(host)) != 2:
            return False
    return True


def test_calm_day(tmp_path: Path) -> None:
    async def use(platform: Platform) -> None:
        for number in range(10):
            for host in platform.entries:
                assert await platform.request(host, f't{number}{host}') == 200
        status, text = await platform.get('127.0.0.2', 9464, '/metrics')
        assert status == 200
        assert 'worksrail_results_total{result="OK"} 10.0' in text

    _play(tmp_path, use)


def test_everything_comes_back_after_all_entries_were_killed(
    tmp_path: Path,
) -> None:
    async def use(platform: Platform) -> None:
        for process in platform.entries.values():
            process.kill()
            await process.wait()
        for host in tuple(platform.entries):
            await platform.start(host)
        await platform.until(lambda: _both_named(platform))
        for host in platform.entries:
            assert await platform.request(host, f'again-{host}') == 200

    _play(tmp_path, use)


def test_requests_go_on_while_the_store_is_silent(tmp_path: Path) -> None:
    async def use(platform: Platform) -> None:
        platform.store.mood = StoreMood.SILENT
        platform.store.drop_history()
        for host in platform.entries:
            assert await platform.request(host, f'dark-{host}') == 200

    _play(tmp_path, use)


def test_stop_is_told_and_graceful(tmp_path: Path) -> None:
    async def use(platform: Platform) -> None:
        leaving = platform.entries['127.0.0.2']
        leaving.send_signal(signal.SIGTERM)
        await platform.until(lambda: _only_other(platform))
        status, _ = await platform.get(
            '127.0.0.2', platform.ports[1], '/-/readiness'
        )
        assert status == 503
        assert await platform.request('127.0.0.2', 'late') == 200
        async with asyncio.timeout(_PATIENCE):
            assert await leaving.wait() == 0

    platform = _play(tmp_path, use)
    written = platform.log('127.0.0.2')
    for event in ('started', 'ready', 'leaving', 'stopped'):
        assert f'"message":"{event}"' in written


async def _only_other(platform: Platform) -> bool:
    named = await platform.named('127.0.0.3')
    return len(named) == 1 and named[0].startswith('127.0.0.3')


def test_settings_read_again_or_turned_down(tmp_path: Path) -> None:
    async def use(platform: Platform) -> None:
        path = tmp_path / '127.0.0.2.json'
        settings = json.loads(path.read_text())
        path.write_text('{"cut')
        await platform.until(lambda: _written(platform, 'not reloaded'))
        settings['Bounds'] = ['ttl_max_s=1']
        path.write_text(json.dumps(settings))
        platform.entries['127.0.0.2'].send_signal(signal.SIGHUP)
        await platform.until(lambda: _written(platform, 'settings reloaded'))
        assert await platform.request('127.0.0.2', 'after') == 200

    _play(tmp_path, use)


async def _written(platform: Platform, text: str) -> bool:
    return text in platform.log('127.0.0.2')


def test_unusable_settings_end_with_a_number(tmp_path: Path) -> None:
    async def run() -> tuple[int | None, bytes]:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'worksrail.platform',
            env={'WORKSRAIL_CONFIG': str(tmp_path / 'none'), 'PATH': ''},
            cwd=Path(__file__).parents[2],
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
        return process.returncode, errors

    code, errors = asyncio.run(run())
    assert code == 2
    assert json.loads(errors)['result'] == 6001


def _customers(*keys: str) -> dict[str, Any]:
    """Configuration of one customer with some keys; reads are for it."""
    document: dict[str, Any] = json.loads(json.dumps(CONFIGURATION))
    document['Routes']['Rows'][1][10] = []
    columns = ['Name', 'ApiKeys', 'RatePerS', 'Burst']
    row = ['acme', list(keys), 0, 0]
    document['Tenants'] = {'Columns': columns, 'Rows': [row]}
    return document


def test_keys_of_customers_and_what_becomes_of_them(tmp_path: Path) -> None:
    secrets = ('k-first-secret', 'k-second-secret')
    numbers = itertools.count()

    async def ask(platform: Platform, host: str, trace: str, key: str) -> int:
        head = _REQUEST.format(trace=trace)[:-2]
        text = f'{head}Credential: {key}\r\nTenant: forged\r\n\r\n'
        return (await platform.ask(host, platform.ports[0], text))[0]

    async def all_answer(platform: Platform, key: str, status: int) -> bool:
        answers = [
            await ask(platform, host, f't{next(numbers)}', key)
            for host in platform.entries
        ]
        return set(answers) == {status}

    async def use(platform: Platform) -> None:
        document = _customers(*secrets) | {'Version': 'r8'}
        platform.store.put('config', 'main', document)
        await platform.until(lambda: all_answer(platform, 'secret', 401))
        assert await all_answer(platform, secrets[0], 200)
        platform.upstream.heads.clear()
        assert await all_answer(platform, secrets[1], 200)
        for head in platform.upstream.heads:
            assert b'\r\nTenant: acme\r\n' in head
            assert b'forged' not in head
            assert b'secret' not in head
        assert platform.upstream.heads
        document = _customers(secrets[1]) | {'Version': 'r9'}
        platform.store.put('config', 'main', document)
        await platform.until(lambda: all_answer(platform, secrets[0], 401))
        assert await all_answer(platform, secrets[1], 200)
        for host in platform.entries:
            _, metrics = await platform.get(host, 9464, '/metrics')
            assert 'secret' not in metrics

    platform = _play(tmp_path, use)
    for host in platform.entries:
        assert 'secret' not in platform.log(host)
