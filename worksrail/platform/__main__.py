"""``python -m worksrail.platform``: one entry on the users' platform."""

import gc
from importlib import import_module

from worksrail.daemon._signals import hold_first_signals

if __name__ == '__main__':
    hold_first_signals()
    # Nothing is garbage while modules are loaded; to look for it takes a fifth
    # of the processor time until an entry serves again (0.24 s of a core with,
    # 0.19 s without, second lowest of twelve starts).
    gc.disable()
    import_module('worksrail.platform._entry').run()
