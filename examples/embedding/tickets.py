"""A request that must run once, whichever instance receives it."""

from worksrail import Incarnation, KeyMemory, Ticket, TicketSigner


def receive(own: Incarnation, memory: KeyMemory, ticket: Ticket, key: str) -> str:
    if ticket.owner != own:
        return f'pass it to {ticket.owner.label}'
    return memory.claim(key, wall=1).name


def main() -> None:
    signer = TicketSigner([b'a secret that all instances share'])
    ann, bob = Incarnation('ann', 1), Incarnation('bob', 1)
    text = signer.sign(Ticket(ann, 'orders', expires=30))
    ticket = signer.verify(text)
    print('forged:', signer.verify('AAAA' + text[4:]).name)
    memory = KeyMemory(limit=1000, retention=40)
    print('at bob:', receive(bob, KeyMemory(1000, 40), ticket, 'order-7'))
    print('at ann:', receive(ann, memory, ticket, 'order-7'))
    memory.finish('order-7', executed=True)
    print('again:', receive(ann, memory, ticket, 'order-7'))
    print('after a restart:', receive(Incarnation('ann', 2), memory, ticket, 'x'))


if __name__ == '__main__':
    main()
