"""What a VM tells operators, in the form that the admin interface sends."""

import enum

import attrs


class UpstreamState(enum.StrEnum):
    """Name what an owner knows of its upstream."""

    CONNECTED = 'connected'
    UNREACHABLE = 'unreachable'
    # Fell silent or sheds: nothing is admitted for a moment.
    PAUSED = 'paused'
    COLD = 'cold'
    LEAVING = 'leaving'
    DOMAIN_OUT = 'domain-out'


@attrs.frozen(kw_only=True)
class MemberStatus:
    """Hold what a VM believes of another."""

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
    # How many requests may run at once now; at most the slots.
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
    """Hold a failure domain that operators took out, and why."""

    domain: str
    reason: str
    revision: int


@attrs.frozen(kw_only=True)
class RefusalStatus:
    """Count answers that said why a request failed, in the last minute."""

    service: str
    verdict: str
    reason: str
    count: int


@attrs.frozen(kw_only=True)
class NodeStatus:
    """Hold what one VM knows, typed so that scripts can rely on it."""

    name: str
    domain: str
    version: str
    serving: bool
    quorate: bool = True
    admin_port: int = 0
    # False when this VM asked the platform last and got no answer.
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
    """Say whether a VM serves."""

    serving: bool


@attrs.frozen(kw_only=True)
class DecisionLine:
    """Hold one decision as an explanation shows it."""

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
    """Hold what a cookie says, with names where this VM knows them."""

    service: str
    flow: str
    upstream: str
    owner: str
    epoch: str
    age: str
    issued: int


@attrs.frozen(kw_only=True)
class Explanation:
    """Hold what one VM remembers of a flow or a request."""

    node: str
    cookie: CookieLine | None = None
    decisions: tuple[DecisionLine, ...] = ()


@attrs.frozen(kw_only=True)
class Problem:
    """Hold an error of the admin interface."""

    code: str
    message: str
    hint: str = ''
