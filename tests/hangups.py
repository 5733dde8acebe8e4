"""How tests start programs that get SIGHUP.

What a signal does to a process before its first line of code is inherited from
its starter.  Whatever started the tests may ignore SIGHUP, as ``nohup`` does, so
both kinds of starter here set its action to the default one.
"""

import signal


def take_hangups() -> None:
    """Let SIGHUP end a child until its program takes it: a careless starter."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))


def keep_hangups() -> None:
    """Let SIGHUP wait in a child until its program takes it.

    This is what ``docs/operators/starting.md`` asks of a starter that sends
    signals before an entry is ready.
    """
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
