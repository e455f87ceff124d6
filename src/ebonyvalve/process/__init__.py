"""What lives for the process.

Two daemons use this package: ``process.daemon`` (cells, shards and fencing tokens; ``site``,
``cell``, ``lease``, ``limit``, ``ownership``) and ``platform.daemon`` (ledgers of key ranges;
``node``, ``keyspace``, ``load``).
"""
