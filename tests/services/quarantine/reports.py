"""Reports of terminations under two subjects, for tests of the quarantine."""

from hopstep.domain.quarantine.crashes import Crash, RequestCrashes, RequestIdentity

FATAL = b"fatal"
OTHER = b"other"
REQUEST = RequestIdentity(FATAL)


def report(fingerprint, *incarnations, cleared=(), seen_by="n2"):
    return RequestCrashes(
        fingerprint, tuple(Crash(incarnation, seen_by) for incarnation in incarnations), cleared
    )
