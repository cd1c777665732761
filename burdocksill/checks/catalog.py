"""All system checks, in the order in which they run."""

from typing import Final

from burdocksill.admin.checks import check_fleet
from burdocksill.checks.registry import RegisteredCheck
from burdocksill.conf.checks import check_settings
from burdocksill.documents.checks import check_documents
from burdocksill.platform.checks import check_platform

CHECKS: Final = (
    RegisteredCheck(tag='settings', check=check_settings),
    RegisteredCheck(tag='documents', check=check_documents),
    RegisteredCheck(tag='platform', check=check_platform),
    RegisteredCheck(tag='fleet', check=check_fleet),
)
TAGS: Final = tuple(entry.tag for entry in CHECKS)
