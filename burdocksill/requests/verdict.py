"""Verdicts on whether a request has run, and reasons for refusals."""

import enum


class Verdict(enum.StrEnum):
    """List what may be known of a request's execution at the upstream."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    MAY_HAVE_RUN = 'may-have-run'


class Reason(enum.StrEnum):
    """List the reasons for which a request is refused or fails."""

    COOKIE_NEEDED = 'cookie-needed'
    COOKIE_INVALID = 'cookie-invalid'
    COOKIE_EXPIRED = 'cookie-expired'
    SERVICE_UNKNOWN = 'service-unknown'
    NO_UPSTREAM = 'no-upstream'
    OWNER_LOST = 'owner-lost'
    EPOCH_CLOSED = 'epoch-closed'
    OVERLOADED = 'overloaded'
    UPSTREAM_COLD = 'upstream-cold'
    UPSTREAM_SHED = 'upstream-shed'
    UPSTREAM_LEAVING = 'upstream-leaving'
    UPSTREAM_DOWN = 'upstream-down'
    UPSTREAM_LOST = 'upstream-lost'
    DEADLINE_PASSED = 'deadline-passed'
    DOMAIN_OUT = 'domain-out'
    CANCELLED = 'cancelled'
    STOPPING = 'stopping'
    BAD_REQUEST = 'bad-request'
    ANSWER_TOO_LARGE = 'answer-too-large'
    # The request ran, but the remaining blocks of its answer are lost.
    ANSWER_LOST = 'answer-lost'
    BODY_INCOMPLETE = 'body-incomplete'
    BODY_TOO_LARGE = 'body-too-large'
    ADDRESS_CHANGED = 'address-changed'
    FEED_ENDED = 'feed-ended'
    FEED_REFUSED = 'feed-refused'
    ANSWER_DROPPED = 'answer-dropped'
    OWNER_FENCED = 'owner-fenced'
    WINDOW_FULL = 'window-full'
    TOKEN_REUSED = 'token-reused'
    INTERNAL_FAULT = 'internal-fault'
