"""Quotas of client accounts over all nodes: what nodes lend and borrow, and their messages."""
