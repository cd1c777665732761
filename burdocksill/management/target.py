"""Connections of an operator's command to the platform and entry VMs."""

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
    """Return a client of the platform at a URL."""
    return EtcdPlatform(endpoint=url)


@attrs.frozen(kw_only=True)
class Target:
    """Hold the addresses that a command uses and their clients."""

    platform_url: str = ''
    entries: tuple[Address, ...] = ()
    connect: Callable[[str], Platform] = open_etcd
    admin: AdminClient = attrs.field(factory=AdminClient)

    def platform(self) -> Platform:
        """Return a client of the platform.

        Raise SettingMissingError when no URL was given.
        """
        if not self.platform_url:
            raise SettingMissingError(
                message='--platform is not given',
                hint='give --platform or set BURDOCKSILL_PLATFORM',
            )
        return self.connect(parse_url('--platform', self.platform_url))

    async def entry_names(self) -> dict[Address, str]:
        """Return the admin addresses and names of VMs to query first.

        They come from --entry, or else from the platform's list of VMs. While
        the platform is down, one VM given by --entry is enough, as it reports
        the others.
        """
        if self.entries:
            return {address: str(address) for address in self.entries}
        try:
            records = await self.platform().list_vms()
        except BurdocksillError as error:
            raise AdminUnreachableError(
                message=f'no VM to query is known ({error.message})',
                hint='give any VM: burdocksill --entry HOST:PORT',
            ) from error
        return {
            Address(record.host, record.admin_port): record.name
            for record in records
            if record.admin_port
        }

    async def fleet(self) -> FleetStatus:
        """Return the status of every VM that can be found."""
        return await self.admin.fleet(await self.entry_names())
