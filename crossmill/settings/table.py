"""Validated access to the fields of a TOML table.

The loaders of all settings files use `Table`, so that every error names the field.
"""

import math
from typing import Any

from .deployment import Endpoint

MAX_PORT = 65535


class SettingsError(ValueError):
    """A settings file is invalid or can't be read; the message names the field or the file.

    All errors of this package and of the subsystems' settings are of this class.
    """


class Table:
    """A TOML table.

    `path` is the table's name in errors; it is empty for the top-level table. Every method that
    reads a field raises SettingsError if the field's value is invalid.
    """

    def __init__(self, data: Any, path: str) -> None:
        if not isinstance(data, dict):
            raise SettingsError(f"{path or 'file'}: must be a table, got {data!r}")
        self._data = data
        self._path = path

    def _name(self, field: str) -> str:
        return f"{self._path}.{field}" if self._path else field

    def has(self, field: str) -> bool:
        """Return whether the table has the field."""
        return field in self._data

    def table(self, field: str) -> "Table":
        """Return the field's value, a table."""
        return Table(self._data.get(field), self._name(field))

    def tables(self, field: str) -> list["Table"]:
        """Return the field's value, a list of tables; an empty list if the field is absent."""
        tables = self._data.get(field, [])
        if not isinstance(tables, list):
            raise SettingsError(f"{self._name(field)}: must be a list of tables, got {tables!r}")
        return [Table(table, f"{self._name(field)}[{i}]") for i, table in enumerate(tables)]

    def text(self, field: str) -> str:
        """Return the field's value, a non-empty string."""
        value = self._data.get(field)
        if not isinstance(value, str) or not value:
            raise SettingsError(f"{self._name(field)}: must be a non-empty string, got {value!r}")
        return value

    def optional_text(self, field: str) -> str:
        """Return the field's value converted to a string; an empty string if it is absent."""
        return str(self._data.get(field, ""))

    def number(self, field: str, low: float, default: float | None = None) -> float:
        """Return the field's value, a finite number of at least `low`."""
        value = self._data.get(field, default)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not math.isfinite(value) or value < low:
            raise SettingsError(f"{self._name(field)}: must be a number >= {low:g}, got {value!r}")
        return float(value)

    def flag(self, field: str, default: bool) -> bool:
        """Return the field's value, true or false."""
        value = self._data.get(field, default)
        if not isinstance(value, bool):
            raise SettingsError(f"{self._name(field)}: must be true or false, got {value!r}")
        return value

    def expect_only(self, *fields: str) -> None:
        """Check that the table has no other fields than these.

        An unknown field in a file that an operator writes is probably misspelled, and the intended
        field would silently keep its default.

        Raises:
            SettingsError: The table has another field.
        """
        for field in self._data:
            if field not in fields:
                raise SettingsError(
                    f"{self._name(field)}: unknown field, allowed are {', '.join(fields)}"
                )

    def endpoint(self, field: str) -> Endpoint:
        """Return the field's value, an address of the form HOST:PORT."""
        host, _, port = self.text(field).rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
            raise SettingsError(
                f"{self._name(field)}: must be HOST:PORT, got {self._data[field]!r}"
            )
        return Endpoint(host, int(port))

    def texts(self, field: str) -> tuple[str, ...]:
        """Return the field's value, a list of non-empty strings."""
        value = self._data.get(field)
        if not isinstance(value, list) or not all(isinstance(text, str) and text for text in value):
            raise SettingsError(
                f"{self._name(field)}: must be a list of non-empty strings, got {value!r}"
            )
        return tuple(value)
