"""Applies the limits of client accounts in the configuration to the quotas of the node."""

import logging

from ebonyvalve.process import decision, identity
from ebonyvalve.process import node as node_module
from ebonyvalve.process.quota import exchange, limits
from ebonyvalve.version import traffic

log = logging.getLogger(__name__)


def list_limits(config: traffic.TrafficConfig) -> dict[identity.AccountId, limits.Limit]:
    """Return the limits of the accounts that have one.

    A burst without a rate limits nothing, and a missing burst allows none beyond the rate.

    :param config: the configuration.
    """
    return {
        name: limits.Limit(rate_per_s=account.rate_per_s, burst=account.burst)
        for name, account in config.accounts.items()
        if account.rate_per_s > 0
    }


async def follow_limits(
    node: node_module.Node, current: traffic.CurrentTraffic, quotas: exchange.Exchange
) -> None:
    """Apply the limits whenever a configuration changes them, until cancelled.

    :param node: the node.
    :param current: has the configuration in force.
    :param quotas: gets the limits.
    """
    applied: traffic.TrafficConfig | None = None
    while True:
        changed = node.changed
        config = current.traffic
        if config is not None and config is not applied:
            applied = config
            known = list_limits(config)
            if known != quotas.quota.account_limits:
                exchange.set_limits(quotas, known)
                decision.record(
                    log,
                    logging.INFO,
                    "quota-limits",
                    accounts=len(known),
                    config=config.version,
                    lenders=len(quotas.quota.ranks.zones),
                )
        await changed.wait()
