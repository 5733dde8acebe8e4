"""Paths with bytes beyond ASCII: what servers run."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))

import world as w  # noqa: E402

# The same names, as bytes of UTF-8 and percent-encoded.
TARGETS = [
    ('/b/algodón'.encode(), b'/b/algod%C3%B3n'),
    ('/b/tela?color=añil'.encode(), b'/b/tela?color=a%C3%B1il'),
    ('/b/Cañas/2'.encode(), b'/b/Ca%C3%B1as/2'),
]


class Server(w.Server):
    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.targets = {}

    async def run(self, reader, writer, method, target, headers, body):
        self.targets[headers['request-id']] = target.encode('latin-1')
        return await super().run(reader, writer, method, target, headers, body)


class Case:
    def __init__(self, folder):
        self.world = w.World(folder, {'one-a': 'one', 'one-b': 'one'})

    async def play(self):
        world = self.world
        world.start_store()
        servers = [
            await Server(world, 'desk', zone, work=0.05).open()
            for zone in world.zones
        ]
        for server in servers:
            world.add_server(server)
        world.create(
            'config', 'main',
            w.configuration(7, [w.route('b', '/b/', 'safe', 'desk')], ['desk']),
        )
        world.start_entries()
        await world.until_ready()
        sent = {}
        for number, (plain, encoded) in enumerate(TARGETS * 2):
            host, port = world.front(number % 2)
            trace = w.new_id()
            sent[trace] = plain if w.TROUBLE else encoded
            answer = await w.exchange(
                host, port,
                b'GET ' + sent[trace] + b' HTTP/1.1\r\n' + (
                    f'Host: {w.HOST}\r\nRequest-Id: {trace}\r\n'
                    'Deadline-Ms: 3000\r\n\r\n'
                ).encode(), 5,
            )
            world.record.note(
                'sent', id=trace, target=sent[trace], status=answer.status
            )
        changed = 0
        for server in servers:
            for trace, target in server.targets.items():
                changed += target != sent[trace]
                world.record.note('run', id=trace, target=target)
        print(f'sent {len(sent)}, run with another path or query: {changed}')
        return bool(changed)


async def play(folder):
    case = Case(folder)
    try:
        return await case.play()
    finally:
        case.world.close()


if __name__ == '__main__':
    w.main(play, FOLDER)
