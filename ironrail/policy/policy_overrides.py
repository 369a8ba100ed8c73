"""Overrides set by operators for all routers: drained zones, tenant rates, order of shedding."""

from __future__ import annotations

from dataclasses import dataclass

from ironrail.policy.events import PolicyOverridesChanged
from ironrail.policy.settings import Settings

TENANT_BURST_SECONDS = 1.0  # a burst may have as many requests as the rate allows in this time


@dataclass(slots=True)
class TokenBucket:
    """The requests that a tenant may still send under its rate."""

    tokens: float  # requests
    refilled_at: float  # seconds


class PolicyOverrides:
    """The overrides in force, and the token bucket of each tenant that has a rate."""

    def __init__(self, settings: Settings) -> None:
        self._router_count = settings.router_count
        self.current = PolicyOverridesChanged()
        self._buckets: dict[str, TokenBucket] = {}  # by tenant

    def update(self, overrides: PolicyOverridesChanged) -> None:
        """Apply new overrides. Buckets of tenants that keep a rate stay: a change refills none."""
        self.current = overrides
        self._buckets = {
            tenant: bucket
            for tenant, bucket in self._buckets.items()
            if tenant in overrides.tenant_rates
        }

    def is_drained(self, zone: str) -> bool:
        """Return whether the servers in a zone get no new attempts."""
        return zone in self.current.drained_zones

    def retry_ratio(self, request_class: str) -> float:
        """Return the fraction of the retry budget that a class may use."""
        return self.current.retry_ratios.get(request_class, 1.0)

    def is_shed(self, request_class: str, excess: float) -> bool | None:
        """Return whether a class is shed at this excess load (0 to 1); None without an override."""
        threshold = self.current.shed_thresholds.get(request_class)
        if threshold is None:
            return None
        return excess > 0.0 and excess >= threshold

    def exceeds_tenant_rate(self, now: float, tenant: str) -> bool:
        """Return whether a request exceeds its tenant's rate; if not, it takes a token.

        A rate holds for all routers together, and each allows an equal part of it. If a tenant's
        traffic is uneven it gets less than its rate, never more.
        """
        rate = self.current.tenant_rates.get(tenant)
        if rate is None:
            return False
        refill_rate = rate / self._router_count
        max_tokens = max(1.0, refill_rate * TENANT_BURST_SECONDS) if rate > 0 else 0.0
        bucket = self._buckets.setdefault(tenant, TokenBucket(max_tokens, now))
        earned = (now - bucket.refilled_at) * refill_rate
        bucket.tokens = min(max_tokens, bucket.tokens + earned)
        bucket.refilled_at = now
        if bucket.tokens < 1.0:
            return True
        bucket.tokens -= 1
        return False
