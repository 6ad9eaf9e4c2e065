"""The part that one pilot has of the budget of further tries, which all pilots share.  Pure.

The bound (`BUDGET` in the rules): over all pilots, in each window, a service's upstreams get no more arrivals
beyond each request's first than `RetryRatio` of the requests for it and `RetrySlack`.  Nobody is asked at a
request, so each pilot keeps to a part that holds whatever the others do:

- a request earns a part of the ratio, and spends it here only;
- what may be saved up is a part of the slack for each pilot known, and a process starts with none saved:
  one that is restarted again and again spends no more than one that stays.

In any window a pilot then spends at most what it had saved and what that window's requests earned.  The rest
of both is for the calls that repeated runs make: those count as repeats at the service that is called.
"""

from __future__ import annotations

from brackengate.interface import RetryBudget

PROXY_SHARE = 0.4  # of ratio and slack; what is left bears one call and a half in each repeated run


def proxy_retry_budget(ratio: float, slack: float, proxies: int) -> RetryBudget:
    """`pilots`: known by now, this one included.  If twice as many come before the news of them, what they
    save up together is still within the slack."""
    return RetryBudget(PROXY_SHARE * ratio, PROXY_SHARE * slack / max(1, proxies))
