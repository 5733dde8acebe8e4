"""A request hidden in the body of another one, by a header of the caller."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))

import world as w  # noqa: E402

# A body above 65,536 bytes is passed on while it arrives.
BODY_BYTES = 70_000
TIMES = 5


def hidden(trace):
    """A request as bytes of a body, filled up with empty lines."""
    text = (
        f'DELETE /b/hidden HTTP/1.1\r\nHost: {w.HOST}\r\n'
        f'Request-Id: {trace}\r\nDeadline-Ms: 3000\r\n\r\n'
    ).encode()
    return text + b'\r\n' * ((BODY_BYTES - len(text)) // 2)


class Case:
    def __init__(self, folder):
        self.world = w.World(folder, {'one-a': 'one', 'one-b': 'one'})

    async def play(self):
        world = self.world
        world.start_store()
        servers = [
            await w.Server(world, 'desk', zone, work=0.05).open()
            for zone in world.zones
        ]
        for server in servers:
            world.add_server(server)
        world.create(
            'config', 'main',
            w.configuration(7, [w.route('a', '/a/', 'unsafe', 'desk')], ['desk']),
        )
        world.start_entries()
        await world.until_ready()
        sent, inside, answered = set(), set(), 0
        for number in range(TIMES):
            host, port = world.front(number % 2)
            trace, inner = w.new_id(), w.new_id()
            body = hidden(inner)
            # The caller names a header of the message as one of the connection.
            options = 'content-length' if w.TROUBLE else 'keep-alive'
            answer = await w.exchange(
                host, port,
                f'DELETE /a/{number} HTTP/1.1\r\nHost: {w.HOST}\r\n'
                f'Request-Id: {trace}\r\nDeadline-Ms: 3000\r\n'
                f'Connection: {options}\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'.encode() + body, 5,
            )
            sent.add(trace)
            inside.add(inner)
            answered += answer.status == 200
            world.record.note(
                'sent', id=trace, hidden=inner, status=answer.status,
                end=answer.end.replace(' ', '-'),
            )
        await asyncio.sleep(1)
        runs = {}
        for server in servers:
            for trace, count in server.runs.items():
                runs[trace] = count
                kind = 'sent' if trace in sent else 'HIDDEN'
                world.record.note(
                    'run', id=trace, server=server.name, times=count, kind=kind
                )
        unasked = [trace for trace in runs if trace not in sent]
        print(
            f'sent {len(sent)}, answered 200 {answered}; requests run whose '
            f'id no client sent: {len(unasked)}'
        )
        return bool(unasked)


async def play(folder):
    case = Case(folder)
    try:
        return await case.play()
    finally:
        case.world.close()


if __name__ == '__main__':
    w.main(play, FOLDER)
