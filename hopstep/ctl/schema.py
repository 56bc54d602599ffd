"""The published JSON schema of the operators' document."""

from __future__ import annotations

import msgspec

from hopstep.domain.configuration.document import Configuration

SCHEMA_DIALECT = "https://json-schema.org/draft/2020-12/schema"


def configuration_schema() -> str:
    """Return the schema as indented JSON, the content of the published file."""
    schema = {"$schema": SCHEMA_DIALECT, **msgspec.json.schema(Configuration)}
    return msgspec.json.format(msgspec.json.encode(schema), indent=2).decode() + "\n"


if __name__ == "__main__":
    print(configuration_schema(), end="")
