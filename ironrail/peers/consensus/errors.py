"""What can go wrong with a change of policy, each a type of its own."""

from __future__ import annotations

from typing import ClassVar

from ironrail.errors import ExitCode, InputError, IronrailError, RejectedError


class PolicyError(InputError):
    """A document that is no policy, or none for this router; `where` names the field."""

    advice: ClassVar[str] = (
        "Mend the field that is named, give the document a new version and propose it again"
    )


class RecordFormError(InputError):
    """A record that was kept whole, and is none of this version's: the voter starts without it."""

    advice: ClassVar[str] = (
        "Move the file away and start again: a voter without a record asks the others where things stand"
    )


class VotersError(InputError):
    """Voters that can't be: not 3, 5 or 7, one twice, or a router that isn't there."""

    advice: ClassVar[str] = "Name 3, 5 or 7 different routers by their numbers among `peers`"


class VersionError(RejectedError):
    """The version is not above every one that was ever tried."""

    advice: ClassVar[str] = "Give the document a version above the highest one that was tried"


class BusyError(RejectedError):
    """Another change is under way."""

    advice: ClassVar[str] = "Wait until the other change has ended, then propose this one again"


class UnreadyError(RejectedError):
    """This router doesn't know yet where the register stands."""

    advice: ClassVar[str] = "Ask a router that decides by a policy, or wait until this one does"


class RefusedByError(RejectedError):
    """A router can't work by the document, so that no router does."""

    advice: ClassVar[str] = (
        "Mend the document for the router that is named, or that router, and propose again"
    )


class WithdrawnError(RejectedError):
    """The change was taken back, by another router or by the voters."""

    advice: ClassVar[str] = "Look why its proposer was slow, then propose the document under a new version"


class NoMajorityError(RejectedError):
    """The voters didn't answer, or some router didn't acknowledge, by the deadline; none goes on with it."""

    advice: ClassVar[str] = (
        "See that a majority of voters and the routers named are reachable, then propose again"
    )


class OpenError(IronrailError):
    """The last step was sent out and nobody tells whether it was taken; it is the same for all."""

    exit_code: ClassVar[int] = ExitCode.NO_VERDICT
    advice: ClassVar[str] = "Ask for the policy in force once a majority of voters is reachable; don't guess"


class LostError(IronrailError):
    """More voters lost their memory than can be: the register decides nothing any more."""

    exit_code: ClassVar[int] = ExitCode.NO_VERDICT
    advice: ClassVar[str] = "Found it anew by hand, with an epoch never used and the policy that is to hold"


class KeepingError(IronrailError):
    """This voter can't keep its record and doesn't vote until it can; it serves on."""

    advice: ClassVar[str] = "Make room on the disk or mend it; the voter takes up again by itself"


class LeaseError(IronrailError):
    """This router holds no lease, and acts by the floor."""

    advice: ClassVar[str] = "See whether it reaches a majority of the voters"
