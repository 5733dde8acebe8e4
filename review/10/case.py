"""A machine is added whose seeds are all stale; a tenant is over its quota.

Then its settings file is put right and it gets SIGHUP.
"""

import asyncio
import bisect
import json
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))

import world as w  # noqa: E402

KEY = 'key-of-mill'
RATE, BURST = 40, 20
WINDOW, OVERAGE, SLACK = 5, 0.1, 20
ALLOWED = (RATE * WINDOW + BURST) * (1 + OVERAGE) + SLACK
# Requests a second that the clients of the tenant send to the entries before,
# and to the one that is added.
ASKED = 60
SECONDS = 20
QUOTA_BOUNDS = [
    'StrictRevocation=false', 'RevokeS=5', 'QuotaWindowS=5',
    'QuotaOverage=0.1', 'QuotaSlack=20',
]


class Fleet(w.World):
    stale = ()
    corrected = False

    def settings(self, name, zone, host):
        document = super().settings(name, zone, host)
        document['Bounds'] = w.BOUNDS + QUOTA_BOUNDS
        document['Contracts'] = [*document['Contracts'], 'tenants', 'quota']
        if name == self.entries[-1][0]:
            document['Bootstrap'] = False
            if w.TROUBLE and not self.corrected:
                document['Seeds'] = [
                    f'{host}:{self.ports["Control"]}' for host in self.stale
                ]
        return document


class Server(w.Server):
    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.run_at = {}

    async def run(self, reader, writer, method, target, headers, body):
        if headers.get('tenant') == 'mill':
            self.run_at[headers['request-id']] = time.monotonic()
        return await super().run(reader, writer, method, target, headers, body)


def most_in_window(times):
    """Most requests that were sent and arrived within one window."""
    best = 0
    times = sorted(times)
    for start, _ in times:
        first = bisect.bisect_left(times, (start, 0))
        inside = sum(
            1 for _, arrived in times[first:] if arrived <= start + WINDOW
        )
        best = max(best, inside)
    return best


class Case:
    def __init__(self, folder):
        zones = {'one-a': 'one', 'one-b': 'one'}
        self.world = Fleet(folder, zones, entries_per_zone=2)
        self.world.stale = w.free_hosts(3, [self.world.ports['Control']])
        taken = {host for _, _, host in self.world.entries}
        self.world.stale = [
            host.rsplit('.', 1)[0] + '.9' for host in self.world.stale
        ]
        assert not taken & set(self.world.stale)
        self.sent = {}
        self.answers = {}

    async def ask(self, host, port):
        trace = w.new_id()
        self.sent[trace] = time.monotonic()
        answer = await w.exchange(
            host, port,
            f'GET /b/{trace[-2:]} HTTP/1.1\r\nHost: {w.HOST}\r\n'
            f'Request-Id: {trace}\r\nDeadline-Ms: 3000\r\n'
            f'Credential: {KEY}\r\nConnection: close\r\n\r\n'.encode(), 5,
        )
        counts = self.answers.setdefault(host, {})
        counts[answer.status] = counts.get(answer.status, 0) + 1
        self.world.record.note(
            'request', id=trace, entry=host, status=answer.status
        )

    async def clients(self, hosts, ends):
        port = self.world.ports['Front']
        tasks = set()
        number = 0
        began = time.monotonic()
        while time.monotonic() < ends:
            host = hosts[number % len(hosts)]
            task = asyncio.ensure_future(self.ask(host, port))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            number += 1
            await asyncio.sleep(
                max(0, began + number / ASKED - time.monotonic())
            )
        await asyncio.gather(*tasks)

    async def play(self):
        world = self.world
        world.start_store()
        servers = [
            await Server(world, 'desk', zone, work=0.05).open()
            for zone in (*world.zones, *world.zones, *world.zones)
        ]
        for server in servers:
            world.add_server(server)
        document = w.configuration(
            7, [w.route('b', '/b/', 'safe', 'desk')], ['desk']
        )
        document['Tenants'] = {
            'Columns': ['Name', 'ApiKeys', 'Priority', 'RatePerS', 'Burst'],
            'Rows': [
                ['mill', [KEY], 1, RATE, BURST],
                ['yard', ['key-of-yard'], 1, RATE, BURST],
            ],
        }
        world.create('config', 'main', document)
        added = world.entries[-1]
        for entry in world.entries[:-1]:
            world.start_entry(*entry)
        await asyncio.sleep(4)
        world.start_entry(*added)
        await world.until_ready()
        # The settings file is put right, and the process told so.
        world.corrected = True
        path = world.folder / f'{added[0]}.json'
        path.write_text(json.dumps(world.settings(*added)))
        world.processes[added[0]].send_signal(signal.SIGHUP)
        world.record.note('settings-corrected', entry=added[0])
        # A while beyond StableWindowS, in which the added one may be found.
        await asyncio.sleep(8)
        directory = await w.exchange(
            added[2], world.ports['Directory'],
            f'GET /-/resolve?Name={w.HOST}&Region=one&Zone={added[1]} '
            'HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'.encode(), 2,
        )
        world.record.note('directory', of=added[0], body=directory.body.decode())
        ends = time.monotonic() + SECONDS
        old = [host for _, _, host in world.entries[:-1]]
        await asyncio.gather(
            self.clients(old, ends), self.clients([added[2]], ends)
        )
        times = [
            (self.sent[trace], at)
            for server in servers
            for trace, at in server.run_at.items()
        ]
        for server in servers:
            for trace in server.run_at:
                world.record.note('run', id=trace, server=server.name)
        most = most_in_window(times)
        world.record.note(
            'judged', most=most, allowed=ALLOWED, answers=self.answers
        )
        print(
            f'the tenant sent {len(self.sent)}; most that ran in '
            f'{WINDOW} s: {most}, allowed {ALLOWED:.0f}; the directory of the '
            f'added machine: {directory.body.decode()}'
        )
        return most > ALLOWED


async def play(folder):
    case = Case(folder)
    try:
        return await case.play()
    finally:
        case.world.close()


if __name__ == '__main__':
    w.main(play, FOLDER)
