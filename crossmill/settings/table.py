"""Checked access to the fields of a TOML table."""

import math
from typing import Any

from .model import Endpoint


class SettingsError(ValueError):
    """The settings can't be used; the text names the field."""


class Table:
    """A TOML table whose fields are read with checks that name them."""

    def __init__(self, data: Any, where: str) -> None:
        if not isinstance(data, dict):
            raise SettingsError(f"{where or 'file'}: a table is needed")
        self.data = data
        self.where = where

    def _name(self, field: str) -> str:
        return f"{self.where}.{field}" if self.where else field

    def table(self, field: str) -> "Table":
        """A table in a field."""
        return Table(self.data.get(field), self._name(field))

    def tables(self, field: str) -> list["Table"]:
        """A list of tables; none if the field is absent."""
        attempts = self.data.get(field, [])
        if not isinstance(attempts, list):
            raise SettingsError(f"{self._name(field)}: a list of tables is needed")
        return [Table(r, f"{self._name(field)}[{i}]") for i, r in enumerate(attempts)]

    def text(self, field: str) -> str:
        """A non-empty string."""
        value = self.data.get(field)
        if not isinstance(value, str) or not value:
            raise SettingsError(f"{self._name(field)}: a non-empty string is needed")
        return value

    def number(self, field: str, low: float, default: float | None = None) -> float:
        """A finite number of at least `low`."""
        value = self.data.get(field, default)
        ok = isinstance(value, int | float) and not isinstance(value, bool)
        if not ok or not math.isfinite(value) or value < low:
            raise SettingsError(f"{self._name(field)}: a number of at least {low:g} is needed")
        return float(value)

    def flag(self, field: str, default: bool) -> bool:
        """True or false."""
        value = self.data.get(field, default)
        if not isinstance(value, bool):
            raise SettingsError(f"{self._name(field)}: true or false is needed")
        return value

    def expect_only(self, *fields: str) -> None:
        """Refuses fields beyond these: in a file that an operator writes, a name that is not known
        is a mistake, and what it was to change would stay as it is.
        """
        for field in self.data:
            if field not in fields:
                raise SettingsError(
                    f"{self._name(field)}: not a field, those are {', '.join(fields)}"
                )

    def endpoint(self, field: str) -> Endpoint:
        """An address in the form HOST:PORT."""
        host, _, port = self.text(field).rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise SettingsError(f"{self._name(field)}: HOST:PORT is needed")
        return Endpoint(host, int(port))

    def texts(self, field: str) -> tuple[str, ...]:
        """A list of non-empty strings."""
        value = self.data.get(field)
        if not isinstance(value, list) or not all(isinstance(v, str) and v for v in value):
            raise SettingsError(f"{self._name(field)}: a list of strings is needed")
        return tuple(value)
