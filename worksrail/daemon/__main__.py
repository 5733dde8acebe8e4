"""``worksraild``, or ``python -m worksrail.daemon``: one entry instance."""

from importlib import import_module

from worksrail.daemon._signals import hold_first_signals


def main() -> None:
    """Block signals first, then import the daemon and run it."""
    hold_first_signals()
    import_module('worksrail.daemon.main').main()


if __name__ == '__main__':
    main()
