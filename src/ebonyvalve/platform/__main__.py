"""Starts the daemon on the users' platform."""

from ebonyvalve.platform import daemon

daemon.main()
