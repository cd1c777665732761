"""Errors of settings; `docs/reference/errors.md` lists them."""

from burdocksill.exceptions import BurdocksillError


class SettingInvalidError(BurdocksillError):
    """Report an invalid setting, with its value and a hint."""

    code = 'burdocksill.E001'


class SettingMissingError(SettingInvalidError):
    """Report that a setting without a default was not given."""

    code = 'burdocksill.E002'


class SettingAddressError(SettingInvalidError):
    """Report a setting that is not an IP address with a port."""

    code = 'burdocksill.E003'


class SettingNameError(SettingInvalidError):
    """Report a setting that is not a name that the platform can store."""

    code = 'burdocksill.E004'


class SettingUrlError(SettingInvalidError):
    """Report a setting that is not a URL of the platform."""

    code = 'burdocksill.E005'


class SettingChoiceError(SettingInvalidError):
    """Report a setting that is not one of the allowed values."""

    code = 'burdocksill.E006'


class SettingNumberError(SettingInvalidError):
    """Report a setting that is not a number or is out of range."""

    code = 'burdocksill.E007'


class SettingKeysError(SettingInvalidError):
    """Report a setting that is not a key ring, without its value."""

    code = 'burdocksill.E011'


class SettingsClashError(SettingInvalidError):
    """Report two settings that contradict each other."""

    code = 'burdocksill.E008'


class SettingsInvalidError(BurdocksillError):
    """Report all invalid settings together."""

    code = 'burdocksill.E009'

    def __init__(self, *, errors: tuple[SettingInvalidError, ...]) -> None:
        """Store the errors, in the order of the settings."""
        super().__init__(message=f'{len(errors)} settings are invalid')
        self.errors = errors

    def __str__(self) -> str:
        """Return one line for each invalid setting."""
        return '\n'.join(str(error) for error in self.errors)
