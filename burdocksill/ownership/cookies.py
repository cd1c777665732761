"""Issuing of cookies for the current epoch of an upstream."""

import attrs

from burdocksill.flows.cookie import (
    Cookie,
    CookieSealer,
    address_tag,
    name_tag,
)
from burdocksill.membership.protocols import Member
from burdocksill.network.protocols import Address, WallClock
from burdocksill.ownership.epochs import EpochHolder


@attrs.define(kw_only=True)
class CookieIssuer:
    """Issue cookies that route the packets of a flow to this owner."""

    service: str
    upstream: str
    owner: Member
    epochs: EpochHolder
    sealer: CookieSealer
    clock: WallClock

    def issue(self, flow_id: bytes, caller: Address) -> bytes:
        """Return a cookie of the current epoch, empty without an epoch."""
        if self.epochs.current is None:
            return b''
        cookie = Cookie(
            upstream_tag=name_tag(self.upstream),
            owner_tag=self.owner.tag,
            epoch=self.epochs.current.epoch,
            flow_id=flow_id,
            issued=int(self.clock.now()),
            address_tag=address_tag(caller),
        )
        return self.sealer.seal(service=self.service, cookie=cookie)
