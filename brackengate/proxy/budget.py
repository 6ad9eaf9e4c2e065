"""One proxy's share of the retry budget that all proxies have in common.  Pure.

The limit (`BUDGET` in the rules): over all proxies, in each window, a service's upstreams get no more
attempts beyond each request's first than `RetryRatio` of the requests for it plus `RetrySlack`.  Proxies do
not coordinate on each request, so each keeps to a share that holds whatever the others do:

- a request earns a part of the ratio, which is spent at this proxy only;
- the savings are limited to a part of the slack divided by the number of known proxies, and a process starts
  without any: one that restarts again and again spends no more than one that keeps running.

So in any window a proxy spends at most its savings plus what that window's requests earned.  The rest of
ratio and slack is for the calls that repeated runs make: they count as repeats at the service that is called.
"""

from __future__ import annotations

from brackengate.interface import RetryBudget

PROXY_SHARE = 0.4  # of ratio and slack; the rest covers one and a half calls in each repeated run


def proxy_retry_budget(ratio: float, slack: float, proxies: int) -> RetryBudget:
    """The retry budget of one proxy.

    `proxies`: the known ones, with this one.  Even if there are twice as many that are not known yet, their
    savings together are within the slack.
    """
    return RetryBudget(PROXY_SHARE * ratio, PROXY_SHARE * slack / max(1, proxies))
