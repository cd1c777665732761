"""Errors of settings; `docs/reference/errors.md` lists them."""

from burdocksill.exceptions import BurdocksillError


class SettingInvalidError(BurdocksillError):
    """Name the setting, the wrong value and the cure."""

    code = 'burdocksill.E001'


class SettingMissingError(SettingInvalidError):
    """Say that a setting without a default was not given."""

    code = 'burdocksill.E002'


class SettingAddressError(SettingInvalidError):
    """Say that a setting is no IP address with a port."""

    code = 'burdocksill.E003'


class SettingNameError(SettingInvalidError):
    """Say that a setting is no name that the platform can hold."""

    code = 'burdocksill.E004'


class SettingUrlError(SettingInvalidError):
    """Say that a setting is no URL of the platform."""

    code = 'burdocksill.E005'


class SettingChoiceError(SettingInvalidError):
    """Say that a setting is none of the values to choose from."""

    code = 'burdocksill.E006'


class SettingNumberError(SettingInvalidError):
    """Say that a setting is no number, or is out of its range."""

    code = 'burdocksill.E007'


class SettingKeysError(SettingInvalidError):
    """Say that a setting is no key ring, without showing it."""

    code = 'burdocksill.E011'


class SettingsClashError(SettingInvalidError):
    """Say that two settings cannot both hold."""

    code = 'burdocksill.E008'


class SettingsInvalidError(BurdocksillError):
    """Hold the errors of all wrong settings, so that one run shows all."""

    code = 'burdocksill.E009'

    def __init__(self, *, errors: tuple[SettingInvalidError, ...]) -> None:
        """Keep the errors in the order of the settings."""
        super().__init__(message=f'{len(errors)} settings are wrong')
        self.errors = errors

    def __str__(self) -> str:
        """Write one line for each wrong setting."""
        return '\n'.join(str(error) for error in self.errors)
