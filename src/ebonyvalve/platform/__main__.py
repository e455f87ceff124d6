"""Entry point of the daemon on the users' platform: ``python3 -m ebonyvalve.platform``."""

import signal

# Until the daemon receives signals, one that announces changed settings would end the process. The
# imports take most of this time. The settings are read again afterwards.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from ebonyvalve.platform import daemon  # noqa: E402

daemon.main()
