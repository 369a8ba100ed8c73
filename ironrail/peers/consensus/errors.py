"""Errors of the consensus, each with a type of its own."""

from __future__ import annotations

from typing import ClassVar

from ironrail.errors import ExitCode, InputError, IronrailError, RejectedError


class PolicyError(InputError):
    """The document is not a valid policy, or not one that this router supports.

    `location` names the field.
    """

    advice: ClassVar[str] = (
        "Mend the field that is named, give the document a new version and propose it again"
    )


class RecordFormError(InputError):
    """The record is intact but not in this version's format; the voter starts without it."""

    advice: ClassVar[str] = (
        "Move the file away and start again:"
        " a voter without a record asks the others where things stand"
    )


class VotersError(InputError):
    """Not a possible set of voters: wrong number, a duplicate, or a router that does not exist."""

    advice: ClassVar[str] = "Name 3, 5 or 7 different routers by their numbers among `peers`"


class VersionError(RejectedError):
    """The version is not above the highest version that was ever proposed."""

    advice: ClassVar[str] = "Give the document a version above the highest one that was tried"


class BusyError(RejectedError):
    """Another change is under way."""

    advice: ClassVar[str] = "Wait until the other change has ended, then propose this one again"


class UnreadyError(RejectedError):
    """This router does not know the current state of the register."""

    advice: ClassVar[str] = "Ask a router that decides by a policy, or wait until this one does"


class RefusedByError(RejectedError):
    """A router cannot act on the document, so no router does."""

    advice: ClassVar[str] = (
        "Mend the document for the router that is named, or that router, and propose again"
    )


class WithdrawnError(RejectedError):
    """The change was withdrawn by another router or by the voters."""

    advice: ClassVar[str] = (
        "Look why its proposer was slow, then propose the document under a new version"
    )


class NoMajorityError(RejectedError):
    """The deadline passed before the voters answered or all routers acknowledged.

    The change does not take effect anywhere.
    """

    advice: ClassVar[str] = (
        "See that a majority of voters and the routers named are reachable, then propose again"
    )


class OpenError(IronrailError):
    """The final step was sent, but its outcome is unknown; it is the same for all routers."""

    exit_code: ClassVar[int] = ExitCode.NO_VERDICT
    advice: ClassVar[str] = (
        "Ask for the policy in force once a majority of voters is reachable; don't guess"
    )


class LostError(IronrailError):
    """More voters lost their state than the register tolerates: it decides nothing any more."""

    exit_code: ClassVar[int] = ExitCode.NO_VERDICT
    advice: ClassVar[str] = (
        "Found it anew by hand, with an epoch never used and the policy that is to hold"
    )


class KeepingError(IronrailError):
    """This voter cannot write its record and does not vote until it can.

    The router still serves clients.
    """

    advice: ClassVar[str] = "Make room on the disk or mend it; the voter takes up again by itself"


class LeaseError(IronrailError):
    """This router holds no lease and acts on the fallback policy."""

    advice: ClassVar[str] = "See whether it reaches a majority of the voters"
