"""Admission control: is a new request taken on at all, or rejected before it costs anything?

A rejection here means that the fleet answers too few requests in time (load shedding), or that the
request's tenant is beyond its rate.
"""

from __future__ import annotations

from ironrail.policy.outlier_detection import OutlierDetection
from ironrail.policy.policy_overrides import PolicyOverrides
from ironrail.policy.state import PendingRequest


class AdmissionControl:
    """Decides on new requests."""

    def __init__(
        self, outlier_detection: OutlierDetection, policy_overrides: PolicyOverrides
    ) -> None:
        self._outlier_detection = outlier_detection
        self._policy_overrides = policy_overrides

    def admits(self, now: float, pending: PendingRequest) -> bool:
        """Return whether a new request is admitted; only then it counts against its tenant's rate.

        What goes to the origin alone is not shed: the load of the caches says nothing of it.
        """
        sheds = self._outlier_detection.sheds
        if not pending.needs_origin and sheds(pending.request_class.name):
            return False
        return not self._policy_overrides.exceeds(now, pending.request.tenant)
