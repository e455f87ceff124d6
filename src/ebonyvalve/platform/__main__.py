"""Entry point of the daemon on the users' platform: ``python3 -m ebonyvalve.platform``."""

from ebonyvalve.platform import daemon

daemon.main()
