"""Where an operator's command goes: the platform and the entry VMs."""

from collections.abc import Callable

import attrs

from burdocksill.admin.client import AdminClient, FleetStatus
from burdocksill.admin.exceptions import AdminUnreachableError
from burdocksill.conf.exceptions import SettingMissingError
from burdocksill.conf.readers import parse_url
from burdocksill.exceptions import BurdocksillError
from burdocksill.network.protocols import Address
from burdocksill.platform.etcd import EtcdPlatform
from burdocksill.platform.protocols import Platform


def open_etcd(url: str) -> Platform:
    """Make the client of the platform service."""
    return EtcdPlatform(endpoint=url)


@attrs.frozen(kw_only=True)
class Target:
    """Hold addresses as given, and how they are reached."""

    platform_url: str = ''
    entries: tuple[Address, ...] = ()
    connect: Callable[[str], Platform] = open_etcd
    admin: AdminClient = attrs.field(factory=AdminClient)

    def platform(self) -> Platform:
        """Return a client of the platform; raise when no URL was given."""
        if not self.platform_url:
            raise SettingMissingError(
                message='--platform is not given',
                hint='give --platform or set BURDOCKSILL_PLATFORM',
            )
        return self.connect(parse_url('--platform', self.platform_url))

    async def entry_names(self) -> dict[Address, str]:
        """Return admin addresses and names, as given or as listed.

        The list is the platform's; with the platform down an operator names
        any one VM with --entry, and that VM names the others.
        """
        if self.entries:
            return {address: str(address) for address in self.entries}
        try:
            records = await self.platform().list_vms()
        except BurdocksillError as error:
            raise AdminUnreachableError(
                message=f'no VM is known to ask ({error.message})',
                hint='name any VM: burdocksill --entry HOST:PORT',
            ) from error
        return {
            Address(record.host, record.admin_port): record.name
            for record in records
            if record.admin_port
        }

    async def fleet(self) -> FleetStatus:
        """Ask every VM that can be found."""
        return await self.admin.fleet(await self.entry_names())
