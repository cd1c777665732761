"""The upstreams that this VM owns, kept in step with documents and members."""

import logging
from collections.abc import Callable
from random import Random

import attrs
import trio

from burdocksill.documents.models import ServiceDocument, Upstream
from burdocksill.documents.store import DocumentStore
from burdocksill.flows.cookie import EPOCH_BYTES, name_tag
from burdocksill.membership.protocols import MemberView
from burdocksill.ownership.owned import OwnedUpstream
from burdocksill.ownership.rendezvous import owner_of
from burdocksill.upstreams.messages import UpstreamHint

logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class OwnedKey:
    """Name an upstream of a service."""

    service: str
    upstream_tag: bytes


@attrs.define(kw_only=True)
class OwnerTable:
    """Take and release upstreams as documents and members change."""

    members: MemberView
    store: DocumentStore
    rng: Random
    nursery: trio.Nursery
    # Makes an owned upstream with the epoch that is given.
    build: Callable[[ServiceDocument, Upstream, bytes], OwnedUpstream]
    owned: dict[OwnedKey, OwnedUpstream] = attrs.field(factory=dict)

    def find(self, service: str, upstream_tag: bytes) -> OwnedUpstream | None:
        """Return an upstream that this VM owns."""
        key = OwnedKey(service=service, upstream_tag=upstream_tag)
        return self.owned.get(key)

    def hints(self) -> tuple[UpstreamHint, ...]:
        """Return what others may know of the upstreams owned here."""
        return tuple(owned.hint() for owned in self.owned.values())

    def reconcile(self) -> None:
        """Take what has become ours and release what has not."""
        wanted = self.wanted()
        for key in [known for known in self.owned if known not in wanted]:
            self.release(key)
        for key, (document, upstream) in wanted.items():
            held = self.owned.get(key)
            if held is not None and held.upstream.address != upstream.address:
                self.release(key)
                held = None
            if held is None:
                self.take(key, document, upstream)
            else:
                held.document = document
                held.upstream = upstream

    def wanted(self) -> dict[OwnedKey, tuple[ServiceDocument, Upstream]]:
        """Return the upstreams for which this VM is the owner."""
        itself = self.members.itself
        live = self.members.live(itself.domain)
        found: dict[OwnedKey, tuple[ServiceDocument, Upstream]] = {}
        for document in self.store.services.values():
            for upstream in document.upstreams:
                if upstream.domain != itself.domain:
                    continue
                subject = f'{document.service}/{upstream.name}'
                if owner_of(live, subject) == itself:
                    key = OwnedKey(
                        service=document.service,
                        upstream_tag=name_tag(upstream.name),
                    )
                    found[key] = (document, upstream)
        return found

    def take(
        self,
        key: OwnedKey,
        document: ServiceDocument,
        upstream: Upstream,
    ) -> None:
        """Own an upstream under a fresh epoch."""
        epoch = self.rng.randbytes(EPOCH_BYTES)
        owned = self.build(document, upstream, epoch)
        self.owned[key] = owned
        self.nursery.start_soon(owned.run)
        logger.info('owner of upstream', extra={'upstream': upstream.name})

    def release(self, key: OwnedKey) -> None:
        """Give an upstream up; its epoch is closed for good."""
        owned = self.owned.pop(key)
        owned.scope.cancel()
        logger.info(
            'released upstream',
            extra={'upstream': owned.upstream.name},
        )
