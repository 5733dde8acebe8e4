"""An instance receives heartbeats of a peer and detects when they stop."""

from worksrail import CoreSettings, Endpoints, Incarnation, Membership, Place
from worksrail.core.messages import Heartbeat, MemberRecord, MemberStatus


def record(counter: int, life: int = 1) -> MemberRecord:
    address = '10.0.0.2:8000'
    return MemberRecord(
        Incarnation('bob', life),
        counter,
        Place('north-a', 'north'),
        Endpoints(address, address, address, address),
        MemberStatus.READY,
    )


def main() -> None:
    settings = CoreSettings()
    members = Membership(Incarnation('ann', 1), 'north')
    members.merge_heartbeat(Heartbeat(record(counter=1)), now=0)
    print('at 1 s:', members.liveness('bob', 1, settings).value)
    print('at 4 s:', members.liveness('bob', 4, settings).value)
    print('at 9 s:', members.liveness('bob', 9, settings).value)
    members.merge_heartbeat(Heartbeat(record(counter=1, life=2)), now=9)
    print('reborn:', members.liveness('bob', 9, settings).value)
    late = members.merge_heartbeat(Heartbeat(record(counter=7)), now=10)
    print('news in a late heartbeat of the old life:', len(late))


if __name__ == '__main__':
    main()
