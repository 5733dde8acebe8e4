"""How tests start programs that get SIGHUP."""

import signal


def take_hangups() -> None:
    """Give SIGHUP its default action, in a child before its program starts.

    What the tests were started by may ignore it, as ``nohup`` does, and every
    child would inherit that: such runs say nothing of SIGHUP at the start.
    """
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
