"""Admission control: whether a new request is accepted, or rejected before it causes any work.

A request is rejected here if the fleet answers too few requests in time (load shedding), or if its
tenant exceeds its rate.
"""

from __future__ import annotations

from ironrail.policy.load_shedding import LoadShedding
from ironrail.policy.policy_overrides import PolicyOverrides
from ironrail.policy.state import PendingRequest


class AdmissionControl:
    """Decides on new requests."""

    def __init__(self, load_shedding: LoadShedding, policy_overrides: PolicyOverrides) -> None:
        self._load_shedding = load_shedding
        self._policy_overrides = policy_overrides

    def admits(self, now: float, pending: PendingRequest) -> bool:
        """Return whether a new request is admitted; only then it counts against its tenant's rate.

        Requests that only the origin serves are not shed, as the load of the caches does not
        concern them.
        """
        class_name = pending.request_class.name
        if not pending.needs_origin and self._load_shedding.should_shed(class_name):
            return False
        return not self._policy_overrides.exceeds_tenant_rate(now, pending.request.tenant)
