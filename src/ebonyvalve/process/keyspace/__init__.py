"""Assignment of key ranges to targets: ledger, leases and grants with fencing tokens."""
