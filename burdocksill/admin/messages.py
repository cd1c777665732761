"""Messages of the admin interface."""

import enum

import attrs


class UpstreamState(enum.StrEnum):
    """Name the state of an upstream as its owner sees it."""

    CONNECTED = 'connected'
    UNREACHABLE = 'unreachable'
    # Nothing is admitted for a moment, after silence or shedding.
    PAUSED = 'paused'
    COLD = 'cold'
    LEAVING = 'leaving'
    DOMAIN_OUT = 'domain-out'


@attrs.frozen(kw_only=True)
class MemberStatus:
    """Hold a member's state as one VM sees it."""

    name: str
    domain: str
    state: str
    host: str


@attrs.frozen(kw_only=True)
class OwnedStatus:
    """Hold the state of an upstream that this VM owns."""

    service: str
    upstream: str
    domain: str
    address: str
    epoch: str
    tenure: str
    state: UpstreamState
    busy: int
    # Current limit of concurrent requests, at most `slots`.
    limit: int
    slots: int


@attrs.frozen(kw_only=True)
class RecordStatus:
    """Hold the revision at which a record is in force."""

    key: str
    revision: int


@attrs.frozen(kw_only=True)
class ServiceStatus:
    """Name a service that has a document in force."""

    service: str
    team: str
    upstreams: tuple[str, ...]
    revision: int


@attrs.frozen(kw_only=True)
class DomainStatus:
    """Hold a failure domain that is out of service, and why."""

    domain: str
    reason: str
    revision: int


@attrs.frozen(kw_only=True)
class RefusalStatus:
    """Hold the number of failed requests of one kind in the last minute."""

    service: str
    verdict: str
    reason: str
    count: int


@attrs.frozen(kw_only=True)
class NodeStatus:
    """Hold the state of one VM as /status reports it."""

    name: str
    domain: str
    version: str
    serving: bool
    quorate: bool = True
    admin_port: int = 0
    # False when this VM's latest call of the platform got no answer.
    platform_answers: bool = True
    key_id: int | None = None
    members: tuple[MemberStatus, ...] = ()
    owned: tuple[OwnedStatus, ...] = ()
    records: tuple[RecordStatus, ...] = ()
    services: tuple[ServiceStatus, ...] = ()
    domains_out: tuple[DomainStatus, ...] = ()
    refusals: tuple[RefusalStatus, ...] = ()

    def revision(self, key: str) -> int:
        """Return the revision at which a record is in force, 0 for none."""
        for record in self.records:
            if record.key == key:
                return record.revision
        return 0


@attrs.frozen(kw_only=True)
class Health:
    """Hold whether a VM serves callers."""

    serving: bool


@attrs.frozen(kw_only=True)
class DecisionLine:
    """Hold one decision of an explanation."""

    at: float
    node: str
    step: str
    service: str
    token: str
    flow: str
    upstream: str
    peer: str
    verdict: str
    reason: str


@attrs.frozen(kw_only=True)
class CookieLine:
    """Hold the content of a cookie, with names where this VM knows them."""

    service: str
    flow: str
    upstream: str
    owner: str
    epoch: str
    age: str
    issued: int


@attrs.frozen(kw_only=True)
class Explanation:
    """Hold one VM's recorded decisions on a flow or a request."""

    node: str
    cookie: CookieLine | None = None
    decisions: tuple[DecisionLine, ...] = ()


@attrs.frozen(kw_only=True)
class Problem:
    """Hold an error of the admin interface."""

    code: str
    message: str
    hint: str = ''
